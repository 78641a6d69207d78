"""Status codes of HTTP responses."""

from __future__ import annotations


def is_final(status: int) -> bool:
    """Returns whether a status is that of a final response.

    A number that is no status says nothing: neither success nor failure, nor
    that another response follows.
    """
    return 200 <= status <= 599


def is_interim(status: int) -> bool:
    """Returns whether a final response follows one with this status.

    No request asks for another protocol, so 101 announces no response.
    """
    return 100 <= status <= 199 and status != 101
