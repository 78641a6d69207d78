"""Messages between voters, and their journal records.

A member is one incarnation of a voter, written `node#incarnation`. A voter that
lost its disk returns as a new member. It cannot vote as the old member, so it
cannot revoke what the old member acknowledged.
"""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead.configuration import changes, model


@attrs.frozen
class LogEntry:
    """One change at its place in the log."""

    index: int
    term: int
    change: changes.Change


@attrs.frozen
class Snapshot:
    """The state after applying the log up to an index.

    Attributes:
        index: Index of the last entry applied.
        term: Term of that entry.
        voters: Members that vote, as of that entry.
        configuration: The document.
        outcomes: Outcomes stored for resends, oldest first.
        leaving: The voter that the next change of voters removes.
    """

    index: int
    term: int
    voters: tuple[str, ...]
    configuration: model.Configuration
    outcomes: tuple[changes.Outcome, ...] = ()
    leaving: str = ""


@attrs.frozen
class HardState:
    """State that a member must keep on disk.

    Attributes:
        cluster: Id of its cluster; empty until it belongs to one.
        term: Its term.
        voted_for: The candidate that it voted for in this term.
        was_voter: Whether it has ever been a voter.
    """

    cluster: str
    term: int
    voted_for: str = ""
    was_voter: bool = False


@attrs.frozen
class VoteRequest:
    """Requests a vote; a `trial` only queries whether it would be granted."""

    cluster: str
    recipient: str
    candidate: str
    term: int
    last_index: int
    last_term: int
    trial: bool


@attrs.frozen
class VoteReply:
    """Reply to a vote request."""

    voter: str
    term: int
    granted: bool
    trial: bool


@attrs.frozen
class AppendRequest:
    """Entries for a member, or none as a heartbeat.

    Attributes:
        sent_at: Time of sending, by the leader's clock; the reply repeats it.
        echoed_at: Time of the recipient's last reply that had arrived, by the
            recipient's clock; `freshness.NO_REPLY` if none had.
    """

    cluster: str
    recipient: str
    leader: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_at: float = 0.0
    echoed_at: float = 0.0


@attrs.frozen
class AppendReply:
    """Reply to an append or a snapshot.

    Attributes:
        member: The member that replies.
        term: Its term.
        matched: Whether its log now agrees with the leader's up to `index`.
        index: Last index at which the logs agree; if not `matched`, the index
            after which the leader should try next.
        sent_at: Time of the request, by the leader's clock.
        replied_at: Time of this reply, by the member's clock.
    """

    member: str
    term: int
    matched: bool
    index: int
    sent_at: float = 0.0
    replied_at: float = 0.0


@attrs.frozen
class SnapshotRequest:
    """A complete snapshot, for a member too far behind for entries."""

    cluster: str
    recipient: str
    leader: str
    term: int
    snapshot: Snapshot
    sent_at: float = 0.0


@attrs.frozen
class JoinRequest:
    """Request of a member without a vote to receive the log.

    Attributes:
        member: The member.
        is_founder: Whether it was started together with the whole system.
        was_voter: Whether it has been a voter before.
    """

    member: str
    is_founder: bool = False
    was_voter: bool = False


Message: TypeAlias = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | JoinRequest
)


@attrs.frozen
class TruncateLog:
    """Journal record: entries from this index on were removed."""

    index: int


@attrs.frozen
class AppendLog:
    """Journal record: entries were appended."""

    entries: tuple[LogEntry, ...]


@attrs.frozen
class InstallSnapshot:
    """Journal record: a snapshot replaces all entries up to its index."""

    snapshot: Snapshot


Record: TypeAlias = HardState | TruncateLog | AppendLog | InstallSnapshot


@attrs.frozen
class Send:
    """Effect: send a message to a node."""

    node: str
    message: Message


@attrs.frozen
class Persist:
    """Effect: write a record and sync it before the next effect."""

    record: Record


@attrs.frozen
class Apply:
    """Effect: a new configuration is committed."""

    configuration: model.Configuration


@attrs.frozen
class Answer:
    """Effect: the outcome of a change is final."""

    outcome: changes.Outcome


@attrs.frozen
class Abandon:
    """Effect: this voter can no longer determine the outcome of a change.

    Attributes:
        change_id: The change, which was appended but not yet committed here.
    """

    change_id: str


Effect: TypeAlias = Send | Persist | Apply | Answer | Abandon


def get_node(member: str) -> str:
    """Returns the node of a member."""
    return member.partition("#")[0]
