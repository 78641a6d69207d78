"""Services, presets and the changes operators make to them."""
