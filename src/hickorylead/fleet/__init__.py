"""Backend servers, the replica groups they form, and group repair."""
