"""Replication state that a leader keeps for the other members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.consensus import (
    freshness,
    log as log_module,
    membership,
    messages,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from hickorylead.consensus import state_machine as state_machine_module

MAX_ENTRIES_PER_APPEND = 64
MAX_BYTES_PER_APPEND = 1024 * 1024
# Rate at which a member at least receives and stores entries, in bytes/s: a
# twentieth of the slowest link of a coordinator, as decoding takes longer.
MIN_BYTES_PER_S = 1024 * 1024


@attrs.define
class Progress:
    """What a leader knows of one other member, voter or not.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Last index at which the logs are known to agree.
        last_contact_at: When the latest request that the member replied to
            was sent, or when the leader started to track the member.
        is_founder: Whether it was started together with the whole system.
        was_voter: Whether it has been a voter before.
        unanswered_at: When entries or a snapshot were sent that the member has
            not replied to yet; None if it has replied.
        unanswered_s: How long the member may take for them, in seconds.
        replied_at: Time of the reply to the latest request, by the member's
            clock; `freshness.NO_REPLY` if there was none.
    """

    next_index: int
    match_index: int = 0
    last_contact_at: float = 0.0
    is_founder: bool = False
    was_voter: bool = True
    unanswered_at: float | None = None
    unanswered_s: float = 0.0
    replied_at: float = freshness.NO_REPLY


@attrs.frozen
class Header:
    """What each message of a leader repeats.

    Attributes:
        cluster: Id of the cluster.
        leader: The leader.
        term: Its term.
        commit: Index up to which the log is committed.
        is_in_touch: Whether a majority has replied recently. Otherwise another
            leader may have committed changes that this one does not know.
    """

    cluster: str
    leader: str
    term: int
    commit: int
    is_in_touch: bool = True


class Replicator:
    """Sends entries to the other members and tracks what they hold."""

    def __init__(
        self,
        log: log_module.Log,
        state_machine: state_machine_module.StateMachine,
    ) -> None:
        """Creates a replicator that tracks no member.

        Args:
            log: The log of the voter.
            state_machine: The state after its committed entries.
        """
        self._log = log
        self._state_machine = state_machine
        self.members: dict[str, Progress] = {}

    def reset(self, contacts: Mapping[str, float]) -> None:
        """Tracks these members only, at the start of a term.

        Args:
            contacts: When each member was last heard of.
        """
        self.members = {
            member: Progress(self._log.last_index + 1, last_contact_at=at)
            for member, at in contacts.items()
        }

    def track(self, join: messages.JoinRequest, now: float) -> None:
        """Starts to track a member unless it is tracked already."""
        if join.member not in self.members:
            self.members[join.member] = Progress(
                self._log.last_index + 1, last_contact_at=now
            )
        progress = self.members[join.member]
        progress.is_founder = join.is_founder
        progress.was_voter = join.was_voter

    def record_voters(self, voters: Iterable[str]) -> None:
        """Records that members are voters now."""
        for voter in voters:
            if voter in self.members:
                self.members[voter].was_voter = True

    def prune(self, voters: Collection[str], since: float) -> None:
        """Stops tracking members without a vote that are not reached.

        Args:
            voters: Members that are kept.
            since: Others are kept if they were in contact since this time.
        """
        self.members = {
            member: progress
            for member, progress in self.members.items()
            if member in voters or progress.last_contact_at >= since
        }

    def list_contacts(self, voters: Iterable[str]) -> list[tuple[str, float]]:
        """Returns the tracked voters with their last contact, by name."""
        return sorted(
            (voter, self.members[voter].last_contact_at)
            for voter in voters
            if voter in self.members
        )

    def list_candidates(
        self, voters: Collection[str], index: int, since: float
    ) -> list[membership.Candidate]:
        """Returns the reachable members without a vote.

        Args:
            voters: The present voters.
            index: Index up to which the log is committed.
            since: Candidates were in contact since this time.
        """
        return [
            membership.Candidate(
                member,
                is_caught_up=progress.match_index >= index,
                is_founder=progress.is_founder,
                was_voter=progress.was_voter,
            )
            for member, progress in sorted(self.members.items())
            if member not in voters and progress.last_contact_at >= since
        ]

    def list_reached(self, since: float) -> set[str]:
        """Returns the members that replied to a request sent since a time."""
        return {
            member
            for member, progress in self.members.items()
            if progress.last_contact_at >= since
        }

    def list_holders(self, index: int) -> set[str]:
        """Returns the other members that hold the log up to an index."""
        return {
            member
            for member, progress in self.members.items()
            if progress.match_index >= index
        }

    def send_to_all(self, header: Header, now: float) -> list[messages.Effect]:
        """Sends each member what it lacks, or a heartbeat."""
        return [
            effect
            for member in sorted(self.members)
            for effect in self.send(member, header, now)
        ]

    def send(
        self, member: str, header: Header, now: float
    ) -> list[messages.Effect]:
        """Sends a member what it lacks, or a heartbeat.

        A member that has not replied to what it was sent gets heartbeats only.
        Its reply to a heartbeat that was sent after the time that it may take
        shows that the earlier message was lost.
        """
        progress = self.members[member]
        if progress.unanswered_at is None:
            if self.is_behind(member):
                return self.send_missing(member, header, now)
            index = progress.next_index - 1
        else:
            index = max(progress.match_index, self._log.snapshot.index)
        return [self._append(member, header, index, (), now)]

    def send_missing(
        self, member: str, header: Header, now: float
    ) -> list[messages.Effect]:
        """Sends a member the next part of what it lacks, if any."""
        progress = self.members[member]
        if progress.unanswered_at is not None or not self.is_behind(member):
            return []
        progress.unanswered_at = now
        if self._log.get_term(progress.next_index - 1) is None:
            progress.unanswered_s = self._estimate_transfer(())
            snapshot = self._state_machine.make_snapshot(self._log)
            request = messages.SnapshotRequest(
                header.cluster,
                member,
                header.leader,
                header.term,
                snapshot,
                now,
            )
            return [messages.Send(messages.get_node(member), request)]
        entries = self._log.make_batch(
            progress.next_index,
            max_entries=MAX_ENTRIES_PER_APPEND,
            max_bytes=MAX_BYTES_PER_APPEND,
        )
        progress.unanswered_s = self._estimate_transfer(entries)
        previous = progress.next_index - 1
        return [self._append(member, header, previous, entries, now)]

    def _estimate_transfer(
        self, entries: tuple[messages.LogEntry, ...]
    ) -> float:
        """Returns how long entries or a snapshot may take, in seconds."""
        if entries:
            size = log_module.measure_entries(entries)
        else:
            size = len(self._state_machine.configuration.content)
        return size / MIN_BYTES_PER_S

    def _append(
        self,
        member: str,
        header: Header,
        previous: int,
        entries: tuple[messages.LogEntry, ...],
        now: float,
    ) -> messages.Send:
        term = self._log.get_term(previous)
        assert term is not None, "the previous entry is known"
        request = messages.AppendRequest(
            cluster=header.cluster,
            recipient=member,
            leader=header.leader,
            term=header.term,
            previous_index=previous,
            previous_term=term,
            entries=entries,
            commit=header.commit,
            sent_at=now,
            echoed_at=(
                self.members[member].replied_at
                if header.is_in_touch
                else freshness.NO_REPLY
            ),
        )
        return messages.Send(messages.get_node(member), request)

    def handle_reply(self, reply: messages.AppendReply) -> None:
        """Records what a tracked member reported."""
        progress = self.members[reply.member]
        # The time of contact is when the request was sent, not when the reply
        # arrived: after a freeze, a leader would otherwise count replies that
        # had waited in its buffers as recent contact, and stay leader after
        # another one was elected.
        if reply.sent_at >= progress.last_contact_at:
            progress.last_contact_at = reply.sent_at
            progress.replied_at = reply.replied_at or freshness.NO_REPLY
        if progress.unanswered_at is not None and (
            reply.sent_at == progress.unanswered_at
            or reply.sent_at > progress.unanswered_at + progress.unanswered_s
        ):
            progress.unanswered_at = None
        if reply.matched:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(progress.next_index, reply.index + 1)
        elif progress.unanswered_at is None:
            progress.next_index = max(
                1, min(progress.next_index - 1, reply.index + 1)
            )

    def is_behind(self, member: str) -> bool:
        """Returns whether a member lacks entries of the log."""
        return self.members[member].next_index <= self._log.last_index
