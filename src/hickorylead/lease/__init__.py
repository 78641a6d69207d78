"""The lease that picks one placement process for each zone."""
