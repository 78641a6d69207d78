"""Replicas that tell of themselves, the groups they form, and their repair."""
