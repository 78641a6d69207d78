"""The codec and framing between processes of the system."""
