"""Orders to backend servers about replica groups."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead.fleet import instances


@attrs.frozen
class Join:
    """Makes a server a member of a group; it loads the model if need be.

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
    """Lets the head of a group serve; nobody checks the other members."""

    group: str
    epoch: int


@attrs.frozen
class Close:
    """Stops the head of a group from serving.

    Attributes:
        group: Name of the group.
        epoch: Its epoch.
        cut: Whether running requests are cut off, or waited for.
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
    """Loads a model onto the VM beside whatever it does."""

    model: str


Order: TypeAlias = Join | Open | Close | Leave | Stage


@attrs.frozen
class SendOrder:
    """Effect: give an order to a server.

    Attributes:
        name: The server.
        address: Its `ip:port`.
        order: The order.
        expected: Orders that the server must have accepted before; it refuses
            the order if it has accepted others. None where that is no matter.
    """

    name: str
    address: str
    order: Order
    expected: int | None = None


@attrs.frozen
class RequestReport:
    """Effect: ask a server how many orders it has accepted, and its state."""

    name: str
    address: str


@attrs.frozen
class OrderAnswered:
    """Event: how an order ended.

    Attributes:
        name: The server.
        order: The order.
        status: HTTP status; 0 without an answer.
    """

    name: str
    order: Order
    status: int


@attrs.frozen
class ReportArrived:
    """Event: a server answered the question for its state.

    Attributes:
        name: The server.
        accepted: Orders it has accepted in this life; None without an answer.
        born: When the life began that answered; 0 if it does not tell.
        is_turned_away: Whether it answered only that it wants no question now.
        member: Its group membership at the moment `accepted` was read.
    """

    name: str
    accepted: int | None
    born: int = 0
    is_turned_away: bool = False
    member: instances.Membership = instances.Membership()


@attrs.frozen
class NoticeArrived:
    """Event: a server said something about calls to come.

    Attributes:
        name: The server.
        born: When the life began that was called; 0 if it does not tell.
        retry_after_s: How long it wants no call from this node, in seconds;
            None if unsaid.
        is_leaving: Whether it is about to end.
    """

    name: str
    born: int
    retry_after_s: float | None = None
    is_leaving: bool = False
