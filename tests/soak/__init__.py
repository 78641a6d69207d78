"""Soak test of the real programs on one machine under injected faults."""
