"""Actions of an operator in a simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.configuration import changes, model
from hickorylead.roles import interface, nodes

if TYPE_CHECKING:
    from support.simulation import Simulation


def bootstrap_cluster(simulation: Simulation) -> None:
    """Bootstraps the cluster and waits until the log accepts changes."""
    node = simulation.entries[0]
    simulation.run(0.5)
    simulation.deliver(node, interface.BootstrapRequested("cluster-1"))
    simulation.run_until(lambda: "cluster-1" in simulation.bootstraps)
    assert simulation.bootstraps["cluster-1"].done
    simulation.run_until(lambda: find_leader(simulation))


def find_leader(simulation: Simulation) -> str:
    """Returns the current leader of the log; empty if there is none."""
    for node in simulation.controls:
        role = simulation.roles.get(node)
        if role and role.voter and role.voter.is_ready_leader(simulation.now):
            return node
    return ""


def submit(
    simulation: Simulation,
    operation: changes.Operation,
    *,
    change_id: str = "",
    node: str = "",
    expected: int | None = None,
) -> str:
    """Submits a change and returns its id, without awaiting the outcome."""
    node = node or simulation.entries[0]
    if expected is None:
        expected = max(
            role.version
            for name, role in simulation.roles.items()
            if name in simulation.controls
        )
    change_id = (
        change_id or f"change-{len(simulation.outcomes)}-{simulation.now:.3f}"
    )
    change = changes.Change(change_id, expected, operation)
    simulation.deliver(node, interface.ChangeSubmitted(change))
    return change_id


def apply(
    simulation: Simulation, operation: changes.Operation, **options
) -> int:
    """Submits a change and waits until it is accepted; returns the version."""
    change_id = submit(simulation, operation, **options)
    simulation.run_until(lambda: change_id in simulation.outcomes)
    outcome = simulation.outcomes[change_id].outcome
    assert outcome and outcome.accepted, outcome
    return outcome.version


def set_up(
    simulation: Simulation,
    *,
    replicas: int = 2,
    group_size: int = 2,
    plain: bool = True,
) -> None:
    """Activates a preset with one model service and awaits its replicas.

    Args:
        simulation: The simulation; its engines must have been added.
        replicas: Replicas of the service `assistant` in each zone.
        group_size: VMs in one group.
        plain: Whether there is a plain service `dispatch` as well, whose
            calls run at most once.
    """
    simulation.group_size = group_size
    bootstrap_cluster(simulation)
    apply(
        simulation,
        changes.ApplyService(
            model.Service(
                "assistant",
                model="lead",
                version="1",
                replicas=replicas * len(simulation.zones),
                group_size=group_size,
                rank=1,
            )
        ),
    )
    if plain:
        apply(
            simulation,
            changes.ApplyService(
                model.Service(
                    "dispatch", kind=model.KIND_PLAIN, non_idempotent=True
                )
            ),
        )
    shares = tuple(
        model.Share("assistant", z, replicas) for z in simulation.zones
    )
    apply(simulation, changes.ApplyPreset(model.Preset("ordinary", shares)))
    apply(simulation, changes.SwitchPreset("ordinary"))
    wanted = replicas * len(simulation.zones) + plain
    simulation.run_until(
        lambda: all(
            count_replicas(simulation, node) >= wanted
            for node in simulation.entries
        )
    )


def count_replicas(simulation: Simulation, node: str, zone: str = "") -> int:
    """Returns how many replicas an entry may use."""
    role = simulation.roles.get(node)
    if role is None:
        return 0
    return sum(
        len(table.replicas)
        for name, table in role.table.zones.items()
        if zone in ("", name)
    )


def list_lease_holders(simulation: Simulation, zone: str) -> list[str]:
    """Returns the control processes of a zone that may issue orders."""
    return [
        node
        for node in simulation.controls
        if nodes.get_zone(node) == zone
        and node in simulation.roles
        and simulation.roles[node].may_issue_orders(simulation.now)
    ]
