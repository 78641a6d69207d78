"""The lease that selects one placement process for each zone."""
