"""One voter of the configuration log, as a reducer.

A leader is elected by a majority of the voters and appends changes; a change
is committed once a majority has synced it, and its outcome is sent only then.
Times are seconds of a monotonic clock, passed to each method.

The parts share a `voter_state.VoterState`:

- `elections`: how a leader is elected;
- `leadership`: what the leader does;
- `following`: what the other members do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.configuration import changes
from hickorylead.consensus import (
    election_timer,
    elections,
    following,
    leadership,
    messages,
    options as options_module,
    replication,
    voter_state,
)
from hickorylead.turns import own_pauses

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    import random

    from hickorylead.configuration import model
    from hickorylead.consensus import log as log_module


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
            incarnation: Name of the data folder's present incarnation.
            peers: Names of the other control processes, members or not.
            rng: Source of the jitter of election timeouts.
            now: Present time.
            options: Timeouts for elections and for lost voters.
            is_founder: Whether it is started together with the whole system.
            pauses: Pauses of the process, if they are shared with others.
        """
        pauses = pauses or own_pauses.OwnPauses(now)
        self.member = f"{node}#{incarnation}"
        self._state = voter_state.VoterState(
            member=self.member,
            options=options,
            pauses=pauses,
            election_timer=election_timer.ElectionTimer(
                options, pauses=pauses, rng=rng, now=now
            ),
            peers=peers,
            last_leader_contact_at=now,
        )
        self._replicator = replication.Replicator(
            self._state.log, self._state.state_machine
        )
        self._leadership = leadership.Leadership(
            self._state, self._replicator, now
        )
        self._elections = elections.Elections(self._state, self._leadership)
        self._following = following.Following(
            self._state, now, is_founder=is_founder
        )

    @property
    def role(self) -> voter_state.Role:
        """The present role."""
        return self._state.role

    @property
    def leader(self) -> str:
        """The leader of the present term; empty if it is not known."""
        return self._state.leader

    @property
    def last_leader_contact_at(self) -> float:
        """When a leader's last message arrived."""
        return self._state.last_leader_contact_at

    @property
    def log(self) -> log_module.Log:
        """The log of this voter."""
        return self._state.log

    @property
    def commit(self) -> int:
        """Index up to which the log is committed."""
        return self._state.commit

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def cluster(self) -> str:
        """Id of the cluster; empty until this voter belongs to one."""
        return self._state.cluster

    @property
    def configuration(self) -> model.Configuration:
        """The configuration after all committed changes."""
        return self._state.configuration

    @property
    def voters(self) -> tuple[str, ...]:
        """The members that vote, according to the log of this voter."""
        return self._state.voters

    def set_peers(self, heard_at: Mapping[str, float]) -> None:
        """Sets the other control processes that are known now.

        Args:
            heard_at: When each of them was last heard of, by node.
        """
        self._state.peers = tuple(heard_at)
        self._state.heard_at = heard_at

    def restore(self, records: Iterable[messages.Record]) -> None:
        """Replays the journal; must be called once, before any other method."""
        for record in records:
            if isinstance(record, messages.HardState):
                self._state.hard_state = record
            self.log.replay(record)
        self._state.load_snapshot()

    def export_records(self) -> list[messages.Record]:
        """Returns records that restore the complete state of this voter."""
        rest = self.log.list_from(self.log.snapshot.index + 1, len(self.log))
        records: list[messages.Record] = [
            self._state.hard_state,
            messages.InstallSnapshot(self.log.snapshot),
        ]
        return [*records, messages.AppendLog(rest)] if rest else records

    def bootstrap(self, cluster: str, voters: tuple[str, ...]) -> list:
        """Starts a cluster; returns no effects if there is one already."""
        if self.cluster:
            return []
        self._state.election_timer.expire()
        # The first log entry contains the set of voters and replicates it. If
        # the set were only in a snapshot of this voter, the other voters could
        # not elect a leader after the loss of this voter.
        change = changes.Change("", -1, changes.SetVoters(voters))
        entry = messages.LogEntry(1, 0, change)
        return [
            *self._state.update_hard_state(cluster=cluster),
            *self._state.append([entry]),
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
        return self._elections.has_leader(now)

    def is_ready_leader(self, now: float) -> bool:
        """Returns whether this voter leads and has applied all commits."""
        return self._leadership.is_ready(now)

    def is_fresh(self, now: float) -> bool:
        """Returns whether all that was committed recently is applied here."""
        if self.role == "leader":
            return self.is_ready_leader(now)
        return self.has_leader(now) and self._following.is_current(now)

    def knows_commits(self) -> bool:
        """Returns whether this voter leads and may propose changes."""
        return self._leadership.knows_commits()

    def is_read_confirmed(self, requested_at: float) -> bool:
        """Returns whether a read requested at a time may be answered now."""
        return self._leadership.is_read_confirmed(requested_at)

    def send_heartbeats(self, now: float) -> list[messages.Effect]:
        """Sends heartbeats at once, so that a read is confirmed soon."""
        return self._leadership.replicate(now) if self.role == "leader" else []

    def tick(self, now: float) -> list[messages.Effect]:
        """Handles the passing of time; to be called several times a second."""
        state = self._state
        state.pauses.record_listening(now)
        if state.role == "leader":
            return self._leadership.tick(now)
        if not (state.cluster and state.member in state.voters):
            return self._following.request_join(now)
        effects: list[messages.Effect] = []
        if state.election_timer.is_expired(now):
            effects += self._elections.start(now)
        effects += self._elections.tick(now)
        silent_s = state.measure_silence(state.last_leader_contact_at, now)
        if silent_s > state.options.rejoin_after_s:
            effects += self._following.request_join(now)
        return effects

    def propose(
        self, change: changes.Change, now: float
    ) -> list[messages.Effect]:
        """Appends a change; only for a leader with a majority."""
        return self._leadership.propose(change, now)

    def receive(
        self, message: messages.Message, now: float
    ) -> list[messages.Effect]:
        """Handles a message from another voter."""
        match message:
            case messages.VoteRequest():
                return self._elections.receive_request(message, now)
            case messages.VoteReply():
                return self._elections.receive_reply(message, now)
            case messages.AppendRequest():
                return self._following.receive_append(message, now)
            case messages.SnapshotRequest():
                return self._following.receive_snapshot(message, now)
            case messages.AppendReply():
                return self._leadership.receive_reply(message, now)
            case messages.JoinRequest():
                return self._leadership.receive_join(message, now)
