"""The replica table, and the messages that carry it."""

from __future__ import annotations

from typing import TypeAlias

import attrs

LOAD_STEPS = 32
MAX_LOAD_BYTE = 255


@attrs.frozen
class Replica:
    """A whole replica that takes requests.

    Attributes:
        group: Its group; for plain services the VM.
        service: Service it serves.
        zone: Availability zone.
        generation: Generation of the member list.
        vm: VM that takes the requests.
        address: `ip:port` of that VM.
        slots: Requests it runs at the same time.
        keepalive_s: Longest pause between two frames of a live stream.
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
    """Changes of the replicas of one zone, from the holder of its lease.

    An update without changes is a sign of life and carries loads only.

    Attributes:
        zone: The zone.
        fence: Fencing number of the holder; a higher one wins.
        sequence: Counts the changes under this fencing number.
        full: Whether `added` is the whole table.
        added: Replicas that are new or changed.
        removed: Groups that serve no more.
        loads: One byte for each replica of the table after this update, in
            the order of their groups: how full it is, in units of
            1/LOAD_STEPS of its slots. A byte a replica is what lets every
            node hear the load of 600 replicas within its 2 KB/s.
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
    """Asks the control processes for the whole table; an update was lost."""

    node: str
    zone: str


@attrs.frozen
class Withdrawal:
    """A replica takes no new work from now on: one of its VMs leaves.

    Attributes:
        zone: Zone of the replica.
        group: The replica.
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
