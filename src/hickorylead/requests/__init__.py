"""Requests at an entry, from arrival to final effect."""
