"""Orders to backend servers about replica groups."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead.fleet import instances


@attrs.frozen
class Join:
    """Makes a server a member of a group; it loads the model if necessary.

    Attributes:
        group: Name of the group.
        epoch: Fencing number of the member list; a server refuses a lower one.
        model: Model of the group.
        members: Names of the members by rank; the first one is the head.
    """

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]


@attrs.frozen
class Open:
    """Lets a group's head serve; the head does not check other members."""

    group: str
    epoch: int


@attrs.frozen
class Close:
    """Stops the head of a group from serving.

    Attributes:
        group: Name of the group.
        epoch: Its epoch.
        cut: Whether running requests are aborted instead of completed.
    """

    group: str
    epoch: int
    cut: bool


@attrs.frozen
class Leave:
    """Takes a server out of a group at once."""

    group: str
    epoch: int


@attrs.frozen
class Stage:
    """Loads a model onto a server's VM, without interrupting the server."""

    model: str


Order: TypeAlias = Join | Open | Close | Leave | Stage


@attrs.frozen
class SendOrder:
    """Effect: send an order to a server.

    Attributes:
        name: The server.
        address: Its `ip:port`.
        order: The order.
        expected: Number of orders that the server must have accepted before; it
            refuses the order if it counts another number. None if the order
            does not depend on the number.
    """

    name: str
    address: str
    order: Order
    expected: int | None = None


@attrs.frozen
class RequestReport:
    """Effect: probe a server for its number of accepted orders and state."""

    name: str
    address: str


@attrs.frozen
class OrderAnswered:
    """Event: the outcome of an order.

    Attributes:
        name: The server.
        order: The order.
        status: HTTP status; 0 without a response.
    """

    name: str
    order: Order
    status: int


@attrs.frozen
class ReportArrived:
    """Event: the outcome of a probe for a server's state.

    Attributes:
        name: The server.
        accepted: Orders that this incarnation has accepted; None without a
            report.
        born: Start time of the incarnation that responded; 0 if it does not
            report one.
        is_turned_away: Whether the server responded, but refused to report
            now.
        member: Its group membership at the moment `accepted` was read.
    """

    name: str
    accepted: int | None
    born: int = 0
    is_turned_away: bool = False
    member: instances.Membership = instances.Membership()


@attrs.frozen
class NoticeArrived:
    """Event: a server responded with a notice about future calls.

    Attributes:
        name: The server.
        born: Start time of the incarnation that was called; 0 if it does not
            report one.
        retry_after_s: How long this node must send the server no calls, in
            seconds; None if not specified.
        is_leaving: Whether the server is about to end.
    """

    name: str
    born: int
    retry_after_s: float | None = None
    is_leaving: bool = False
