"""The life of one request at an entry: attempts, frames, verdicts."""
