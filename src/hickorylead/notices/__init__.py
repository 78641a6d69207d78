"""What servers say with their answers about requests to come."""
