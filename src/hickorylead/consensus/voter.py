"""One voter of the configuration log, as a reducer.

A leader is elected by a majority of the voters and appends changes; a change
is committed once a majority has synced it, and its outcome is sent only then.
Times are seconds of a monotonic clock, passed to each method.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

from hickorylead.configuration import changes, model
from hickorylead.consensus import (
    freshness,
    log as log_module,
    membership,
    messages,
    options as options_module,
    replication,
    state_machine as state_machine_module,
)
from hickorylead.turns import own_pauses

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    import random

# Time after which a leader stops sending to a member without a vote that does
# not reply, in seconds.
LEARNER_RETENTION_S = 10.0
# Heartbeats without a reply after which a voter may be lost.
SILENT_HEARTBEATS = 3

Role = Literal["follower", "candidate", "leader"]


class Voter:
    """State of one voter; methods return effects in the order to run them."""

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        peers: tuple[str, ...],
        rng: random.Random,
        now: float,
        options: options_module.VoterOptions = options_module.DEFAULT_OPTIONS,
        is_founder: bool = False,
        pauses: own_pauses.OwnPauses | None = None,
    ) -> None:
        """Creates a voter with an empty log.

        Args:
            node: Name of this control process.
            peers: Names of the other control processes, members or not.
            incarnation: Name of the data folder's present incarnation.
            rng: Source of the jitter of election timeouts.
            now: Present time.
            options: Timeouts for elections and for lost voters.
            is_founder: Whether it is started together with the whole system.
            pauses: Pauses of the process, if they are shared with others.
        """
        self._pauses = pauses or own_pauses.OwnPauses(now)
        self._options = options
        self._is_founder = is_founder
        self.member = f"{node}#{incarnation}"
        self.role: Role = "follower"
        self.leader = ""
        self._freshness = freshness.Freshness(options.election_max_s)
        self.log = log_module.Log()
        self.commit = 0
        self._state_machine = state_machine_module.StateMachine()
        self._hard_state = messages.HardState(cluster="", term=0)
        self._peers = peers
        self._heard_at: Mapping[str, float] = {}
        self._rng = rng
        self._votes: set[str] = set()
        self._trial = False
        self._replicator = replication.Replicator(self.log, self._state_machine)
        self._pending: dict[int, str] = {}
        self.last_leader_contact_at = now
        self._leads_since = now
        self._election_timer_started_at = now
        self._election_timeout_s = 0.0
        self._next_heartbeat = now
        self._next_join = now
        self._restart_election_timer(now)
        if options.first_election_max_s:
            longest_s = options.first_election_max_s
            self._election_timeout_s = rng.uniform(longest_s / 4, longest_s)

    @property
    def term(self) -> int:
        """The current term."""
        return self._hard_state.term

    @property
    def cluster(self) -> str:
        """Id of the cluster; empty until this voter belongs to one."""
        return self._hard_state.cluster

    @property
    def configuration(self) -> model.Configuration:
        """The configuration after all committed changes."""
        return self._state_machine.configuration

    @property
    def voters(self) -> tuple[str, ...]:
        """The members that vote, according to the log of this voter."""
        return self.log.find_voters().voters

    def set_peers(self, heard_at: Mapping[str, float]) -> None:
        """Sets the other control processes that are known now.

        Args:
            heard_at: When each of them was last heard of, by node.
        """
        self._peers = tuple(heard_at)
        self._heard_at = heard_at

    def restore(self, records: Iterable[messages.Record]) -> None:
        """Replays the journal; must be called once, before any other method."""
        for record in records:
            if isinstance(record, messages.HardState):
                self._hard_state = record
            self.log.replay(record)
        self._load_snapshot()

    def export_records(self) -> list[messages.Record]:
        """Returns records that restore the complete state of this voter."""
        rest = self.log.list_from(self.log.snapshot.index + 1, len(self.log))
        records: list[messages.Record] = [
            self._hard_state,
            messages.InstallSnapshot(self.log.snapshot),
        ]
        return [*records, messages.AppendLog(rest)] if rest else records

    def bootstrap(self, cluster: str, voters: tuple[str, ...]) -> list:
        """Starts a cluster; returns no effects if there is one already."""
        if self.cluster:
            return []
        self._election_timeout_s = 0.0
        # The first log entry contains the set of voters and replicates it. If
        # the set were only in a snapshot of this voter, the other voters could
        # not elect a leader after the loss of this voter.
        change = changes.Change("", -1, changes.SetVoters(voters))
        entry = messages.LogEntry(1, 0, change)
        return [
            *self._update_hard_state(cluster=cluster),
            *self._append([entry]),
        ]

    def measure_silences(self, now: float) -> dict[str, int]:
        """Returns how long ago each member got the latest request it answered.

        In ms, by member, as known to a leader or to one that led before.
        """
        return {
            member: round(1000 * (now - progress.last_contact_at))
            for member, progress in sorted(self._replicator.members.items())
        }

    def has_leader(self, now: float) -> bool:
        """Returns whether a leader with a majority was recently in contact."""
        if self.role == "leader":
            return self._has_majority(now)
        return (
            self.leader != ""
            and self._measure_silence(self.last_leader_contact_at, now)
            < self._options.election_max_s
        )

    def is_ready_leader(self, now: float) -> bool:
        """Returns whether this voter leads and has applied all commits.

        A new leader holds every committed entry, but it can determine which
        entries those are only once an entry of its own term is committed.
        """
        return (
            self.role == "leader"
            and self._has_majority(now)
            and self.log.get_term(self.commit) == self.term
        )

    def is_fresh(self, now: float) -> bool:
        """Returns whether all that was committed recently is applied here."""
        if self.role == "leader":
            return self.is_ready_leader(now)
        return self.has_leader(now) and self._freshness.is_current(now)

    def is_read_confirmed(self, requested_at: float, now: float) -> bool:
        """Returns whether a read requested at a time may be answered now.

        A leader may have been replaced without having received any message
        about the new leader; its response would be stale. Once a majority has
        replied to messages that were sent after the read arrived, no other
        leader can have been elected before it arrived.
        """
        reached = self._replicator.list_reached(requested_at)
        return self.is_ready_leader(now) and self._is_majority(
            reached | {self.member}
        )

    def send_heartbeats(self, now: float) -> list[messages.Effect]:
        """Sends heartbeats at once, so that a read is confirmed soon."""
        return self._replicate(now) if self.role == "leader" else []

    def tick(self, now: float) -> list[messages.Effect]:
        """Handles the passing of time; to be called several times a second."""
        self._pauses.record_listening(now)
        if self.role == "leader":
            return self._tick_leader(now)
        if not (self.cluster and self.member in self.voters):
            return self._request_join(now)
        effects: list[messages.Effect] = []
        waited_s = self._measure_silence(self._election_timer_started_at, now)
        if waited_s >= self._election_timeout_s:
            effects += self._start_election(now)
        silent_s = self._measure_silence(self.last_leader_contact_at, now)
        if silent_s > self._options.rejoin_after_s:
            effects += self._request_join(now)
        return effects

    def _request_join(self, now: float) -> list[messages.Effect]:
        if now < self._next_join or not self._peers:
            return []
        self._next_join = now + self._options.join_period_s
        join = messages.JoinRequest(
            self.member, self._is_founder, self._hard_state.was_voter
        )
        return [messages.Send(node, join) for node in self._peers]

    def propose(
        self, change: changes.Change, now: float
    ) -> list[messages.Effect]:
        """Appends a change; only for a leader with a majority."""
        known = self._state_machine.find_outcome(change.change_id)
        if known is not None:
            return [messages.Answer(known)]
        if change.change_id in self._pending.values():
            return []
        entry = messages.LogEntry(self.log.last_index + 1, self.term, change)
        self._pending[entry.index] = change.change_id
        return [*self._append([entry]), *self._replicate(now)]

    def receive(
        self, message: messages.Message, now: float
    ) -> list[messages.Effect]:
        """Handles a message from another voter."""
        match message:
            case messages.VoteRequest():
                return self._receive_vote_request(message, now)
            case messages.VoteReply():
                return self._receive_vote_reply(message, now)
            case messages.AppendRequest():
                return self._receive_append(message, now)
            case messages.SnapshotRequest():
                return self._receive_snapshot(message, now)
            case messages.AppendReply():
                return self._receive_append_reply(message, now)
            case messages.JoinRequest():
                return self._receive_join(message, now)

    # Elections.

    def _start_election(self, now: float) -> list[messages.Effect]:
        # Without a trial vote (pre-vote), a voter that was partitioned off
        # would return with a high term and depose a working leader. A trial
        # vote changes no term and is refused by voters that have a leader, so
        # the candidate does not raise its term.
        self._restart_election_timer(now)
        self.role = "candidate"
        self.leader = ""
        self._trial = True
        self._votes = {self.member}
        return self._request_votes(self.term + 1) or self._count_votes(now)

    def _request_votes(self, term: int) -> list[messages.Effect]:
        return [
            messages.Send(
                messages.get_node(voter),
                messages.VoteRequest(
                    cluster=self.cluster,
                    recipient=voter,
                    candidate=self.member,
                    term=term,
                    last_index=self.log.last_index,
                    last_term=self.log.last_term,
                    trial=self._trial,
                ),
            )
            for voter in self.voters
            if voter != self.member
        ]

    def _count_votes(self, now: float) -> list[messages.Effect]:
        if not self._is_majority(self._votes):
            return []
        if self._trial:
            self._trial = False
            self._votes = {self.member}
            effects = self._update_hard_state(
                term=self.term + 1, voted_for=self.member
            )
            return [
                *effects,
                *self._request_votes(self.term),
                *self._count_votes(now),
            ]
        return self._become_leader(now)

    def _receive_vote_request(
        self, request: messages.VoteRequest, now: float
    ) -> list[messages.Effect]:
        if request.recipient != self.member or not self._accepts_cluster(
            request.cluster
        ):
            return []
        up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        effects: list[messages.Effect] = []
        if request.trial:
            granted = (
                up_to_date
                and request.term > self.term
                and not self.has_leader(now)
            )
        else:
            effects += self._join_cluster(request.cluster)
            if request.term > self.term:
                effects += self._step_down(request.term, now)
            granted = (
                up_to_date
                and request.term == self.term
                and self._hard_state.voted_for in ("", request.candidate)
            )
            if granted:
                effects += self._update_hard_state(voted_for=request.candidate)
                self._restart_election_timer(now)
        reply = messages.VoteReply(
            self.member, self.term, granted, request.trial
        )
        node = messages.get_node(request.candidate)
        return [*effects, messages.Send(node, reply)]

    def _receive_vote_reply(
        self, reply: messages.VoteReply, now: float
    ) -> list[messages.Effect]:
        if reply.term > self.term:
            return self._step_down(reply.term, now)
        if (
            self.role != "candidate"
            or reply.trial != self._trial
            or not reply.granted
            or (not reply.trial and reply.term != self.term)
        ):
            return []
        self._votes.add(reply.voter)
        return self._count_votes(now)

    def _become_leader(self, now: float) -> list[messages.Effect]:
        self.role = "leader"
        self.leader = self.member
        self._leads_since = now
        # Contact before the election counts, so that an election does not
        # delay the replacement of a voter that is lost.
        self._replicator.reset(
            {
                voter: min(
                    now, self._heard_at.get(messages.get_node(voter), now)
                )
                for voter in self.voters
                if voter != self.member
            }
        )
        # The new leader appends an entry without a change. Entries of earlier
        # terms count as committed only once a later entry of this term is
        # committed: even if a majority holds them, a later leader could still
        # overwrite them.
        no_change = changes.Change("", -1, changes.NoChange())
        entry = messages.LogEntry(self.log.last_index + 1, self.term, no_change)
        return [*self._append([entry]), *self._replicate(now)]

    def _step_down(self, term: int, now: float) -> list[messages.Effect]:
        effects: list[messages.Effect] = []
        if term > self.term:
            effects += self._update_hard_state(term=term, voted_for="")
        if self.role == "leader":
            effects += [
                messages.Abandon(change_id)
                for change_id in self._pending.values()
                if change_id
            ]
            self._pending.clear()
            self._restart_election_timer(now)
        self.role = "follower"
        self.leader = ""
        return effects

    # Replication, leader side.

    def _tick_leader(self, now: float) -> list[messages.Effect]:
        # A leader that is partitioned without a connection error would keep its
        # role, and its callers would wait for ever. Replies that are late do
        # not end its term: until they arrive it confirms no read, and its
        # followers do not count as up to date.
        if not self._hears_majority(now):
            return self._step_down(self.term, now)
        self._replicator.prune(self.voters, now - LEARNER_RETENTION_S)
        effects = self._change_voters(now)
        if now >= self._next_heartbeat:
            effects += self._replicate(now)
        return effects

    def _has_majority(self, now: float) -> bool:
        reached = self._replicator.list_reached(
            now - self._options.election_min_s
        )
        return self._is_majority(reached | {self.member})

    def _hears_majority(self, now: float) -> bool:
        heard = {
            member
            for member, progress in self._replicator.members.items()
            if self._measure_silence(progress.last_contact_at, now)
            < self._options.election_max_s
        }
        return self._is_majority(heard | {self.member})

    def _measure_silence(self, since: float, now: float) -> float:
        return self._pauses.measure_silence(since, now)

    def _replicate(self, now: float) -> list[messages.Effect]:
        self._next_heartbeat = now + self._options.heartbeat_s
        return [
            *self._advance_commit(now),
            *self._replicator.send_to_all(self._make_header(now), now),
        ]

    def _make_header(self, now: float) -> replication.Header:
        return replication.Header(
            self.cluster,
            self.member,
            self.term,
            self.commit,
            is_in_touch=self._has_majority(now),
        )

    def _receive_append_reply(
        self, reply: messages.AppendReply, now: float
    ) -> list[messages.Effect]:
        if reply.term > self.term:
            return self._step_down(reply.term, now)
        member = reply.member
        if (
            self.role != "leader"
            or reply.term != self.term
            or member not in self._replicator.members
        ):
            return []
        self._replicator.handle_reply(reply)
        effects = self._advance_commit(now)
        if self.role == "leader":
            effects += self._replicator.send_missing(
                member, self._make_header(now), now
            )
        return [*effects, *self._change_voters(now)]

    def _advance_commit(self, now: float) -> list[messages.Effect]:
        for index in range(self.log.last_index, self.commit, -1):
            if self.log.get_term(index) != self.term:
                break
            replicated = self._replicator.list_holders(index)
            if self._is_majority(replicated | {self.member}):
                return self._commit_to(index, now)
        return []

    # Changes of the set of voters, one at a time.

    def _receive_join(
        self, join: messages.JoinRequest, now: float
    ) -> list[messages.Effect]:
        if self.role != "leader" or join.member in self.voters:
            return []
        self._replicator.track(join, now)
        return self._replicator.send(join.member, self._make_header(now), now)

    def _change_voters(self, now: float) -> list[messages.Effect]:
        if self.role != "leader" or self._is_changing_voters():
            return []
        voters = self.voters
        replace_after_s = self._options.replace_after_s
        candidates = self._replicator.list_candidates(
            voters, self.commit, now - self._options.election_min_s
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
        if (
            replace_after_s
            and now - self._leads_since >= self._options.join_period_s
        ):
            # A new leader first gives every voter time to reply.
            missed = self._replicator.list_missed(voters, now - replace_after_s)
            silent = self._replicator.list_missed(
                voters, now - SILENT_HEARTBEATS * self._options.heartbeat_s
            )
        chosen = membership.choose_voters(
            membership.Situation(
                voters=voters,
                leaving=self.log.find_voters().leaving,
                lost=tuple(lost),
                missed=tuple(voter for voter in missed if voter not in lost),
                is_any_silent=len(silent) > len(missed),
                candidates=tuple(candidates),
                zones=self._options.zones,
                smallest=self._options.min_voters,
            )
        )
        return [] if chosen is None else self._propose_voters(chosen, now)

    def _propose_voters(
        self, chosen: changes.SetVoters, now: float
    ) -> list[messages.Effect]:
        self._replicator.record_voters(chosen.voters)
        change = changes.Change("", -1, chosen)
        entry = messages.LogEntry(self.log.last_index + 1, self.term, change)
        return [*self._append([entry]), *self._replicate(now)]

    def _is_changing_voters(self) -> bool:
        # Until an entry of this term is committed, a change of voters that
        # an earlier leader started could still be in some voter's log.
        if self.log.get_term(self.commit) != self.term:
            return True
        rest = self.log.list_from(self.commit + 1, len(self.log))
        return any(
            isinstance(entry.change.operation, changes.SetVoters)
            for entry in rest
        )

    # Replication, follower side.

    def _follow_leader(
        self, cluster: str, leader: str, term: int, now: float
    ) -> list[messages.Effect]:
        effects = self._join_cluster(cluster)
        if term > self.term or self.role != "follower":
            effects += self._step_down(term, now)
        self.leader = leader
        self.last_leader_contact_at = now
        self._restart_election_timer(now)
        return effects

    def _receive_append(
        self, request: messages.AppendRequest, now: float
    ) -> list[messages.Effect]:
        if request.recipient != self.member or not self._accepts_cluster(
            request.cluster
        ):
            return []
        node = messages.get_node(request.leader)
        if request.term < self.term:
            stale = messages.AppendReply(self.member, self.term, False, 0)
            return [messages.Send(node, stale)]
        effects = self._follow_leader(
            request.cluster, request.leader, request.term, now
        )
        known = self.log.get_term(request.previous_index)
        if request.previous_index < self.log.snapshot.index:
            # Every entry up to this voter's snapshot is committed, so the log
            # agrees with the leader's there.
            known = request.previous_term
        if known != request.previous_term:
            hint = min(self.log.last_index, request.previous_index - 1)
            self._freshness.record_append(
                is_caught_up=False, echoed_at=request.echoed_at, now=now
            )
            reply = messages.AppendReply(
                self.member, self.term, False, hint, request.sent_at, now
            )
            return [*effects, messages.Send(node, reply)]
        effects += self._merge_entries(request.entries)
        agreed = request.previous_index + len(request.entries)
        effects += self._commit_to(min(request.commit, agreed), now)
        self._freshness.record_append(
            is_caught_up=self.commit >= request.commit
            and self.log.get_term(self.commit) == self.term,
            echoed_at=request.echoed_at,
            now=now,
        )
        reply = messages.AppendReply(
            self.member, self.term, True, agreed, request.sent_at, now
        )
        return [*effects, messages.Send(node, reply)]

    def _merge_entries(
        self, entries: tuple[messages.LogEntry, ...]
    ) -> list[messages.Effect]:
        effects: list[messages.Effect] = []
        for position, entry in enumerate(entries):
            if entry.index <= self.log.snapshot.index:
                continue
            known = self.log.get_term(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                self.log.truncate(entry.index)
                effects.append(
                    messages.Persist(messages.TruncateLog(entry.index))
                )
            return [*effects, *self._append(entries[position:])]
        return effects

    def _receive_snapshot(
        self, request: messages.SnapshotRequest, now: float
    ) -> list[messages.Effect]:
        if request.recipient != self.member or not self._accepts_cluster(
            request.cluster
        ):
            return []
        if request.term < self.term:
            return []
        effects = self._follow_leader(
            request.cluster, request.leader, request.term, now
        )
        snapshot = request.snapshot
        if snapshot.index > self.commit:
            self.log.install(snapshot)
            self._state_machine.record_snapshot()
            effects.append(messages.Persist(messages.InstallSnapshot(snapshot)))
            effects += self._record_vote()
            self._load_snapshot()
            effects.append(messages.Apply(self.configuration))
        reply = messages.AppendReply(
            self.member,
            self.term,
            True,
            max(self.commit, snapshot.index),
            request.sent_at,
            now,
        )
        node = messages.get_node(request.leader)
        return [*effects, messages.Send(node, reply)]

    # Shared by all roles.

    def _append(
        self, entries: Iterable[messages.LogEntry]
    ) -> list[messages.Effect]:
        added = tuple(entries)
        self.log.append(added)
        effects: list[messages.Effect] = [
            messages.Persist(messages.AppendLog(added))
        ]
        return [*effects, *self._record_vote()]

    def _record_vote(self) -> list[messages.Effect]:
        """Records on disk that this member is or was a voter."""
        if self._hard_state.was_voter or self.member not in self.voters:
            return []
        return self._update_hard_state(was_voter=True)

    def _commit_to(self, index: int, now: float) -> list[messages.Effect]:
        if index <= self.commit:
            return []
        self.commit = index
        effects: list[messages.Effect] = []
        before = self.configuration.version
        while self._state_machine.applied < self.commit:
            entry = self.log.get_entry(self._state_machine.applied + 1)
            assert entry is not None, "a committed entry is in the log"
            self._pending.pop(entry.index, None)
            effects += self._state_machine.apply(entry)
        if self.configuration.version != before:
            effects.append(messages.Apply(self.configuration))
        if self.role == "leader" and self.member not in self.voters:
            effects += self._step_down(self.term, now)
        if self._state_machine.is_snapshot_due(self.log):
            snapshot = self._state_machine.make_snapshot(self.log)
            self.log.install(snapshot)
            self._state_machine.record_snapshot()
            effects.append(messages.Persist(messages.InstallSnapshot(snapshot)))
        return effects

    def _load_snapshot(self) -> None:
        snapshot = self.log.snapshot
        self.commit = snapshot.index
        self._state_machine.load(snapshot)

    def _accepts_cluster(self, cluster: str) -> bool:
        return cluster != "" and self.cluster in ("", cluster)

    def _join_cluster(self, cluster: str) -> list[messages.Effect]:
        if self.cluster:
            return []
        return self._update_hard_state(cluster=cluster)

    def _update_hard_state(
        self,
        *,
        cluster: str | None = None,
        term: int | None = None,
        voted_for: str | None = None,
        was_voter: bool | None = None,
    ) -> list[messages.Effect]:
        old = self._hard_state
        self._hard_state = messages.HardState(
            cluster=old.cluster if cluster is None else cluster,
            term=old.term if term is None else term,
            voted_for=old.voted_for if voted_for is None else voted_for,
            was_voter=old.was_voter if was_voter is None else was_voter,
        )
        return (
            []
            if old == self._hard_state
            else [messages.Persist(self._hard_state)]
        )

    def _is_majority(self, members: set[str]) -> bool:
        voters = set(self.voters)
        return 2 * len(members & voters) > len(voters)

    def _restart_election_timer(self, now: float) -> None:
        self._election_timer_started_at = now
        self._election_timeout_s = self._rng.uniform(
            self._options.election_min_s, self._options.election_max_s
        )
