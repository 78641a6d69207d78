"""The replicated log that orders changes of the configuration."""
