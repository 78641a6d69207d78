"""Messages about backend servers, and the configuration, between nodes."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead.fleet import instances


@attrs.frozen
class InstanceNews:
    """What a node knows of some backend servers.

    Attributes:
        sender: Node that tells.
        news: The servers.
        is_full: Whether these are all that the sender knows, and it has had
            the time to hear all.
    """

    sender: str
    news: tuple[instances.Instance, ...]
    is_full: bool = False


@attrs.frozen
class Alive:
    """Heartbeats that told nothing new, from one control node to the others.

    Attributes:
        sender: Control node that heard them.
        names: Backend servers.
        sequences: Number of the newest heartbeat of each.
        since: Number of the heartbeat that last told something new of each.
        born: When the life of each began; see `Instance`.
    """

    sender: str
    names: tuple[str, ...]
    sequences: tuple[int, ...]
    since: tuple[int, ...]
    born: tuple[int, ...] = ()


@attrs.frozen
class HeadLoad:
    """Requests of one gateway that run on one replica."""

    name: str
    running: int


@attrs.frozen
class HeadFlow:
    """How long ago a replica gave something to a gateway.

    Attributes:
        name: Its head.
        age_ms: In milliseconds.
    """

    name: str
    age_ms: int


@attrs.frozen
class GatewayHello:
    """A gateway tells a control node that it is there, and what it holds.

    Attributes:
        node: Name of the gateway.
        boot: Tells its lives apart.
        version: Configuration version it holds.
        check: Hash over the instances it knows.
        is_home: Whether it takes loads and forwarded news from this node.
        loads: Its requests by replica, only for its home.
        stalled: Replicas whose streams all stopped lately, by head.
        flowing: Replicas that gave something lately, by head.
        blocked: Hash over the contents that it sends to no replica.
    """

    node: str
    boot: int
    version: int
    check: int
    is_home: bool = False
    loads: tuple[HeadLoad, ...] = ()
    stalled: tuple[str, ...] = ()
    flowing: tuple[HeadFlow, ...] = ()
    blocked: int = 0


@attrs.frozen
class StallNews:
    """A gateway saw all its streams at some replicas stop.

    Attributes:
        sender: Node that tells; a coordinator passes it on to its gateways.
        heads: The replicas.
    """

    sender: str
    heads: tuple[str, ...]


@attrs.frozen
class ZoneLoads:
    """Requests of all gateways of a zone by replica, from their home.

    Attributes:
        sender: Control node.
        loads: Sum over the gateways of the zone.
        is_fresh: Whether the sender heard a leader with a majority lately.
        gateways: How many gateways there are, of all zones.
    """

    sender: str
    loads: tuple[HeadLoad, ...]
    is_fresh: bool = False
    gateways: int = 0


@attrs.frozen
class CoordinatorHello:
    """A control node tells another one that it is there.

    Attributes:
        node: Its name.
        address: `ip:port` for its peers.
        incarnation: Member that it is in the configuration log.
        nodes: Names of the control nodes it knows.
        addresses: Their addresses, in the same order.
        check: Hash over the instances it knows.
        is_empty: Whether it belongs to no cluster and may found one.
        gateways: Gateways whose home it is.
        has_traffic: Whether callers are served: from then on loads from the
            weight store count.
        crashes: Hash over the lost runs that it knows.
    """

    node: str
    address: str
    incarnation: str
    nodes: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()
    check: int = 0
    is_empty: bool = False
    gateways: int = 0
    has_traffic: bool = False
    crashes: int = 0


@attrs.frozen
class KnownCoordinators:
    """A control node tells a gateway which control nodes there are.

    Attributes:
        sender: Control node that tells.
        nodes: Their names.
        addresses: Their addresses, in the same order.
        is_fresh: Whether the sender heard a leader with a majority lately.
    """

    sender: str
    nodes: tuple[str, ...]
    addresses: tuple[str, ...]
    is_fresh: bool = False


@attrs.frozen
class DocumentUpdate:
    """The configuration that a control node holds.

    Attributes:
        sender: Control node.
        version: The operator's version; 0 if there is none yet.
        content: The configuration, packed; empty if the receiver has it.
        is_fresh: Whether the sender heard a leader with a majority lately.
    """

    sender: str
    version: int
    content: bytes
    is_fresh: bool


@attrs.frozen
class ReplaceRequest:
    """A control node asks the leader to take over a configuration."""

    node: str
    token: str
    outside_version: int
    content: bytes


@attrs.frozen
class ReplaceReply:
    """The leader answers: accepted for good, or not for sure."""

    token: str
    accepted: bool


@attrs.frozen
class ReadRequest:
    """A control node asks the leader for the newest configuration."""

    node: str
    token: str
    version: int


@attrs.frozen
class ReadReply:
    """The leader answers a read.

    Attributes:
        token: The read.
        known: Whether the leader is sure.
        version: The operator's version.
        content: The configuration, packed; empty if the asker holds it.
    """

    token: str
    known: bool
    version: int
    content: bytes


Message: TypeAlias = (
    InstanceNews
    | Alive
    | GatewayHello
    | StallNews
    | ZoneLoads
    | CoordinatorHello
    | KnownCoordinators
    | DocumentUpdate
    | ReplaceRequest
    | ReplaceReply
    | ReadRequest
    | ReadReply
)
