"""Limits and accounting of what the connections of clients use."""
