"""The asyncio shells that turn I/O into events and effects into I/O."""
