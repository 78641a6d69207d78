"""What clients make a process hold, and who gives way when it is too much."""
