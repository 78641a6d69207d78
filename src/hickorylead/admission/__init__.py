"""Queues, fair shares, deadlines and the retry budget."""
