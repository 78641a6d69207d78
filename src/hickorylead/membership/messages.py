"""Messages that report present servers from entries to control processes."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead.membership import announcements


@attrs.frozen
class LeaderLoad:
    """Load of a server that accepts requests for its group."""

    vm: str
    load: announcements.Load


@attrs.frozen
class Edge:
    """Reports a new server or a changed state.

    Attributes:
        entry: Entry that receives its announcements.
        state: Its current state.
    """

    entry: str
    state: announcements.ServerState


@attrs.frozen
class Gone:
    """Reports that an entry no longer receives a server's announcements."""

    entry: str
    vm: str


@attrs.frozen
class Digest:
    """Periodic heartbeat of an entry, with a hash over the reported states.

    Attributes:
        entry: Entry that receives the announcements.
        count: Number of servers that announce to it.
        check: Hash over the states of all these servers.
        loads: Loads of the servers that accept requests.
        configuration: Version of the configuration that the entry uses.
        fence: Fencing number of the zone's replica table at the entry.
        period_s: Time until the next digest to the same receiver.
    """

    entry: str
    count: int
    check: int
    loads: tuple[LeaderLoad, ...] = ()
    configuration: int = 0
    fence: int = 0
    period_s: float = 1.0


@attrs.frozen
class ResendRequest:
    """Requests all states from an entry whose digest did not match."""


Message: TypeAlias = Edge | Gone | Digest | ResendRequest


@attrs.frozen
class Send:
    """Effect: send a membership message to a node."""

    node: str
    message: Message
