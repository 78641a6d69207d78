"""At-most-once claims on the keys of non-idempotent requests."""
