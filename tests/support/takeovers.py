"""Random schedules of coordinator failures while servers are replaced.

Coordinators are partitioned in one or both directions, frozen and restarted
while servers are replaced, drained and lost, so that several coordinators may
plan the same zone at once.
"""

from __future__ import annotations

import random

from hickorylead.fleet import instances
from support import fleet_simulation

# Time with random faults, then without, in seconds.
FAULTS_S = 24.0
RECOVERY_S = 12.0


class Schedule:
    """One random schedule."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"takeovers {seed}")
        self.simulation = fleet_simulation.FleetSimulation(
            seed=seed,
            servers_per_zone=9,
            domain_size=9,
            coordinators_per_zone=self.rng.choice((1, 2)),
        )
        self.simulation.bootstrap()
        self.added_servers = 0

    def run(self) -> list[str]:
        """Runs the schedule; returns joins that broke up a serving group."""
        simulation = self.simulation
        end = simulation.now + FAULTS_S
        while simulation.now < end:
            simulation.run(self.rng.uniform(0.05, 1.0))
            self._inject_fault()
        simulation.heal()
        for node in list(simulation.frozen):
            simulation.unfreeze(node)
        for node in simulation.coordinator_names:
            if node not in simulation.coordinators:
                simulation.start(node)
        simulation.run(RECOVERY_S)
        return simulation.conflicting_joins

    def _inject_fault(self) -> None:
        simulation, rng = self.simulation, self.rng
        node = rng.choice(simulation.coordinator_names)
        match rng.choices(
            (
                "one-way partition",
                "partition",
                "freeze",
                "kill",
                "replace",
                "crash",
                "drain",
            ),
            (5, 2, 2, 1, 4, 4, 4),
        )[0]:
            case "one-way partition":
                for other in simulation.coordinator_names:
                    simulation.one_way_partitions.add((node, other))
                simulation.call_at(
                    rng.uniform(2.0, 7.0),
                    lambda: self._heal_one_way_partitions(node),
                )
            case "partition":
                for other in simulation.coordinator_names:
                    if other != node:
                        simulation.partition(node, other)
                simulation.call_at(rng.uniform(2.0, 7.0), simulation.heal)
            case "freeze":
                simulation.frozen.add(node)
                wait_s = rng.uniform(0.5, 4.0)
                simulation.call_at(wait_s, lambda: simulation.unfreeze(node))
            case "kill":
                simulation.kill(node)
                wait_s = rng.uniform(0.1, 4.0)
                simulation.call_at(wait_s, lambda: self._start_if_stopped(node))
            case "replace":
                server = self._choose_server()
                simulation.crash(server.name)
                self._add_server(server.zone)
            case "crash":
                simulation.crash(self._choose_server().name)
            case "drain":
                server = self._choose_server()
                server.phase = instances.PHASE_DRAINING
                simulation.send_heartbeat(server)
                self._add_server(server.zone)
                wait_s = rng.uniform(1.0, 3.0)
                simulation.call_at(
                    wait_s, lambda: self._crash_if_alive(server.name)
                )

    def _heal_one_way_partitions(self, node: str) -> None:
        simulation = self.simulation
        for other in simulation.coordinator_names:
            simulation.one_way_partitions.discard((node, other))

    def _start_if_stopped(self, node: str) -> None:
        if node not in self.simulation.coordinators:
            self.simulation.start(node)

    def _choose_server(self):
        return self.rng.choice(list(self.simulation.servers.values()))

    def _add_server(self, zone: str) -> None:
        self.added_servers += 1
        self.simulation.add_server(f"new{self.added_servers}", zone)

    def _crash_if_alive(self, name: str) -> None:
        if name in self.simulation.servers:
            self.simulation.crash(name)


def run_schedules(first: int, count: int) -> list[str]:
    """Runs schedules; returns their conflicting joins, each with its seed."""
    return [
        f"seed {seed}: {join}"
        for seed in range(first, first + count)
        for join in Schedule(seed).run()
    ]
