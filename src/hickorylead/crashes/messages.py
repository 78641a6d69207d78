"""Messages about requests that crash the servers running them."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class Crash:
    """A lost run of a request: the server may have ended while running it.

    Attributes:
        content: The request hash.
        server: The server that ran the request.
        born: Start of the server's incarnation, in Unix milliseconds; 0 if the
            server does not report it.
        age_ms: How long ago the run was lost, in milliseconds.
        has_ended: Whether that incarnation is known to have ended.
    """

    content: int
    server: str
    born: int
    age_ms: int
    has_ended: bool = False


@attrs.frozen
class Clearance:
    """A request that got a complete response, so it does not crash servers.

    Attributes:
        content: The request hash.
        age_ms: Time since the response, in milliseconds.
    """

    content: int
    age_ms: int


@attrs.frozen
class CrashNews:
    """Lost runs and cleared requests, sent to a coordinator.

    Attributes:
        sender: Node that sends the message.
        crashes: Lost runs.
        clearances: Requests that got a complete response.
    """

    sender: str
    crashes: tuple[Crash, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@attrs.frozen
class Block:
    """A request that is sent to no replica for a time.

    Attributes:
        content: The request hash.
        left_ms: Remaining time of the block, in milliseconds.
    """

    content: int
    left_ms: int


@attrs.frozen
class Suspicion:
    """A request that is blocked if one more server ends while running it.

    Attributes:
        content: The request hash.
        left_ms: Remaining time of the suspicion, in milliseconds.
        gateway: The only recipient that may send the request to a replica;
            empty if none may.
    """

    content: int
    left_ms: int
    gateway: str


@attrs.frozen
class BlockNews:
    """All blocked and suspected requests, from a coordinator to its gateways.

    Attributes:
        sender: The coordinator.
        blocks: All blocked requests.
        cleared: Hashes of requests that were cleared before their block
            expired.
        suspicions: All suspected requests.
    """

    sender: str
    blocks: tuple[Block, ...] = ()
    cleared: tuple[int, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


Message: TypeAlias = CrashNews | BlockNews
