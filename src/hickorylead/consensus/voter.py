"""One voter of the configuration log, as a reducer.

A leader is elected by a majority of the voters and appends changes; a change
is committed once a majority has synced it, and only then answered. Times are
seconds of a monotonic clock, given with each call.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import attrs

from hickorylead.configuration import changes, model
from hickorylead.consensus import (
    log as log_module,
    machine as machine_module,
    messages,
)

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

JOIN_PERIOD_S = 1.0
MAX_ENTRIES_PER_APPEND = 64

Role = Literal["follower", "candidate", "leader"]


@attrs.frozen
class VoterOptions:
    """How fast voters notice that one of them is gone.

    Attributes:
        heartbeat_s: Pause between two heartbeats of a leader, in seconds.
        election_min_s: Shortest silence after which a voter wants to lead,
            and longest that a leader goes on without a majority, in seconds.
        election_max_s: Longest such silence, in seconds.
        first_election_max_s: Longest silence of the others after which a voter
            that has just started wants to lead, in seconds; 0 if it waits
            as long as always. After all voters were killed nobody leads, and
            a trial vote keeps it from deposing a leader that there is.
        replace_after_s: Silence after which a voter gives way to a newcomer
            of its zone, in seconds; 0 if none ever does.
        min_voters: Voters that are never gone below by that.
        rejoin_after_s: Silence after which a voter asks to join again, in
            seconds. It may have been removed while it was frozen, and the
            entry that says so does not reach it any more: nobody tells it
            anything, and it would ask for votes in vain for ever. A leader
            passes over the request of one that is still a voter.
    """

    heartbeat_s: float = 0.5
    election_min_s: float = 2.0
    election_max_s: float = 4.0
    first_election_max_s: float = 0.0
    replace_after_s: float = 0.0
    min_voters: int = 3
    rejoin_after_s: float = 8.0


DEFAULT_OPTIONS = VoterOptions()


@attrs.define
class Progress:
    """What a leader knows about one other member."""

    next_index: int
    match_index: int = 0
    heard_at: float = 0.0


class Voter:
    """State of one voter; every method returns effects in order."""

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        peers: tuple[str, ...],
        rng: random.Random,
        now: float,
        options: VoterOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Makes a voter that knows nothing yet.

        Args:
            node: Name of this control process.
            peers: Names of the other control processes, members or not.
            incarnation: Name of the data folder's present life.
            rng: Source of the spread of election timeouts.
            now: Present time.
            options: How fast a lost voter is noticed.
        """
        self._tuning = options
        self.member = f"{node}#{incarnation}"
        self.role: Role = "follower"
        self.leader = ""
        # Whether all that the leader had committed is known here; after a
        # start it is not, until a leader was heard.
        self.is_caught_up = False
        self.log = log_module.Log()
        self.commit = 0
        self._machine = machine_module.Machine()
        self._hard = messages.HardState(cluster="", term=0)
        self._peers = peers
        self._rng = rng
        self._votes: set[str] = set()
        self._trial = False
        self._progress: dict[str, Progress] = {}
        self._pending: dict[int, str] = {}
        self._heard_leader_at = now
        self._deadline = now
        self._next_heartbeat = now
        self._next_join = now
        self._reset_deadline(now)
        if options.first_election_max_s:
            longest_s = options.first_election_max_s
            self._deadline = now + rng.uniform(longest_s / 4, longest_s)

    @property
    def term(self) -> int:
        """The present term."""
        return self._hard.term

    @property
    def cluster(self) -> str:
        """Id of the cluster; empty until this voter belongs to one."""
        return self._hard.cluster

    @property
    def configuration(self) -> model.Configuration:
        """What the committed changes amount to."""
        return self._machine.configuration

    @property
    def voters(self) -> tuple[str, ...]:
        """The members that vote, as this voter knows them."""
        return self.log.find_voters()

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Takes the other control processes that are known now."""
        self._peers = peers

    def restore(self, records: Iterable[messages.Record]) -> None:
        """Replays the journal; to be called once, before anything else."""
        for record in records:
            if isinstance(record, messages.HardState):
                self._hard = record
            self.log.replay(record)
        self._load_snapshot()

    def export_records(self) -> list[messages.Record]:
        """Returns the records that amount to all this voter must keep."""
        rest = self.log.list_from(self.log.snapshot.index + 1, len(self.log))
        records: list[messages.Record] = [
            self._hard,
            messages.InstallSnapshot(self.log.snapshot),
        ]
        return [*records, messages.AppendLog(rest)] if rest else records

    def bootstrap(self, cluster: str, voters: tuple[str, ...]) -> list:
        """Starts a cluster; an answer of no effects means there is one."""
        if self.cluster:
            return []
        self._deadline = self._heard_leader_at
        # The first entry tells the others who votes; kept in a snapshot of
        # this voter alone, they could elect nobody after its death.
        change = changes.Change("", -1, changes.SetVoters(voters))
        entry = messages.LogEntry(1, 0, change)
        return [*self._set_hard(cluster=cluster), *self._append([entry])]

    def has_leader(self, now: float) -> bool:
        """Says whether a leader with a majority was heard of lately."""
        if self.role == "leader":
            return self._has_majority(now)
        return (
            self.leader != ""
            and now - self._heard_leader_at < self._tuning.election_max_s
        )

    def is_ready_leader(self, now: float) -> bool:
        """Says whether this voter leads and knows all that is committed.

        A new leader holds every committed entry, but only an entry of its own
        term shows it which ones they are.
        """
        return (
            self.role == "leader"
            and self._has_majority(now)
            and self.log.get_term(self.commit) == self.term
        )

    def confirms_read(self, asked_at: float, now: float) -> bool:
        """Says whether a read asked for at a time may be answered now.

        A leader that another one has replaced may not know it yet, and its
        answer would be old. Once a majority has answered what was sent after
        the read came, nobody else can have been leader before it came.
        """
        heard = {
            member
            for member, progress in self._progress.items()
            if progress.heard_at >= asked_at
        }
        return self.is_ready_leader(now) and self._is_majority(
            heard | {self.member}
        )

    def ask_followers(self, now: float) -> list[messages.Effect]:
        """Sends a heartbeat at once, so that a read is confirmed soon."""
        return self._replicate(now) if self.role == "leader" else []

    def tick(self, now: float) -> list[messages.Effect]:
        """Lets time pass; to be called several times a second."""
        if self.role == "leader":
            return self._tick_leader(now)
        if not (self.cluster and self.member in self.voters):
            return self._ask_to_join(now)
        effects: list[messages.Effect] = []
        if now >= self._deadline:
            effects += self._start_election(now)
        if now - self._heard_leader_at > self._tuning.rejoin_after_s:
            effects += self._ask_to_join(now)
        return effects

    def _ask_to_join(self, now: float) -> list[messages.Effect]:
        if now < self._next_join:
            return []
        self._next_join = now + JOIN_PERIOD_S
        join = messages.JoinRequest(self.member)
        return [messages.Send(node, join) for node in self._peers]

    def propose(
        self, change: changes.Change, now: float
    ) -> list[messages.Effect]:
        """Appends a change; only a leader with a majority may be asked."""
        known = self._machine.find_outcome(change.change_id)
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
        """Handles a message of another voter."""
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
            case messages.JoinRequest(member):
                return self._receive_join(member, now)

    # Elections.

    def _start_election(self, now: float) -> list[messages.Effect]:
        # A voter that was cut off would come back with a high term and depose
        # a working leader. A trial vote, which changes nobody's term, is
        # refused while a leader is heard, so it never gets that far.
        self._reset_deadline(now)
        self.role = "candidate"
        self.leader = ""
        self._trial = True
        self._votes = {self.member}
        return self._ask_votes(self.term + 1) or self._count_votes(now)

    def _ask_votes(self, term: int) -> list[messages.Effect]:
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
            effects = self._set_hard(term=self.term + 1, voted_for=self.member)
            return [
                *effects,
                *self._ask_votes(self.term),
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
                and self._hard.voted_for in ("", request.candidate)
            )
            if granted:
                effects += self._set_hard(voted_for=request.candidate)
                self._reset_deadline(now)
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
        self._progress = {
            voter: Progress(self.log.last_index + 1, heard_at=now)
            for voter in self.voters
            if voter != self.member
        }
        # Entries of earlier terms count as committed only below an entry of
        # this term: a majority that holds them could still be overruled.
        no_change = changes.Change("", -1, changes.NoChange())
        entry = messages.LogEntry(self.log.last_index + 1, self.term, no_change)
        return [*self._append([entry]), *self._replicate(now)]

    def _step_down(self, term: int, now: float) -> list[messages.Effect]:
        effects: list[messages.Effect] = []
        if term > self.term:
            effects += self._set_hard(term=term, voted_for="")
        if self.role == "leader":
            effects += [
                messages.Abandon(change_id)
                for change_id in self._pending.values()
                if change_id
            ]
            self._pending.clear()
            self._reset_deadline(now)
        self.role = "follower"
        self.leader = ""
        return effects

    # The leader's side of replication.

    def _tick_leader(self, now: float) -> list[messages.Effect]:
        # A leader that is cut off silently still believes that it leads. Its
        # callers would wait for ever, and its reads would be old. It stops
        # once it has not heard a majority for the shortest election timeout,
        # before anyone else can have been elected.
        if not self._has_majority(now):
            return self._step_down(self.term, now)
        effects = self._remove_replaced(now)
        if now >= self._next_heartbeat:
            effects += self._replicate(now)
        return effects

    def _remove_replaced(self, now: float) -> list[messages.Effect]:
        """Removes a voter that a newcomer of its zone stands in for.

        A VM that is gone for good would count against every majority to come.
        If it was only cut off it asks to join again.
        """
        silence_s = self._tuning.replace_after_s
        if not silence_s or len(self.voters) <= self._tuning.min_voters:
            return []
        if self._is_changing_voters():
            return []
        heard = {
            member: progress.heard_at
            for member, progress in self._progress.items()
        }
        heard[self.member] = now
        for voter in self.voters:
            if now - heard.get(voter, now) <= silence_s:
                continue
            zone = voter.partition("/")[0]
            if any(
                other.partition("/")[0] == zone
                and now - heard.get(other, 0.0) <= self._tuning.election_min_s
                for other in self.voters
            ):
                rest = [v for v in self.voters if v != voter]
                self._progress.pop(voter, None)
                return self._propose_voters(rest, now)
        return []

    def _has_majority(self, now: float) -> bool:
        heard = {
            member
            for member, progress in self._progress.items()
            if now - progress.heard_at < self._tuning.election_min_s
        }
        return self._is_majority(heard | {self.member})

    def _replicate(self, now: float) -> list[messages.Effect]:
        self._next_heartbeat = now + self._tuning.heartbeat_s
        effects = self._advance_commit(now)
        for member in sorted(self._progress):
            effects += self._send_entries(member, now)
        return effects

    def _send_entries(self, member: str, now: float) -> list[messages.Effect]:
        progress = self._progress[member]
        previous = progress.next_index - 1
        term = self.log.get_term(previous)
        node = messages.get_node(member)
        if term is None:
            snapshot = self._machine.make_snapshot(self.log)
            return [
                messages.Send(
                    node,
                    messages.SnapshotRequest(
                        self.cluster,
                        member,
                        self.member,
                        self.term,
                        snapshot,
                        now,
                    ),
                )
            ]
        entries = self.log.list_from(
            progress.next_index, MAX_ENTRIES_PER_APPEND
        )
        return [
            messages.Send(
                node,
                messages.AppendRequest(
                    cluster=self.cluster,
                    recipient=member,
                    leader=self.member,
                    term=self.term,
                    previous_index=previous,
                    previous_term=term,
                    entries=entries,
                    commit=self.commit,
                    sent_at=now,
                ),
            )
        ]

    def _receive_append_reply(
        self, reply: messages.AppendReply, now: float
    ) -> list[messages.Effect]:
        if reply.term > self.term:
            return self._step_down(reply.term, now)
        progress = self._progress.get(reply.member)
        if self.role != "leader" or reply.term != self.term or not progress:
            return []
        # Counted from when the request left: after a freeze a leader would
        # take answers that had waited for it as a sign of the present, and
        # go on believing that it leads after another one was elected.
        progress.heard_at = max(progress.heard_at, reply.sent_at)
        if not reply.matched:
            progress.next_index = max(
                1, min(progress.next_index - 1, reply.index + 1)
            )
            return self._send_entries(reply.member, now)
        progress.match_index = max(progress.match_index, reply.index)
        progress.next_index = max(progress.next_index, reply.index + 1)
        effects = self._advance_commit(now)
        if self.role == "leader" and progress.next_index <= (
            self.log.last_index
        ):
            effects += self._send_entries(reply.member, now)
        return [*effects, *self._admit_learner(reply.member, now)]

    def _advance_commit(self, now: float) -> list[messages.Effect]:
        for index in range(self.log.last_index, self.commit, -1):
            if self.log.get_term(index) != self.term:
                break
            holders = {
                member
                for member, progress in self._progress.items()
                if progress.match_index >= index
            }
            if self._is_majority(holders | {self.member}):
                return self._commit_to(index, now)
        return []

    # Changes of the set of voters, one at a time.

    def _receive_join(self, member: str, now: float) -> list[messages.Effect]:
        if self.role != "leader" or member in self.voters:
            return []
        if self._is_changing_voters():
            return []
        node = messages.get_node(member)
        lost = [v for v in self.voters if messages.get_node(v) == node]
        if lost:
            # The old incarnation goes first: two sets that differ by one
            # member always share a majority, two that swap one do not.
            remaining = [v for v in self.voters if v not in lost]
            self._progress.pop(lost[0], None)
            return self._propose_voters(remaining, now)
        if member not in self._progress:
            self._progress[member] = Progress(
                self.log.last_index + 1, heard_at=now
            )
        return self._send_entries(member, now)

    def _admit_learner(self, member: str, now: float) -> list[messages.Effect]:
        if member in self.voters or self._is_changing_voters():
            return []
        if self._progress[member].match_index < self.commit:
            return []
        return self._propose_voters([*self.voters, member], now)

    def _propose_voters(
        self, voters: list[str], now: float
    ) -> list[messages.Effect]:
        change = changes.Change(
            "", -1, changes.SetVoters(tuple(sorted(voters)))
        )
        entry = messages.LogEntry(self.log.last_index + 1, self.term, change)
        return [*self._append([entry]), *self._replicate(now)]

    def _is_changing_voters(self) -> bool:
        # Until an entry of this term is committed, a change of voters that
        # an earlier leader began could still be in some log.
        if self.log.get_term(self.commit) != self.term:
            return True
        rest = self.log.list_from(self.commit + 1, len(self.log))
        return any(
            isinstance(entry.change.operation, changes.SetVoters)
            for entry in rest
        )

    # The follower's side of replication.

    def _follow(
        self, cluster: str, leader: str, term: int, now: float
    ) -> list[messages.Effect]:
        effects = self._join_cluster(cluster)
        if term > self.term or self.role != "follower":
            effects += self._step_down(term, now)
        self.leader = leader
        self._heard_leader_at = now
        self._reset_deadline(now)
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
        effects = self._follow(
            request.cluster, request.leader, request.term, now
        )
        known = self.log.get_term(request.previous_index)
        if request.previous_index < self.log.snapshot.index:
            # All of it up to the snapshot is committed, so it agrees.
            known = request.previous_term
        if known != request.previous_term:
            hint = min(self.log.last_index, request.previous_index - 1)
            reply = messages.AppendReply(
                self.member, self.term, False, hint, request.sent_at
            )
            return [*effects, messages.Send(node, reply)]
        effects += self._merge_entries(request.entries)
        agreed = request.previous_index + len(request.entries)
        effects += self._commit_to(min(request.commit, agreed), now)
        self.is_caught_up = self.commit >= request.commit
        reply = messages.AppendReply(
            self.member, self.term, True, agreed, request.sent_at
        )
        return [*effects, messages.Send(node, reply)]

    def _merge_entries(
        self, entries: tuple[messages.LogEntry, ...]
    ) -> list[messages.Effect]:
        effects: list[messages.Effect] = []
        for place, entry in enumerate(entries):
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
            return [*effects, *self._append(entries[place:])]
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
        effects = self._follow(
            request.cluster, request.leader, request.term, now
        )
        snapshot = request.snapshot
        if snapshot.index > self.commit:
            self.log.install(snapshot)
            self._machine.note_snapshot()
            effects.append(messages.Persist(messages.InstallSnapshot(snapshot)))
            self._load_snapshot()
            effects.append(messages.Apply(self.configuration))
        reply = messages.AppendReply(
            self.member,
            self.term,
            True,
            max(self.commit, snapshot.index),
            request.sent_at,
        )
        node = messages.get_node(request.leader)
        return [*effects, messages.Send(node, reply)]

    # What all roles share.

    def _append(
        self, entries: Iterable[messages.LogEntry]
    ) -> list[messages.Effect]:
        added = tuple(entries)
        self.log.append(added)
        return [messages.Persist(messages.AppendLog(added))]

    def _commit_to(self, index: int, now: float) -> list[messages.Effect]:
        if index <= self.commit:
            return []
        self.commit = index
        effects: list[messages.Effect] = []
        before = self.configuration.version
        while self._machine.applied < self.commit:
            entry = self.log.get_entry(self._machine.applied + 1)
            assert entry is not None, "a committed entry is in the log"
            self._pending.pop(entry.index, None)
            effects += self._machine.apply(entry)
        if self.configuration.version != before:
            effects.append(messages.Apply(self.configuration))
        if self.role == "leader" and self.member not in self.voters:
            effects += self._step_down(self.term, now)
        if self._machine.is_snapshot_due(self.log):
            snapshot = self._machine.make_snapshot(self.log)
            self.log.install(snapshot)
            effects.append(messages.Persist(messages.InstallSnapshot(snapshot)))
        return effects

    def _load_snapshot(self) -> None:
        snapshot = self.log.snapshot
        self.commit = snapshot.index
        self._machine.load(snapshot)

    def _accepts_cluster(self, cluster: str) -> bool:
        return cluster != "" and self.cluster in ("", cluster)

    def _join_cluster(self, cluster: str) -> list[messages.Effect]:
        if self.cluster:
            return []
        return self._set_hard(cluster=cluster)

    def _set_hard(
        self,
        *,
        cluster: str | None = None,
        term: int | None = None,
        voted_for: str | None = None,
    ) -> list[messages.Effect]:
        old = self._hard
        self._hard = messages.HardState(
            cluster=old.cluster if cluster is None else cluster,
            term=old.term if term is None else term,
            voted_for=old.voted_for if voted_for is None else voted_for,
        )
        return [] if old == self._hard else [messages.Persist(self._hard)]

    def _is_majority(self, members: set[str]) -> bool:
        voters = set(self.voters)
        return 2 * len(members & voters) > len(voters)

    def _reset_deadline(self, now: float) -> None:
        self._deadline = now + self._rng.uniform(
            self._tuning.election_min_s, self._tuning.election_max_s
        )
