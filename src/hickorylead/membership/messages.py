"""Messages by which entries tell the control processes who is present."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead.membership import announcements


@attrs.frozen
class LeaderLoad:
    """Load of a server that takes requests for its group."""

    vm: str
    load: announcements.Load


@attrs.frozen
class Edge:
    """A server came or changed.

    Attributes:
        entry: Entry that hears it.
        state: Its state now.
    """

    entry: str
    state: announcements.ServerState


@attrs.frozen
class Gone:
    """An entry no longer hears a server."""

    entry: str
    vm: str


@attrs.frozen
class Digest:
    """Periodic sign of life of an entry, with a check of what it told.

    Attributes:
        entry: Entry that hears the servers.
        count: Servers it hears.
        check: Hash over the states of all of them.
        loads: Loads of those that take requests.
        configuration: Version of the configuration that the entry follows.
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
    """Asks an entry to tell all it hears; the digest did not match."""


Message: TypeAlias = Edge | Gone | Digest | ResendRequest


@attrs.frozen
class Send:
    """Effect: send a membership message to a node."""

    node: str
    message: Message
