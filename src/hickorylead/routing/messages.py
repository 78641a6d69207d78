"""Entries of the replica table, and the messages that distribute it."""

from __future__ import annotations

from typing import TypeAlias

import attrs

LOAD_STEPS = 32
MAX_LOAD_BYTE = 255


@attrs.frozen
class Replica:
    """A ready replica that accepts requests.

    Attributes:
        group: Name of its group; for plain services, the VM.
        service: Service that it runs.
        zone: Availability zone.
        generation: Generation of the member list.
        vm: VM that receives the requests.
        address: `ip:port` of that VM.
        slots: Requests that it runs concurrently.
        keepalive_s: Longest time between two frames of a live stream.
    """

    group: str
    service: str
    zone: str
    generation: int
    vm: str
    address: str
    slots: int
    keepalive_s: float


@attrs.frozen
class TableUpdate:
    """Changes of the replicas of one zone, from the zone's lease holder.

    An update without changes is a heartbeat that carries loads only.

    Attributes:
        zone: The zone.
        fence: Fencing number of the lease holder; a higher one supersedes a
            lower one.
        sequence: Number of changes so far under this fencing number.
        full: Whether `added` is the full table.
        added: Replicas that are new or changed.
        removed: Groups that no longer serve.
        loads: One byte for each replica of the table after this update, in
            the order of their groups: its load in units of 1/LOAD_STEPS of
            its slots. One byte per replica keeps the loads of 600 replicas
            within the 2 KB/s that each node may receive.
    """

    zone: str
    fence: int
    sequence: int
    full: bool
    added: tuple[Replica, ...] = ()
    removed: tuple[str, ...] = ()
    loads: bytes = b""


@attrs.frozen
class TableRequest:
    """Requests the full table from the control processes.

    Sent when an update was lost.
    """

    node: str
    zone: str


@attrs.frozen
class Withdrawal:
    """A replica accepts no new requests: one of its VMs is leaving.

    Attributes:
        zone: Zone of the replica.
        group: Group of the replica.
        generation: Generation of its member list.
    """

    zone: str
    group: str
    generation: int


Message: TypeAlias = TableUpdate | TableRequest | Withdrawal


@attrs.frozen
class Send:
    """Effect: send a table message to a node."""

    node: str
    message: Message
