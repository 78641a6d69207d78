"""Opens ports before anything else is loaded."""

from __future__ import annotations

import socket

# Connections that wait until the process takes them. After a loss of power all
# callers of a zone come within a second; the busiest deployments that we know
# open some 30 connections a second at each gateway.
BACKLOG = 512


def listen(ip: str, port: int) -> socket.socket:
    """Returns a socket on which connections wait from now on.

    Raises:
        OSError: The port cannot be opened.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((ip, port))
        opened.listen(BACKLOG)
    except OSError:
        opened.close()
        raise
    opened.setblocking(False)
    return opened
