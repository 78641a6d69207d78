"""Messages about servers that name a rate limit."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class RateLimit:
    """What a server told of its rate limit with an answer.

    Attributes:
        server: The server.
        born: When the life began that told it, in Unix milliseconds; 0 if it
            does not tell.
        per_s: Requests a second that it takes from all gateways together.
        is_named: Whether it names one; False once it has stopped to.
        age_ms: How long ago it told this, in milliseconds.
        named_ms: How long ago it was first known to name one without a break,
            in milliseconds.
    """

    server: str
    born: int
    per_s: float
    is_named: bool
    age_ms: int
    named_ms: int


@attrs.frozen
class LimitNews:
    """A node tells which servers name a limit, or have stopped to.

    Attributes:
        sender: Node that tells.
        limits: The limits.
    """

    sender: str
    limits: tuple[RateLimit, ...]


@attrs.frozen
class Ask:
    """A gateway asks for permits to send requests to one server.

    Attributes:
        limit: The limit, as the gateway knows it.
        wanted: Permits that it could use now.
        is_needed: Whether a request waits for one that has nowhere else to go.
        returned: Permits that it got and did not use in their time.
    """

    limit: RateLimit
    wanted: int
    is_needed: bool = False
    returned: int = 0


@attrs.frozen
class PermitRequest:
    """A gateway asks for permits; its home passes on what others decide.

    Attributes:
        gateway: The gateway.
        number: Its number of the request, which the reply repeats.
        asks: One a server.
    """

    gateway: str
    number: int
    asks: tuple[Ask, ...]


@attrs.frozen
class Permits:
    """Permits for one server; each allows to send it one request.

    Attributes:
        server: The server.
        born: The life that they are for; see `RateLimit`.
        count: How many.
        lease_ms: How long they are valid from the request on, in milliseconds.
        wait_ms: If there were too few, when to ask again, in milliseconds.
    """

    server: str
    born: int
    count: int
    lease_ms: int
    wait_ms: int = 0


@attrs.frozen
class PermitReply:
    """A coordinator answers a request for permits.

    Attributes:
        gateway: Who asked.
        number: Its number of the request.
        permits: One a server.
    """

    gateway: str
    number: int
    permits: tuple[Permits, ...]


Message: TypeAlias = LimitNews | PermitRequest | PermitReply
