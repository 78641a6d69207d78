"""The interface between the reducers and the processes that run them.

A role is `reduce(event, now) -> effects`. No reducer reads a clock, a socket,
a disk or unseeded random numbers, so a simulation can run hundreds of nodes in
one process and control their time and network. Effects must be carried out in
order; `Persist` must be on disk before the next effect.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeAlias

import attrs

# A process imports only the messages of its own roles, on first use: importing
# all of them takes a sixth of the start time of a gateway.
if TYPE_CHECKING:
    from hickorylead import notes
    from hickorylead.claims import messages as claim_messages
    from hickorylead.configuration import changes, messages as config_messages
    from hickorylead.consensus import messages as consensus_messages
    from hickorylead.crashes import messages as crash_messages
    from hickorylead.fleet import messages as fleet_messages
    from hickorylead.lease import messages as lease_messages
    from hickorylead.membership import (
        announcements,
        messages as member_messages,
    )
    from hickorylead.notices import messages as notice_messages
    from hickorylead.placement import orders
    from hickorylead.ratelimits import messages as limit_messages
    from hickorylead.relaying import messages as relay_messages
    from hickorylead.requests import events as request_events
    from hickorylead.roles import status
    from hickorylead.routing import messages as routing_messages

Message: TypeAlias = (
    "claim_messages.Message "
    "| config_messages.Message "
    "| consensus_messages.Message "
    "| crash_messages.Message "
    "| fleet_messages.Message "
    "| lease_messages.Message "
    "| limit_messages.Message "
    "| notice_messages.Message "
    "| relay_messages.Message "
    "| relay_messages.ConnectionMessage "
    "| member_messages.Message "
    "| routing_messages.Message "
    "| status.Message"
)


@attrs.frozen
class Tick:
    """Event: time has passed; delivered about every TICK_S.

    Attributes:
        wall_time: Wall-clock time, in Unix seconds.
        late_s: How much later than planned it is delivered, in seconds: the
            process was busy or got no processor time. What arrived before the
            planned time has been handled.
    """

    wall_time: float
    late_s: float = 0.0


TICK_S = 0.1


@attrs.frozen
class MessageArrived:
    """Event: a message of another process arrived.

    Attributes:
        sender: Node name of that process.
        message: The message.
        wall_time: Wall-clock time, in Unix seconds.
    """

    sender: str
    message: Message
    wall_time: float


@attrs.frozen
class AnnouncementArrived:
    """Event: a backend server announced itself to this entry."""

    announcement: announcements.Announcement


@attrs.frozen
class ChangeSubmitted:
    """Event: an operator submitted a change to this entry."""

    change: changes.Change


@attrs.frozen
class StatusRequested:
    """Event: an operator requested the status from this entry."""

    token: str


@attrs.frozen
class ExplainRequested:
    """Event: an operator requested the history of a request."""

    token: str
    request_id: str


@attrs.frozen
class BootstrapRequested:
    """Event: an operator requested this entry to bootstrap a cluster."""

    cluster: str


@attrs.frozen
class StopRequested:
    """Event: this process is to stop gracefully.

    Attributes:
        left_s: Time after which requests that are left are ended, in seconds.
    """

    left_s: float = math.inf


@attrs.frozen
class TimeOver:
    """Event: the time of a graceful stop is over; what is left ends now."""


EntryEvent: TypeAlias = (
    "Tick "
    "| MessageArrived "
    "| AnnouncementArrived "
    "| ChangeSubmitted "
    "| StatusRequested "
    "| ExplainRequested "
    "| BootstrapRequested "
    "| StopRequested "
    "| TimeOver "
    "| request_events.Event"
)
ControlEvent: TypeAlias = Tick | MessageArrived


@attrs.frozen
class Send:
    """Effect: send a message to a node; the message may be lost."""

    node: str
    message: Message


@attrs.frozen
class AnswerChange:
    """Effect: respond to an operator's change.

    Attributes:
        change_id: The change.
        outcome: Its outcome; None if it is unknown.
        may_apply: Whether the change may still take effect if its outcome is
            unknown.
    """

    change_id: str
    outcome: changes.Outcome | None
    may_apply: bool = False


@attrs.frozen
class AnswerStatus:
    """Effect: respond to an operator's status request."""

    token: str
    statuses: tuple[status.ControlStatus, ...]


@attrs.frozen
class AnswerExplain:
    """Effect: respond to an operator's request to explain a request."""

    token: str
    reply: status.ExplainReply


@attrs.frozen
class AnswerBootstrap:
    """Effect: respond to an operator's request to bootstrap a cluster."""

    cluster: str
    done: bool
    detail: str


@attrs.frozen
class Stopped:
    """Effect: no request is in flight any more; the process may exit."""


EntryEffect: TypeAlias = (
    "Send "
    "| AnswerChange "
    "| AnswerStatus "
    "| AnswerExplain "
    "| AnswerBootstrap "
    "| Stopped "
    "| notes.Note "
    "| request_events.Effect"
)
ControlEffect: TypeAlias = (
    "Send | consensus_messages.Persist | orders.SendOrder"
)
