"""Order of the work of an event loop, and pauses of its process."""
