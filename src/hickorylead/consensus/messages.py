"""Messages between voters, and the records they keep.

A member is one incarnation of a voter, written `node#incarnation`. A voter
that lost its disk comes back as another member: it cannot vote under the old
one, so it cannot take back what the old one acknowledged.
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
    """All that applying the log up to an index has given.

    Attributes:
        index: Index of the last entry applied.
        term: Term of that entry.
        voters: Members that vote, as of that entry.
        configuration: The document.
        outcomes: Answers remembered for resends, oldest first.
    """

    index: int
    term: int
    voters: tuple[str, ...]
    configuration: model.Configuration
    outcomes: tuple[changes.Outcome, ...] = ()


@attrs.frozen
class HardState:
    """What a voter must not forget: its term and its vote."""

    cluster: str
    term: int
    voted_for: str = ""


@attrs.frozen
class VoteRequest:
    """Asks for a vote; with `trial` it only asks whether one would be given."""

    cluster: str
    recipient: str
    candidate: str
    term: int
    last_index: int
    last_term: int
    trial: bool


@attrs.frozen
class VoteReply:
    """Answers a vote request."""

    voter: str
    term: int
    granted: bool
    trial: bool


@attrs.frozen
class AppendRequest:
    """Entries for a member, or none as a heartbeat.

    Attributes:
        sent_at: The leader's time when it sent this; the answer repeats it.
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


@attrs.frozen
class AppendReply:
    """Answers an append or a snapshot.

    Attributes:
        member: Who answers.
        term: Its term.
        matched: True if the log now agrees up to `index`.
        index: Last index agreed on, or where the leader should try next.
        sent_at: Time of the request that is answered, by the leader's clock.
    """

    member: str
    term: int
    matched: bool
    index: int
    sent_at: float = 0.0


@attrs.frozen
class SnapshotRequest:
    """A whole snapshot, for a member too far behind for entries."""

    cluster: str
    recipient: str
    leader: str
    term: int
    snapshot: Snapshot
    sent_at: float = 0.0


@attrs.frozen
class JoinRequest:
    """A voter whose incarnation is no member asks to become one."""

    member: str


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
    """Journal record: entries from this index on are void."""

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
    """Effect: a change has its final answer."""

    outcome: changes.Outcome


@attrs.frozen
class Abandon:
    """Effect: this voter can no longer say how a change ends.

    Attributes:
        change_id: The change that was appended but not seen committed.
    """

    change_id: str


Effect: TypeAlias = Send | Persist | Apply | Answer | Abandon


def get_node(member: str) -> str:
    """Returns the node of a member."""
    return member.partition("#")[0]
