"""What a voter does while it does not lead: join, and store the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.consensus import freshness, messages

if TYPE_CHECKING:
    from hickorylead.consensus import voter_state


class Following:
    """The side of a voter that receives the log of a leader."""

    def __init__(
        self,
        state: voter_state.VoterState,
        now: float,
        *,
        is_founder: bool,
    ) -> None:
        """Creates the side of a voter that has received nothing.

        Args:
            state: State of the voter.
            now: Present time.
            is_founder: Whether it is started together with the whole system.
        """
        self._state = state
        self._is_founder = is_founder
        self._freshness = freshness.Freshness(state.options.election_max_s)
        self._next_join = now

    def is_current(self, now: float) -> bool:
        """Returns whether all that was committed recently is applied here."""
        return self._freshness.is_current(now)

    def request_join(self, now: float) -> list[messages.Effect]:
        """Asks all nodes for the log, at intervals."""
        if now < self._next_join or not self._state.peers:
            return []
        self._next_join = now + self._state.options.join_period_s
        join = messages.JoinRequest(
            self._state.member,
            self._is_founder,
            self._state.hard_state.was_voter,
        )
        return [messages.Send(node, join) for node in self._state.peers]

    def receive_append(
        self, request: messages.AppendRequest, now: float
    ) -> list[messages.Effect]:
        """Stores entries of a leader, if they fit the log."""
        state = self._state
        if request.recipient != state.member or not state.accepts_cluster(
            request.cluster
        ):
            return []
        node = messages.get_node(request.leader)
        if request.term < state.term:
            stale = messages.AppendReply(state.member, state.term, False, 0)
            return [messages.Send(node, stale)]
        effects = self._follow_leader(
            request.cluster, request.leader, request.term, now
        )
        known = state.log.get_term(request.previous_index)
        if request.previous_index < state.log.snapshot.index:
            # Every entry up to this voter's snapshot is committed, so the log
            # agrees with the leader's there.
            known = request.previous_term
        if known != request.previous_term:
            hint = min(state.log.last_index, request.previous_index - 1)
            self._freshness.record_append(
                is_caught_up=False, echoed_at=request.echoed_at, now=now
            )
            reply = messages.AppendReply(
                state.member, state.term, False, hint, request.sent_at, now
            )
            return [*effects, messages.Send(node, reply)]
        effects += self._merge_entries(request.entries)
        agreed = request.previous_index + len(request.entries)
        effects += state.commit_to(min(request.commit, agreed), now)
        self._freshness.record_append(
            is_caught_up=state.commit >= request.commit
            and state.log.get_term(state.commit) == state.term,
            echoed_at=request.echoed_at,
            now=now,
        )
        reply = messages.AppendReply(
            state.member, state.term, True, agreed, request.sent_at, now
        )
        return [*effects, messages.Send(node, reply)]

    def receive_snapshot(
        self, request: messages.SnapshotRequest, now: float
    ) -> list[messages.Effect]:
        """Replaces the log with a leader's snapshot, if it is newer."""
        state = self._state
        if request.recipient != state.member or not state.accepts_cluster(
            request.cluster
        ):
            return []
        if request.term < state.term:
            return []
        effects = self._follow_leader(
            request.cluster, request.leader, request.term, now
        )
        snapshot = request.snapshot
        if snapshot.index > state.commit:
            state.log.install(snapshot)
            state.state_machine.record_snapshot()
            effects.append(messages.Persist(messages.InstallSnapshot(snapshot)))
            effects += state.record_vote()
            state.load_snapshot()
            effects.append(messages.Apply(state.configuration))
        reply = messages.AppendReply(
            state.member,
            state.term,
            True,
            max(state.commit, snapshot.index),
            request.sent_at,
            now,
        )
        node = messages.get_node(request.leader)
        return [*effects, messages.Send(node, reply)]

    def _follow_leader(
        self, cluster: str, leader: str, term: int, now: float
    ) -> list[messages.Effect]:
        state = self._state
        effects = state.join_cluster(cluster)
        if term > state.term or state.role != "follower":
            effects += state.step_down(term, now)
        state.leader = leader
        state.last_leader_contact_at = now
        state.election_timer.restart(now)
        return effects

    def _merge_entries(
        self, entries: tuple[messages.LogEntry, ...]
    ) -> list[messages.Effect]:
        log = self._state.log
        effects: list[messages.Effect] = []
        for position, entry in enumerate(entries):
            if entry.index <= log.snapshot.index:
                continue
            known = log.get_term(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                log.truncate(entry.index)
                effects.append(
                    messages.Persist(messages.TruncateLog(entry.index))
                )
            return [*effects, *self._state.append(entries[position:])]
        return effects
