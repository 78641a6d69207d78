"""Services, presets, and the changes that operators make to them."""
