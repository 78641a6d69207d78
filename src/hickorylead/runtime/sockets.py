"""Opens listening sockets before other modules are loaded."""

from __future__ import annotations

import contextlib
import socket

# Maximum number of connections that wait until the process accepts them. After
# a power failure all callers of a zone connect within a second; the busiest
# known deployments open about 30 connections a second at each gateway.
BACKLOG = 512
# Size of what a connection may have received and not read, in bytes.
RECEIVE_BUFFER_BYTES = 64 * 1024


def listen(ip: str, port: int) -> socket.socket:
    """Returns a listening socket, on which connections wait from now on.

    Raises:
        OSError: The port cannot be opened.
    """
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.bind((ip, port))
        listening_socket.listen(BACKLOG)
    except OSError:
        listening_socket.close()
        raise
    listening_socket.setblocking(False)
    return listening_socket


def prepare(listening_socket: socket.socket) -> None:
    """Limits what connections of a listening socket may have unread."""
    with contextlib.closing(listening_socket.dup()) as duplicate:
        duplicate.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
