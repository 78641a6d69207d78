"""Messages about backend servers, and the configuration, between nodes."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead.fleet import instances


@attrs.frozen
class InstanceNews:
    """State of some backend servers, as known by a node.

    Attributes:
        sender: Node that sends the update.
        news: States of the servers.
        is_full: Whether these are all servers that the sender knows, and the
            sender has been running for long enough to have received every
            heartbeat.
    """

    sender: str
    news: tuple[instances.Instance, ...]
    is_full: bool = False


@attrs.frozen
class Alive:
    """Heartbeats without changes, from one coordinator to the others.

    Attributes:
        sender: Coordinator that received the heartbeats.
        names: Backend servers.
        sequences: Number of each server's newest heartbeat.
        since: Number of each server's heartbeat that last reported a change.
        born: Start time of each server's incarnation; see `Instance`.
    """

    sender: str
    names: tuple[str, ...]
    sequences: tuple[int, ...]
    since: tuple[int, ...]
    born: tuple[int, ...] = ()


@attrs.frozen
class DeparturesKept:
    """A coordinator has departures on disk that another one received first.

    Attributes:
        sender: The coordinator.
        names: The servers.
    """

    sender: str
    names: tuple[str, ...]


@attrs.frozen
class HeadLoad:
    """Number of requests that run on a replica, from one or more gateways."""

    name: str
    running: int


@attrs.frozen
class HeadFlow:
    """How long ago a replica sent output to a gateway.

    Attributes:
        name: Head of the replica.
        age_ms: Time since the output, in milliseconds.
    """

    name: str
    age_ms: int


@attrs.frozen
class GatewayHello:
    """Periodic report of a gateway to a coordinator.

    Attributes:
        node: Name of the gateway.
        boot: Identifies the incarnation of the gateway.
        version: Configuration version it holds.
        check: Digest of its registry.
        is_home: Whether the receiver is its home coordinator, which sends it
            loads and forwarded updates.
        loads: Number of its requests by replica, only for its home
            coordinator.
        stalled: Replicas whose streams all stopped recently, by head.
        flowing: Replicas that sent output recently, by head.
        blocked: Digest of the hashes of requests that it sends to no replica.
        sent_ms: Its clock when it sent this, in milliseconds.
        unit_share: Share of the common retry limit that is one retry.
        is_short: Whether it has nearly no retries left.
        held_share: Share of the common retry limit that the receiver lent it
            last.
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
    sent_ms: int = 0
    unit_share: float = 0.0
    is_short: bool = False
    held_share: float = 0.0


@attrs.frozen
class StallNews:
    """All streams of a gateway at some replicas have stopped.

    Attributes:
        sender: Node that reports it; a coordinator forwards it to its gateways.
        heads: The replicas.
    """

    sender: str
    heads: tuple[str, ...]


@attrs.frozen
class ZoneLoads:
    """Number of requests of a zone's gateways, by replica.

    Attributes:
        sender: Home coordinator of the gateways.
        loads: Sum over the gateways of the zone.
        is_fresh: Whether the sender had contact to a leader with a majority
            recently.
        gateways: Number of gateways in all zones.
        home_gateways: Number of gateways whose requests the sum includes; 0 if
            unknown.
        is_settled: Whether the sender can have heard of all gateways.
    """

    sender: str
    loads: tuple[HeadLoad, ...]
    is_fresh: bool = False
    gateways: int = 0
    home_gateways: int = 0
    is_settled: bool = False


@attrs.frozen
class RetryLoan:
    """Retries lent to a gateway.

    Attributes:
        sender: The home coordinator of the gateway.
        hello_ms: Time of the gateway's latest hello, by its own clock, in
            milliseconds.
        lent_share: Share of the common retry limit that is lent to it, from
            that time on.
    """

    sender: str
    hello_ms: int
    lent_share: float


@attrs.frozen
class GatewayRecord:
    """What a coordinator keeps on its disk about the gateways.

    Attributes:
        sender: The coordinator.
        lent_share: Upper bound of the share of the common retry limit that it
            has lent.
        gateways: Number of gateways in all zones; 0 if unknown.
    """

    sender: str
    lent_share: float
    gateways: int


@attrs.frozen
class CoordinatorHello:
    """Periodic report of a coordinator to another one.

    Attributes:
        node: Name of the sender.
        address: `ip:port` for its peers.
        incarnation: Its member id in the configuration log.
        nodes: Names of the coordinators that it knows.
        addresses: Their addresses, in the same order.
        check: Digest of its registry.
        is_empty: Whether it belongs to no cluster and may bootstrap one.
        gateways: Number of gateways whose home coordinator it is.
        has_traffic: Whether callers are served: from then on loads from the
            weight store are limited.
        crashes: Digest of its lost runs (requests whose server may have ended
            while running them).
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
    """The coordinators, sent by a coordinator to a gateway.

    Attributes:
        sender: Coordinator that sends the list.
        nodes: Names of the coordinators.
        addresses: Their addresses, in the same order.
        is_fresh: Whether the sender had contact to a leader with a majority
            recently.
    """

    sender: str
    nodes: tuple[str, ...]
    addresses: tuple[str, ...]
    is_fresh: bool = False


@attrs.frozen
class DocumentUpdate:
    """The configuration that a coordinator holds.

    Attributes:
        sender: Coordinator.
        version: The operator's version; 0 if there is none yet.
        content: The configuration, packed; empty if the receiver has it.
        is_fresh: Whether the sender had contact to a leader with a majority
            recently.
    """

    sender: str
    version: int
    content: bytes
    is_fresh: bool


@attrs.frozen
class ReplaceRequest:
    """A coordinator's request to the leader to replace the configuration."""

    node: str
    token: str
    outside_version: int
    content: bytes


@attrs.frozen
class ReplaceReply:
    """The leader's reply: durably accepted, or not certain."""

    token: str
    accepted: bool


@attrs.frozen
class ReadRequest:
    """A coordinator's request to the leader for the newest configuration."""

    node: str
    token: str
    version: int


@attrs.frozen
class ReadReply:
    """The leader's reply to a read.

    Attributes:
        token: Identifies the read.
        known: Whether the leader is certain that this is the newest version.
        version: The operator's version.
        content: The configuration, packed; empty if the requester
            holds it.
    """

    token: str
    known: bool
    version: int
    content: bytes


Message: TypeAlias = (
    InstanceNews
    | Alive
    | DeparturesKept
    | GatewayHello
    | StallNews
    | ZoneLoads
    | RetryLoan
    | GatewayRecord
    | CoordinatorHello
    | KnownCoordinators
    | DocumentUpdate
    | ReplaceRequest
    | ReplaceReply
    | ReadRequest
    | ReadReply
)
