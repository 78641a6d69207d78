"""Detection and blocking of requests that crash the servers running them."""
