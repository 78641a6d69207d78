"""Faults as data, and their injection into a deployment under load."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Literal

import attrs

from hickorylead.configuration import changes
from support import deployments, operator_actions

if TYPE_CHECKING:
    from support.simulation import Simulation

FaultKind = Literal[
    "kill server",
    "pause server",
    "kill domain",
    "isolate zone",
    "one-way partition",
    "kill entry",
    "kill control",
    "pause control",
    "wipe disk",
    "lose messages",
    "server leaves",
    "zone restarts",
    "clock jumps",
    "isolate leader",
    "conflicting changes",
    "straggler",
]
FAULT_KINDS: tuple[FaultKind, ...] = FaultKind.__args__


@attrs.frozen
class Fault:
    """One fault.

    Attributes:
        kind: Kind of the fault.
        target_index: Index of the node, server or zone, modulo their number.
        duration_s: How long the fault lasts, where it has an end.
        next_fault_delay_s: Time until the next fault.
    """

    kind: FaultKind
    target_index: int
    duration_s: float
    next_fault_delay_s: float


class FaultScenario:
    """A deployment under load, into which faults are injected."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation: Simulation = deployments.build(
            engines=8,
            domain=4,
            seed=seed,
            checks_fence=self.rng.random() < 0.5,
        )
        self._call_count = 0
        self.load_ends_at = self.simulation.now + 1e9
        self._submit_requests()

    def _submit_requests(self) -> None:
        simulation = self.simulation
        if simulation.now > self.load_ends_at:
            return
        for _ in range(2):
            simulation.submit(
                self.rng.choice(simulation.entries),
                "assistant",
                max_tokens=self.rng.randint(1, 60),
            )
        self._call_count += 1
        key, at = f"key-{self._call_count}", simulation.now
        first = self.rng.sample(simulation.entries, self.rng.choice([1, 2, 9]))
        for node in first:
            simulation.submit(node, "dispatch", key=key, body=key.encode())
        simulation.call_later(
            self.rng.uniform(0, 3),
            lambda: simulation.submit(
                self.rng.choice(simulation.entries),
                "dispatch",
                key=key,
                body=key.encode(),
                key_age_s=simulation.now - at,
            ),
        )
        simulation.call_later(1.0, self._submit_requests)

    def inject(self, fault: Fault) -> None:
        """Injects one fault and schedules its end."""
        simulation = self.simulation
        zone = simulation.zones[fault.target_index % len(simulation.zones)]
        entry = simulation.entries[fault.target_index % len(simulation.entries)]
        control = simulation.controls[
            fault.target_index % len(simulation.controls)
        ]
        engines = [v for v, s in simulation.servers.items() if not s.is_plain]
        vm = engines[fault.target_index % len(engines)]
        duration_s = fault.duration_s
        match fault.kind:
            case "kill server":
                self._kill_servers([vm], duration_s)
            case "kill domain":
                domain = simulation.servers[vm].state.domain
                members = [
                    v
                    for v in engines
                    if simulation.servers[v].state.domain == domain
                ]
                self._kill_servers(members, duration_s)
            case "pause server":
                simulation.pause_server(vm, duration_s)
            case "straggler":
                simulation.servers[vm].batch.slowdown_factor = 8.0
                simulation.call_later(
                    duration_s, lambda: self._end_slowness(vm)
                )
            case "isolate zone":
                simulation.isolate_zone(zone)
                simulation.call_later(duration_s, simulation.heal)
            case "one-way partition":
                other = simulation.zones[
                    (fault.target_index + 1) % len(simulation.zones)
                ]
                simulation.partition(zone, other, one_way=True)
                simulation.call_later(duration_s, simulation.heal)
            case "isolate leader":
                leader = operator_actions.find_leader(simulation)
                for node in (*simulation.controls, *simulation.entries):
                    if leader and node != leader:
                        simulation.partition(leader, node)
                simulation.call_later(duration_s, simulation.heal)
            case "kill entry":
                simulation.kill(entry)
                simulation.call_later(
                    duration_s, lambda: simulation.start(entry)
                )
            case "kill control":
                simulation.kill(control)
                simulation.call_later(
                    duration_s, lambda: simulation.start(control)
                )
            case "pause control":
                simulation.pause(control, duration_s)
            case "wipe disk":
                voter = simulation.voters[
                    fault.target_index % len(simulation.voters)
                ]
                simulation.wipe_disk(voter)
                simulation.call_later(
                    duration_s, lambda: simulation.start(voter)
                )
            case "lose messages":
                simulation.loss = 0.1
                simulation.call_later(
                    duration_s, lambda: setattr(simulation, "loss", 0.0)
                )
            case "server leaves":
                self._begin_leave(vm, duration_s)
            case "zone restarts":
                for node in simulation.controls:
                    if node.startswith(zone):
                        simulation.start(node)
            case "clock jumps":
                simulation.skew[control] = (
                    300.0 if fault.target_index % 2 else -300.0
                )
                simulation.call_later(
                    duration_s, lambda: simulation.skew.pop(control, None)
                )
            case "conflicting changes":
                self._submit_conflicting_changes(fault.target_index)

    def _kill_servers(self, vms: list[str], duration_s: float) -> None:
        for vm in vms:
            self.simulation.kill_server(vm)
            self.simulation.call_later(
                duration_s, lambda v=vm: self._restart_if_down(v)
            )

    def _restart_if_down(self, vm: str) -> None:
        if not self.simulation.servers[vm].alive:
            self.simulation.restart_server(vm)

    def _end_slowness(self, vm: str) -> None:
        self.simulation.servers[vm].batch.slowdown_factor = 1.0

    def _begin_leave(self, vm: str, duration_s: float) -> None:
        server = self.simulation.servers[vm]
        if not server.alive or server.left_at is not None:
            return
        server.member.leave()
        server.left_at = self.simulation.now

        def restart() -> None:
            server.left_at = None
            self.simulation.kill_server(vm)
            self.simulation.restart_server(vm)

        self.simulation.call_later(max(duration_s, 20.0), restart)

    def _submit_conflicting_changes(self, target_index: int) -> None:
        simulation = self.simulation
        expected = max(
            simulation.roles[n].version
            for n in simulation.controls
            if n in simulation.roles
        )
        for number in (0, 4):
            node = simulation.entries[
                (target_index + number) % len(simulation.entries)
            ]
            drain = changes.DrainVm(f"none-{target_index}", number == 0)
            operator_actions.submit(
                simulation,
                drain,
                change_id=f"race-{simulation.now}-{number}",
                node=node,
                expected=expected,
            )


def run_faults(seed: int, faults: list[Fault]) -> FaultScenario:
    """Injects faults one after another and checks that the deployment recovers.

    Raises:
        AssertionError: An invariant was violated, an entry may use fewer than
            two replicas in a zone, or a request got no response.
    """
    scenario = FaultScenario(seed)
    simulation = scenario.simulation
    for fault in faults:
        scenario.inject(fault)
        simulation.run(fault.next_fault_delay_s)
    simulation.run(60)
    scenario.load_ends_at = simulation.now
    simulation.run(45)
    for node in simulation.entries:
        zones = {
            z: operator_actions.count_replicas(simulation, node, z)
            for z in simulation.zones
        }
        assert min(zones.values()) >= 2, f"{node} may use {zones}"
    for result in simulation.results.values():
        assert result.final_effect is not None, f"no response: {result.request}"
    return scenario


def draw_faults(seed: int, count: int) -> list[Fault]:
    """Draws faults from a seed."""
    rng = random.Random(f"faults {seed}")
    return [
        Fault(
            rng.choice(FAULT_KINDS),
            rng.randrange(1000),
            rng.choice([5.0, 10.0, 30.0]),
            rng.choice([0.1, 1.0, 5.0, 15.0]),
        )
        for _ in range(count)
    ]
