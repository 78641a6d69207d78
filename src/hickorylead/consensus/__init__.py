"""The replicated log of configuration changes."""
