"""Forwarding of any HTTP request to a replica: routes, attempts, streams."""
