"""Messages about relays, and on the connections to them.

A relay is a gateway that forwards the bytes of another gateway's requests to
servers to which the other gateway cannot connect.
"""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class Scope:
    """The servers of one service in one availability zone."""

    service: str
    zone: str


@attrs.frozen
class RelayRequest:
    """A gateway that cannot connect to servers asks for relays.

    A coordinator forwards it to gateways that may offer themselves.

    Attributes:
        origin: The gateway that needs relays.
    """

    origin: str


@attrs.frozen
class RelayOffer:
    """A gateway offers to relay requests; a coordinator forwards it.

    Attributes:
        origin: The gateway that asked.
        relay: The gateway that offers.
        address: `ip:port` of its relay port.
        token: Proves to the relay that it has made this offer.
        reachable: Servers to which the relay can connect.
    """

    origin: str
    relay: str
    address: str
    token: str
    reachable: tuple[Scope, ...] = ()


@attrs.frozen
class RelayOpen:
    """First message of an exchange: the relay is to connect to a server.

    The request is sent only after the relay has accepted, so that a request
    without an acceptance certainly has not run.

    Attributes:
        token: The token of the relay's offer.
        server: Name of the server.
        address: `ip:port` of the server.
        limit_ms: Time after which the relay ends the exchange, in milliseconds.
        request_id: Id of the request at the gateway that sends this, for logs.
    """

    token: str
    server: str
    address: str
    limit_ms: int
    request_id: str = ""


@attrs.frozen
class RelayAccepted:
    """The relay has a connection to the server and forwards bytes."""


@attrs.frozen
class RelayRefused:
    """The relay forwarded nothing, and will not.

    Attributes:
        reason: Stable code.
    """

    reason: str


@attrs.frozen
class RelayData:
    """Bytes of the request or of the response, unchanged."""

    data: bytes


@attrs.frozen
class RelayClosed:
    """The server closed its connection.

    Attributes:
        is_reset: Whether it was reset instead of closed.
    """

    is_reset: bool


@attrs.frozen
class RelayFinished:
    """The response is complete; the exchange has ended.

    Attributes:
        keepalive_ms: How long the relay may reuse the connection to the server,
            in milliseconds.
        received_bytes: Size of the response, head and body.
    """

    keepalive_ms: int
    received_bytes: int


Message: TypeAlias = RelayRequest | RelayOffer
ConnectionMessage: TypeAlias = (
    RelayOpen
    | RelayAccepted
    | RelayRefused
    | RelayData
    | RelayClosed
    | RelayFinished
)
