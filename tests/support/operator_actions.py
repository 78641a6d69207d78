"""What an operator does, in given time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.configuration import changes, model
from hickorylead.roles import interface, nodes

if TYPE_CHECKING:
    from support.simulation import Simulation


def bootstrap_cluster(world: Simulation) -> None:
    """Starts the configuration log and waits until it takes changes."""
    node = world.entries[0]
    world.run(0.5)
    world.deliver(node, interface.BootstrapRequested("cluster-1"))
    world.run_until(lambda: "cluster-1" in world.bootstraps)
    assert world.bootstraps["cluster-1"].done
    world.run_until(lambda: find_leader(world))


def find_leader(world: Simulation) -> str:
    """Returns the control process that leads the log now, if one does."""
    for node in world.controls:
        role = world.roles.get(node)
        if role and role.voter and role.voter.is_ready_leader(world.now):
            return node
    return ""


def submit(
    world: Simulation,
    operation: changes.Operation,
    *,
    change_id: str = "",
    node: str = "",
    expected: int | None = None,
) -> str:
    """Submits a change and returns its id; the answer comes later."""
    node = node or world.entries[0]
    if expected is None:
        expected = max(
            role.version
            for name, role in world.roles.items()
            if name in world.controls
        )
    change_id = change_id or f"change-{len(world.outcomes)}-{world.now:.3f}"
    change = changes.Change(change_id, expected, operation)
    world.deliver(node, interface.ChangeSubmitted(change))
    return change_id


def apply(world: Simulation, operation: changes.Operation, **options) -> int:
    """Submits a change, waits until it is accepted, returns the version."""
    change_id = submit(world, operation, **options)
    world.run_until(lambda: change_id in world.outcomes)
    outcome = world.outcomes[change_id].outcome
    assert outcome and outcome.accepted, outcome
    return outcome.version


def set_up(
    world: Simulation,
    *,
    replicas: int = 2,
    group_size: int = 2,
    plain: bool = True,
) -> None:
    """Puts a preset with one model service in force, and waits for it.

    Args:
        world: The world; its engines should be there already.
        replicas: Replicas of the service `assistant` in each zone.
        group_size: VMs in one group.
        plain: Whether there is a plain service `dispatch` as well, whose
            calls may run at most once.
    """
    world.group_size = group_size
    bootstrap_cluster(world)
    apply(
        world,
        changes.ApplyService(
            model.Service(
                "assistant",
                model="lead",
                version="1",
                replicas=replicas * len(world.zones),
                group_size=group_size,
                rank=1,
            )
        ),
    )
    if plain:
        apply(
            world,
            changes.ApplyService(
                model.Service(
                    "dispatch", kind=model.KIND_PLAIN, non_idempotent=True
                )
            ),
        )
    shares = tuple(model.Share("assistant", z, replicas) for z in world.zones)
    apply(world, changes.ApplyPreset(model.Preset("ordinary", shares)))
    apply(world, changes.SwitchPreset("ordinary"))
    wanted = replicas * len(world.zones) + plain
    world.run_until(
        lambda: all(
            count_replicas(world, node) >= wanted for node in world.entries
        )
    )


def count_replicas(world: Simulation, node: str, zone: str = "") -> int:
    """Returns how many replicas an entry may use."""
    role = world.roles.get(node)
    if role is None:
        return 0
    return sum(
        len(table.replicas)
        for name, table in role.table.zones.items()
        if zone in ("", name)
    )


def list_lease_holders(world: Simulation, zone: str) -> list[str]:
    """Returns the control processes of a zone that may give orders."""
    return [
        node
        for node in world.controls
        if nodes.get_zone(node) == zone
        and node in world.roles
        and world.roles[node].may_issue_orders(world.now)
    ]
