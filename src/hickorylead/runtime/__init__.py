"""Asyncio processes that turn I/O into events and effects into I/O."""
