"""Forwarding through another gateway while servers cannot be connected to."""
