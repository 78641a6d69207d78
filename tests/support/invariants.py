"""What must always hold, each written once, checked after every step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.membership import announcements
from hickorylead.requests import events
from hickorylead.roles import nodes
from hickorylead.verdict import Verdict
from hickorylead_standins import batch

if TYPE_CHECKING:
    from support.simulation import Simulation

# From a VM's death until no entry sends new work to its group: the entry that
# hears it notices, the holder plans, the table travels; if that entry or the
# holder is gone as well, its term and the move of announcements come on top.
DETECTION_S = 16.0
RETIREMENT_S = 4.0
SPREAD_S = 8.0


def check_whole_groups(world: Simulation) -> None:
    """No replica is sent work unless every VM in its group is present.

    A VM that died, left or paused counts as present for the time that its
    absence takes to be noticed.
    """
    for attempt in world.attempts:
        replica = attempt.replica
        server = world.servers[replica.vm]
        if server.is_plain:
            continue
        ranks = {
            rank
            for at, group, generation, rank in world.departed
            if (group, generation) == (replica.group, replica.generation)
            and world.now - at <= DETECTION_S
        }
        for other in world.servers.values():
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
            is_paused = world.now < other.paused_until
            paused_s = world.now - other.paused_since if is_paused else 0.0
            if paused_s <= DETECTION_S:
                ranks.add(state.rank)
        assert len(ranks) == world.group_size, (
            f"{replica.group} is sent work with {ranks}"
        )


def check_one_group(world: Simulation) -> None:
    """No VM belongs to two replica groups at once."""
    for node in world.touched:
        role = world.roles.get(node)
        if node not in world.controls or role is None:
            continue
        if role.may_issue_orders(world.now):
            listed = [vm for g in role.groups.values() for vm in g.vms if vm]
            assert len(listed) == len(set(listed)), f"{node} lists a VM twice"


def check_one_holder(world: Simulation) -> None:
    """One control process at most gives orders in a zone."""
    for zone in {nodes.get_zone(n) for n in world.touched}:
        holders = [
            n
            for n in world.controls
            if nodes.get_zone(n) == zone
            and n in world.roles
            and world.paused.get(n, 0) <= world.now
            and world.roles[n].may_issue_orders(world.now)
        ]
        assert len(holders) <= 1, f"{holders} hold the lease of {zone}"


def check_answers(world: Simulation) -> None:
    """A caller gets the whole answer to its own request, or a problem."""
    for answer in world.ended:
        if isinstance(answer.final_effect, events.FinishStream):
            digest = batch.digest_body(answer.request.body)
            right = batch.make_text(digest, answer.request.max_tokens)
            assert answer.text == right, f"{answer.request.request_id} is wrong"
        if isinstance(answer.final_effect, events.SendResponse):
            assert answer.final_effect.body == b"run for " + answer.request.body


def check_not_run(world: Simulation) -> None:
    """What was said not to have run has no run in any server's record."""
    for _, run in world.new_runs:
        answer = world.answers[run.request_id]
        assert answer.verdict != Verdict.NOT_RUN, f"{run} was refused"
    for answer in world.ended:
        if answer.verdict == Verdict.NOT_RUN:
            request_id = answer.request.request_id
            assert request_id not in world.run_ids, f"{request_id} ran"


def check_at_most_once(world: Simulation) -> None:
    """A key runs at most once, by the servers' own records."""
    for _, run in world.new_runs:
        count = world.key_runs[run.key]
        assert not run.key or count == 1, f"key {run.key} ran {count} times"


def check_retirement(world: Simulation) -> None:
    """A leaving server gets no new work after a few seconds."""
    for attempt in world.attempts:
        server = world.servers[attempt.replica.vm]
        if server.left_at is not None:
            late_s = world.now - server.left_at
            assert late_s <= RETIREMENT_S, (
                f"{server.state.vm} got work {late_s:.1f} s after leaving"
            )


def check_versions(world: Simulation) -> None:
    """A version in force never falls, in any process that goes on."""
    for node in world.touched:
        role = world.roles.get(node)
        if role is None:
            continue
        is_control = node in world.controls
        version = role.version if is_control else role.configuration.version
        assert version >= world.applied.get(node, 0), f"{node} went back"
        world.applied[node] = version


ALL = (
    check_whole_groups,
    check_one_group,
    check_one_holder,
    check_answers,
    check_not_run,
    check_at_most_once,
    check_retirement,
    check_versions,
)
