"""What a voter does while it leads: replicate, commit and change voters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.configuration import changes
from hickorylead.consensus import membership, messages, replication

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.consensus import voter_state

# Time after which a leader stops sending to a member without a vote that does
# not reply, in seconds.
LEARNER_RETENTION_S = 10.0
# Heartbeats without a reply after which a voter may be lost.
SILENT_HEARTBEATS = 3


class Leadership:
    """The terms in which a voter leads."""

    def __init__(
        self,
        state: voter_state.VoterState,
        replicator: replication.Replicator,
        now: float,
    ) -> None:
        """Creates the leadership of a voter that has not led yet.

        Args:
            state: State of the voter.
            replicator: Sends the log to the other members.
            now: Present time.
        """
        self._state = state
        self._replicator = replicator
        self._leads_since = now
        self._next_heartbeat = now

    def has_majority(self, now: float) -> bool:
        """Returns whether a majority replied to recent requests."""
        reached = self._replicator.list_reached(
            now - self._state.options.election_min_s
        )
        return self._state.is_majority(reached | {self._state.member})

    def is_ready(self, now: float) -> bool:
        """Returns whether this voter leads and has applied all commits.

        A new leader holds every committed entry, but it can determine which
        entries those are only once an entry of its own term is committed.
        """
        return self.knows_commits() and self.has_majority(now)

    def knows_commits(self) -> bool:
        """Returns whether this voter leads and knows which entries commit.

        A majority need not have replied recently: a change is committed, and a
        read answered, only once a majority has replied to it.
        """
        return (
            self._state.role == "leader"
            and self._state.log.get_term(self._state.commit) == self._state.term
        )

    def is_read_confirmed(self, requested_at: float) -> bool:
        """Returns whether a read requested at a time may be answered now.

        A leader may have been replaced without having received any message
        about the new leader; its response would be stale. Once a majority has
        replied to messages that were sent after the read arrived, no other
        leader can have been elected before it arrived.
        """
        reached = self._replicator.list_reached(requested_at)
        return self.knows_commits() and self._state.is_majority(
            reached | {self._state.member}
        )

    def begin(self, now: float) -> list[messages.Effect]:
        """Begins a term, once this voter is elected."""
        self._state.role = "leader"
        self._state.leader = self._state.member
        self._leads_since = now
        # Contact before the election counts, so that an election does not
        # delay the replacement of a voter that is lost.
        self._replicator.reset(
            {
                voter: min(
                    now,
                    self._state.heard_at.get(messages.get_node(voter), now),
                )
                for voter in self._state.voters
                if voter != self._state.member
            }
        )
        # The new leader appends an entry without a change. Entries of earlier
        # terms count as committed only once a later entry of this term is
        # committed: even if a majority holds them, a later leader could still
        # overwrite them.
        return self._append(changes.Change("", -1, changes.NoChange()), now)

    def tick(self, now: float) -> list[messages.Effect]:
        """Handles the passing of time while this voter leads."""
        # A leader that is partitioned without a connection error would keep its
        # role, and its callers would wait for ever. Replies that are late do
        # not end its term: until they arrive it confirms no read, and its
        # followers do not count as up to date.
        if not self._hears_majority(now):
            return self._state.step_down(self._state.term, now)
        self._replicator.prune(self._state.voters, now - LEARNER_RETENTION_S)
        effects = self._change_voters(now)
        if now >= self._next_heartbeat:
            effects += self.replicate(now)
        return effects

    def propose(
        self, change: changes.Change, now: float
    ) -> list[messages.Effect]:
        """Appends a change; only for a leader with a majority."""
        known = self._state.state_machine.find_outcome(change.change_id)
        if known is not None:
            return [messages.Answer(known)]
        if change.change_id in self._state.pending.values():
            return []
        self._state.pending[self._state.log.last_index + 1] = change.change_id
        return self._append(change, now)

    def replicate(self, now: float) -> list[messages.Effect]:
        """Sends each member what it lacks, or a heartbeat."""
        self._next_heartbeat = now + self._state.options.heartbeat_s
        return [
            *self._advance_commit(now),
            *self._replicator.send_to_all(self._make_header(now), now),
        ]

    def receive_reply(
        self, reply: messages.AppendReply, now: float
    ) -> list[messages.Effect]:
        """Handles a member's reply to entries or to a snapshot."""
        if reply.term > self._state.term:
            return self._state.step_down(reply.term, now)
        member = reply.member
        if (
            self._state.role != "leader"
            or reply.term != self._state.term
            or member not in self._replicator.members
        ):
            return []
        self._replicator.handle_reply(reply)
        effects = self._advance_commit(now)
        if self._state.role == "leader":
            effects += self._replicator.send_missing(
                member, self._make_header(now), now
            )
        return [*effects, *self._change_voters(now)]

    def receive_join(
        self, join: messages.JoinRequest, now: float
    ) -> list[messages.Effect]:
        """Starts to send the log to a member without a vote."""
        if self._state.role != "leader" or join.member in self._state.voters:
            return []
        self._replicator.track(join, now)
        return self._replicator.send(join.member, self._make_header(now), now)

    def _hears_majority(self, now: float) -> bool:
        heard = {
            member
            for member, progress in self._replicator.members.items()
            if self._state.measure_silence(progress.last_contact_at, now)
            < self._state.options.election_max_s
        }
        return self._state.is_majority(heard | {self._state.member})

    def _make_header(self, now: float) -> replication.Header:
        return replication.Header(
            self._state.cluster,
            self._state.member,
            self._state.term,
            self._state.commit,
            is_in_touch=self.has_majority(now),
        )

    def _append(
        self, change: changes.Change, now: float
    ) -> list[messages.Effect]:
        """Appends an entry of this term and sends it to the members."""
        entry = messages.LogEntry(
            self._state.log.last_index + 1, self._state.term, change
        )
        return [*self._state.append([entry]), *self.replicate(now)]

    def _advance_commit(self, now: float) -> list[messages.Effect]:
        log = self._state.log
        for index in range(log.last_index, self._state.commit, -1):
            if log.get_term(index) != self._state.term:
                break
            replicated = self._replicator.list_holders(index)
            if self._state.is_majority(replicated | {self._state.member}):
                return self._state.commit_to(index, now)
        return []

    # Changes of the set of voters, one at a time.

    def _list_missed(
        self, voters: Iterable[str], silent_s: float, now: float
    ) -> list[str]:
        """Returns the voters that were silent for a time, longest first."""
        silences = [
            (self._state.measure_silence(contact_at, now), voter)
            for voter, contact_at in self._replicator.list_contacts(voters)
        ]
        return [
            voter
            for silence_s, voter in sorted(silences, key=lambda s: -s[0])
            if silence_s > silent_s
        ]

    def _change_voters(self, now: float) -> list[messages.Effect]:
        if self._state.role != "leader" or self._is_changing_voters():
            return []
        voters = self._state.voters
        options = self._state.options
        replace_after_s = options.replace_after_s
        candidates = self._replicator.list_candidates(
            voters, self._state.commit, now - options.election_min_s
        )
        incarnations = {
            messages.get_node(candidate.member): candidate.member
            for candidate in candidates
            if candidate.is_caught_up
        }
        lost = [
            voter
            for voter in voters
            if messages.get_node(voter) in incarnations
        ]
        missed: list[str] = []
        silent: list[str] = []
        if replace_after_s and now - self._leads_since >= options.join_period_s:
            # A new leader first gives every voter time to reply.
            missed = self._list_missed(voters, replace_after_s, now)
            silent = self._list_missed(
                voters, SILENT_HEARTBEATS * options.heartbeat_s, now
            )
        chosen = membership.choose_voters(
            membership.Situation(
                voters=voters,
                leaving=self._state.log.find_voters().leaving,
                lost=tuple(lost),
                missed=tuple(voter for voter in missed if voter not in lost),
                is_any_silent=len(silent) > len(missed),
                candidates=tuple(candidates),
                zones=options.zones,
                smallest=options.min_voters,
            )
        )
        return [] if chosen is None else self._propose_voters(chosen, now)

    def _propose_voters(
        self, chosen: changes.SetVoters, now: float
    ) -> list[messages.Effect]:
        self._replicator.record_voters(chosen.voters)
        return self._append(changes.Change("", -1, chosen), now)

    def _is_changing_voters(self) -> bool:
        # Until an entry of this term is committed, a change of voters that
        # an earlier leader started could still be in some voter's log.
        log = self._state.log
        if log.get_term(self._state.commit) != self._state.term:
            return True
        rest = log.list_from(self._state.commit + 1, len(log))
        return any(
            isinstance(entry.change.operation, changes.SetVoters)
            for entry in rest
        )
