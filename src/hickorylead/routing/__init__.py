"""The choice of a replica for a request."""
