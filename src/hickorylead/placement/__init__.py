"""Assignment of VMs to replica groups, and the repair of groups."""
