"""The top reducers of the long-running roles, and their seam."""
