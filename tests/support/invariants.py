"""Invariants of a deployment, checked after every step of a simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.membership import announcements
from hickorylead.requests import events
from hickorylead.roles import nodes
from hickorylead.verdict import Verdict
from hickorylead_standins import batch

if TYPE_CHECKING:
    from support.simulation import Simulation

# Longest time from the death of a VM until no entry sends new work to its
# group. The entry that receives its announcements detects that they are
# missing, the lease holder plans, and the new table reaches the entries. If
# that entry or the lease holder is down as well, the term of the lease and the
# time in which the announcements move to another entry are added.
DETECTION_S = 16.0
RETIREMENT_S = 4.0
SPREAD_S = 8.0


def check_complete_groups(simulation: Simulation) -> None:
    """Checks that work goes only to groups of which every VM is present.

    A VM that died, left or paused counts as present for as long as the
    detection of its absence may take.
    """
    for attempt in simulation.attempts:
        replica = attempt.replica
        server = simulation.servers[replica.vm]
        if server.is_plain:
            continue
        ranks = {
            rank
            for at, group, generation, rank in simulation.departures
            if (group, generation) == (replica.group, replica.generation)
            and simulation.now - at <= DETECTION_S
        }
        for other in simulation.servers.values():
            state = other.state
            if not other.alive or (state.group, state.generation) != (
                replica.group,
                replica.generation,
            ):
                continue
            assert state.domain == server.state.domain, "two domains"
            if state.phase not in (
                announcements.PHASE_READY,
                announcements.PHASE_LEAVING,
            ):
                continue
            is_paused = simulation.now < other.paused_until
            paused_s = simulation.now - other.paused_since if is_paused else 0.0
            if paused_s <= DETECTION_S:
                ranks.add(state.rank)
        assert len(ranks) == simulation.group_size, (
            f"{replica.group} is sent work with {ranks}"
        )


def check_one_group(simulation: Simulation) -> None:
    """Checks that no VM belongs to two replica groups at once."""
    for node in simulation.active_nodes:
        role = simulation.roles.get(node)
        if node not in simulation.controls or role is None:
            continue
        if role.may_issue_orders(simulation.now):
            listed = [vm for g in role.groups.values() for vm in g.vms if vm]
            assert len(listed) == len(set(listed)), f"{node} lists a VM twice"


def check_one_lease_holder(simulation: Simulation) -> None:
    """Checks that at most one control process may issue orders in a zone."""
    for zone in {nodes.get_zone(n) for n in simulation.active_nodes}:
        holders = [
            n
            for n in simulation.controls
            if nodes.get_zone(n) == zone
            and n in simulation.roles
            and simulation.paused_until.get(n, 0) <= simulation.now
            and simulation.roles[n].may_issue_orders(simulation.now)
        ]
        assert len(holders) <= 1, f"{holders} hold the lease of {zone}"


def check_responses(simulation: Simulation) -> None:
    """Checks that callers get the complete response to their own request.

    A request that failed gets a problem document instead.
    """
    for result in simulation.completed:
        if isinstance(result.final_effect, events.FinishStream):
            digest = batch.digest_body(result.request.body)
            expected = batch.make_text(digest, result.request.max_tokens)
            assert result.text == expected, (
                f"{result.request.request_id} is wrong"
            )
        if isinstance(result.final_effect, events.SendResponse):
            assert result.final_effect.body == b"run for " + result.request.body


def check_not_run(simulation: Simulation) -> None:
    """Checks that no server ran a request that was reported as not run."""
    for _, run in simulation.new_runs:
        result = simulation.results[run.request_id]
        assert result.verdict != Verdict.NOT_RUN, f"{run} was refused"
    for result in simulation.completed:
        if result.verdict == Verdict.NOT_RUN:
            request_id = result.request.request_id
            assert request_id not in simulation.run_ids, f"{request_id} ran"


def check_at_most_once(simulation: Simulation) -> None:
    """Checks in the servers' own records that a key ran at most once."""
    for _, run in simulation.new_runs:
        count = simulation.key_runs[run.key]
        assert not run.key or count == 1, f"key {run.key} ran {count} times"


def check_retirement(simulation: Simulation) -> None:
    """Checks that a leaving server gets no new work after a few seconds."""
    for attempt in simulation.attempts:
        server = simulation.servers[attempt.replica.vm]
        if server.left_at is not None:
            delay_s = simulation.now - server.left_at
            assert delay_s <= RETIREMENT_S, (
                f"{server.state.vm} got work {delay_s:.1f} s after leaving"
            )


def check_versions(simulation: Simulation) -> None:
    """Checks that no process goes back to an older configuration version.

    A process that restarted may have an older version than before.
    """
    for node in simulation.active_nodes:
        role = simulation.roles.get(node)
        if role is None:
            continue
        is_control = node in simulation.controls
        version = role.version if is_control else role.configuration.version
        assert version >= simulation.last_versions.get(node, 0), (
            f"{node} went back to version {version}"
        )
        simulation.last_versions[node] = version


ALL = (
    check_complete_groups,
    check_one_group,
    check_one_lease_holder,
    check_responses,
    check_not_run,
    check_at_most_once,
    check_retirement,
    check_versions,
)
