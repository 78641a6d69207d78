"""Which backend servers are present, by their own announcements."""
