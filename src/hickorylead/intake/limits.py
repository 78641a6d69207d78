"""Limits of what clients make a process hold, by what its machine has."""

from __future__ import annotations

import attrs

MIB = 1024 * 1024
# What a machine has if its settings do not say so.
DEFAULT_MEMORY_MB = 1024
DEFAULT_MAX_DESCRIPTORS = 4096
# Memory of a process that serves no requests, in bytes.
PROCESS_BYTES = 64 * MIB
# Share of the other memory for what clients make it hold. The rest is for
# copies of it on their way to a server, and for what sockets hold unread.
CLIENT_SHARE = 1 / 2
# Share of that for requests each of which holds little.
SMALL_SHARE = 1 / 4
# Least memory for clients, in bytes.
MIN_CLIENT_BYTES = 8 * MIB
# Share of it that responses may take that are buffered until they are complete.
BUFFERED_SHARE = 1 / 8
# Descriptors that machines reserve for files outside the data folder.
RESERVED_DESCRIPTORS = 200
# Share of the other descriptors for connections of clients. The rest is for
# connections to servers and to other processes, and for files.
CONNECTION_SHARE = 1 / 2
MIN_CONNECTIONS = 16


@attrs.frozen
class IntakeLimits:
    """What clients may make a process hold.

    Attributes:
        max_bytes: Memory, in bytes.
        max_large_bytes: Memory of the requests that hold much, in bytes.
        max_connections: Open connections.
    """

    max_bytes: int
    max_large_bytes: int
    max_connections: int

    @property
    def max_buffered_bytes(self) -> int:
        """Memory of responses that are buffered, in bytes."""
        return int(BUFFERED_SHARE * self.max_bytes)


def derive_limits(memory_mb: int, max_descriptors: int) -> IntakeLimits:
    """Returns the limits of a process.

    Args:
        memory_mb: Memory that it may use, in MiB.
        max_descriptors: Descriptors that it may have open.
    """
    max_bytes = max(
        MIN_CLIENT_BYTES, int(CLIENT_SHARE * (memory_mb * MIB - PROCESS_BYTES))
    )
    return IntakeLimits(
        max_bytes,
        int(max_bytes * (1 - SMALL_SHARE)),
        max(
            MIN_CONNECTIONS,
            int(CONNECTION_SHARE * (max_descriptors - RESERVED_DESCRIPTORS)),
        ),
    )
