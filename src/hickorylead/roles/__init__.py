"""Top-level reducers of the long-running roles, and their interface."""
