"""Settings from flags and environment variables, validated at start."""
