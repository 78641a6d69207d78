"""Requests that end the backend servers which run them."""
