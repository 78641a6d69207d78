"""Replica tables, and the choice of a replica for each request."""
