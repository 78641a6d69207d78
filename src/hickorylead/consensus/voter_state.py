"""The state that a voter has in each role, and the changes common to them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import attrs

from hickorylead.consensus import (
    log as log_module,
    messages,
    state_machine as state_machine_module,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorylead.configuration import model
    from hickorylead.consensus import (
        election_timer as election_timer_module,
        options as options_module,
    )
    from hickorylead.turns import own_pauses

Role = Literal["follower", "candidate", "leader"]


@attrs.define(eq=False)
class VoterState:
    """State of a voter; methods return effects in the order to run them.

    Attributes:
        member: The member that this voter is.
        options: Timeouts for elections and for lost voters.
        pauses: Pauses of the process, which are no silence of others.
        election_timer: Time until this voter starts an election.
        peers: Names of the other control processes, members or not.
        last_leader_contact_at: When a leader's last message arrived.
        heard_at: When each other control process was last heard of, by node.
        role: Present role.
        leader: The leader of the present term; empty if it is not known.
        log: Committed and other entries.
        commit: Index up to which the log is committed.
        state_machine: The state after the committed entries.
        hard_state: What is on the disk besides the log.
        pending: Ids of changes that this voter appended as a leader and that
            are not committed yet, by index.
    """

    member: str
    options: options_module.VoterOptions
    pauses: own_pauses.OwnPauses
    election_timer: election_timer_module.ElectionTimer
    peers: tuple[str, ...]
    last_leader_contact_at: float
    heard_at: Mapping[str, float] = attrs.field(factory=dict)
    role: Role = "follower"
    leader: str = ""
    log: log_module.Log = attrs.field(factory=log_module.Log)
    commit: int = 0
    state_machine: state_machine_module.StateMachine = attrs.field(
        factory=state_machine_module.StateMachine
    )
    hard_state: messages.HardState = messages.HardState(cluster="", term=0)
    pending: dict[int, str] = attrs.field(factory=dict)

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def cluster(self) -> str:
        """Id of the cluster; empty until this voter belongs to one."""
        return self.hard_state.cluster

    @property
    def configuration(self) -> model.Configuration:
        """The configuration after all committed changes."""
        return self.state_machine.configuration

    @property
    def voters(self) -> tuple[str, ...]:
        """The members that vote, according to the log of this voter."""
        return self.log.find_voters().voters

    def is_majority(self, members: set[str]) -> bool:
        """Returns whether members contain a majority of the voters."""
        voters = set(self.voters)
        return 2 * len(members & voters) > len(voters)

    def measure_silence(self, since: float, now: float) -> float:
        """Returns how long another was silent while this process listened."""
        return self.pauses.measure_silence(since, now)

    def accepts_cluster(self, cluster: str) -> bool:
        """Returns whether a message of a cluster concerns this voter."""
        return cluster != "" and self.cluster in ("", cluster)

    def join_cluster(self, cluster: str) -> list[messages.Effect]:
        """Records the cluster, unless this voter belongs to one."""
        if self.cluster:
            return []
        return self.update_hard_state(cluster=cluster)

    def step_down(self, term: int, now: float) -> list[messages.Effect]:
        """Becomes a follower without a known leader, of this term or later."""
        effects: list[messages.Effect] = []
        if term > self.term:
            effects += self.update_hard_state(term=term, voted_for="")
        if self.role == "leader":
            effects += [
                messages.Abandon(change_id)
                for change_id in self.pending.values()
                if change_id
            ]
            self.pending.clear()
            self.election_timer.restart(now)
        self.role = "follower"
        self.leader = ""
        return effects

    def append(
        self, entries: Iterable[messages.LogEntry]
    ) -> list[messages.Effect]:
        """Appends entries to the log."""
        added = tuple(entries)
        self.log.append(added)
        effects: list[messages.Effect] = [
            messages.Persist(messages.AppendLog(added))
        ]
        return [*effects, *self.record_vote()]

    def record_vote(self) -> list[messages.Effect]:
        """Records on disk that this member is or was a voter."""
        if self.hard_state.was_voter or self.member not in self.voters:
            return []
        return self.update_hard_state(was_voter=True)

    def commit_to(self, index: int, now: float) -> list[messages.Effect]:
        """Commits the log up to an index and applies what was committed."""
        if index <= self.commit:
            return []
        self.commit = index
        effects: list[messages.Effect] = []
        before = self.configuration.version
        while self.state_machine.applied < self.commit:
            entry = self.log.get_entry(self.state_machine.applied + 1)
            assert entry is not None, "a committed entry is in the log"
            self.pending.pop(entry.index, None)
            effects += self.state_machine.apply(entry)
        if self.configuration.version != before:
            effects.append(messages.Apply(self.configuration))
        if self.role == "leader" and self.member not in self.voters:
            effects += self.step_down(self.term, now)
        if self.state_machine.is_snapshot_due(self.log):
            snapshot = self.state_machine.make_snapshot(self.log)
            self.log.install(snapshot)
            self.state_machine.record_snapshot()
            effects.append(messages.Persist(messages.InstallSnapshot(snapshot)))
        return effects

    def load_snapshot(self) -> None:
        """Takes over the state of the log's snapshot."""
        snapshot = self.log.snapshot
        self.commit = snapshot.index
        self.state_machine.load(snapshot)

    def update_hard_state(
        self,
        *,
        cluster: str | None = None,
        term: int | None = None,
        voted_for: str | None = None,
        was_voter: bool | None = None,
    ) -> list[messages.Effect]:
        """Changes what is given of the state on the disk."""
        old = self.hard_state
        self.hard_state = messages.HardState(
            cluster=old.cluster if cluster is None else cluster,
            term=old.term if term is None else term,
            voted_for=old.voted_for if voted_for is None else voted_for,
            was_voter=old.was_voter if was_voter is None else was_voter,
        )
        return (
            []
            if old == self.hard_state
            else [messages.Persist(self.hard_state)]
        )
