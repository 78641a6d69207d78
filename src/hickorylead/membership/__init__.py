"""Tracks which backend servers are present, from their announcements."""
