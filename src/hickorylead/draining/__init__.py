"""Planned stops: what a process owes to its callers, and how it ends it."""
