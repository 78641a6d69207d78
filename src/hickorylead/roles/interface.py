"""The seam between the reducers and whatever runs them.

A role is `reduce(event, now) -> effects`. Nothing below this seam reads a
clock, a socket, a disk or unseeded random numbers, so that hundreds of nodes
can be built inside one process with time and the network given from outside.
Effects are to be carried out in their order; `Persist` must be on disk before
the next one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

# A process loads the messages of its own roles only, when it first meets them:
# all of them take a sixth of the time that a gateway needs to start.
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
    "| member_messages.Message "
    "| routing_messages.Message "
    "| status.Message"
)


@attrs.frozen
class Tick:
    """Event: time has passed; to be given about every TICK_S.

    Attributes:
        wall_time: Wall-clock time, in Unix seconds.
    """

    wall_time: float


TICK_S = 0.1


@attrs.frozen
class MessageArrived:
    """Event: a message of another process of the system.

    Attributes:
        sender: Its node name.
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
    """Event: an operator asked this entry for the status."""

    token: str


@attrs.frozen
class ExplainRequested:
    """Event: an operator asked this entry about a request."""

    token: str
    request_id: str


@attrs.frozen
class BootstrapRequested:
    """Event: an operator asked this entry to start a cluster."""

    cluster: str


@attrs.frozen
class StopRequested:
    """Event: this process is asked to stop gracefully."""


EntryEvent: TypeAlias = (
    "Tick "
    "| MessageArrived "
    "| AnnouncementArrived "
    "| ChangeSubmitted "
    "| StatusRequested "
    "| ExplainRequested "
    "| BootstrapRequested "
    "| StopRequested "
    "| request_events.Event"
)
ControlEvent: TypeAlias = Tick | MessageArrived


@attrs.frozen
class Send:
    """Effect: send a message to a node; it may be lost."""

    node: str
    message: Message


@attrs.frozen
class AnswerChange:
    """Effect: answer an operator's change.

    Attributes:
        change_id: The change.
        outcome: The answer; None if there is none.
        may_apply: Whether it may still take effect, if there is no answer.
    """

    change_id: str
    outcome: changes.Outcome | None
    may_apply: bool = False


@attrs.frozen
class AnswerStatus:
    """Effect: answer an operator's question for the status."""

    token: str
    statuses: tuple[status.ControlStatus, ...]


@attrs.frozen
class AnswerExplain:
    """Effect: answer an operator's question about a request."""

    token: str
    reply: status.ExplainReply


@attrs.frozen
class AnswerBootstrap:
    """Effect: answer an operator's request to start a cluster."""

    cluster: str
    done: bool
    detail: str


@attrs.frozen
class Stopped:
    """Effect: everything in flight has ended; the process may leave."""


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
