"""Which VM belongs to which replica group, and the repair of groups."""
