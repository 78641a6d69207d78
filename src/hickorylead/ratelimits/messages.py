"""Messages about rate limits of servers and permits to send requests."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class RateLimit:
    """What a server reported about its rate limit with a response.

    Attributes:
        server: The server.
        born: Start of the server's incarnation, in Unix milliseconds; 0 if the
            server does not report it.
        per_s: Requests a second that the server accepts from all gateways
            together.
        is_named: Whether the server names a limit; False once it has stopped.
        age_ms: Time since this report, in milliseconds.
        named_ms: How long the server is known to have named a limit without
            interruption, in milliseconds.
    """

    server: str
    born: int
    per_s: float
    is_named: bool
    age_ms: int
    named_ms: int


@attrs.frozen
class LimitNews:
    """Limits of servers that name one or have stopped naming one.

    Attributes:
        sender: Node that sends the message.
        limits: The limits.
    """

    sender: str
    limits: tuple[RateLimit, ...]


@attrs.frozen
class Ask:
    """A gateway's request for permits for one server.

    Attributes:
        limit: The limit, as the gateway last received it.
        wanted: Number of permits that the gateway could use now.
        is_needed: Whether a request that no other server can take waits for a
            permit.
        returned: Number of earlier permits that expired unused.
    """

    limit: RateLimit
    wanted: int
    is_needed: bool = False
    returned: int = 0


@attrs.frozen
class PermitRequest:
    """A gateway's request for permits.

    The gateway's home coordinator forwards the parts for servers that other
    coordinators own.

    Attributes:
        gateway: The gateway.
        number: The gateway's number of the request, repeated in the reply.
        asks: The requested permits, one item for each server.
    """

    gateway: str
    number: int
    asks: tuple[Ask, ...]


@attrs.frozen
class Permits:
    """Permits for one server; each allows sending it one request.

    Attributes:
        server: The server.
        born: Start of the server's incarnation that the permits are for; see
            `RateLimit`.
        count: Number of permits.
        lease_ms: How long the permits are valid, counted from the request for
            them, in milliseconds.
        wait_ms: How long the gateway waits before it requests permits again if
            there were too few, in milliseconds.
    """

    server: str
    born: int
    count: int
    lease_ms: int
    wait_ms: int = 0


@attrs.frozen
class PermitReply:
    """A coordinator's reply to a request for permits.

    Attributes:
        gateway: The gateway that requested them.
        number: The gateway's number of the request.
        permits: The granted permits, one item for each server.
    """

    gateway: str
    number: int
    permits: tuple[Permits, ...]


Message: TypeAlias = LimitNews | PermitRequest | PermitReply
