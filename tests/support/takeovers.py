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
        self.world = fleet_simulation.FleetSimulation(
            seed=seed,
            servers_per_zone=9,
            domain_size=9,
            coordinators_per_zone=self.rng.choice((1, 2)),
        )
        self.world.bootstrap()
        self.added_servers = 0

    def run(self) -> list[str]:
        """Runs the schedule; returns joins that broke up a serving group."""
        world = self.world
        end = world.now + FAULTS_S
        while world.now < end:
            world.run(self.rng.uniform(0.05, 1.0))
            self._inject_fault()
        world.heal()
        for node in list(world.frozen):
            world.unfreeze(node)
        for node in world.coordinator_names:
            if node not in world.coordinators:
                world.start(node)
        world.run(RECOVERY_S)
        return world.conflicting_joins

    def _inject_fault(self) -> None:
        world, rng = self.world, self.rng
        node = rng.choice(world.coordinator_names)
        match rng.choices(
            (
                "one-way cut",
                "cut",
                "freeze",
                "kill",
                "replace",
                "crash",
                "drain",
            ),
            (5, 2, 2, 1, 4, 4, 4),
        )[0]:
            case "one-way cut":
                for other in world.coordinator_names:
                    world.one_way_partitions.add((node, other))
                world.call_at(
                    rng.uniform(2.0, 7.0),
                    lambda: self._heal_one_way_cuts(node),
                )
            case "cut":
                for other in world.coordinator_names:
                    if other != node:
                        world.partition(node, other)
                world.call_at(rng.uniform(2.0, 7.0), world.heal)
            case "freeze":
                world.frozen.add(node)
                wait_s = rng.uniform(0.5, 4.0)
                world.call_at(wait_s, lambda: world.unfreeze(node))
            case "kill":
                world.kill(node)
                wait_s = rng.uniform(0.1, 4.0)
                world.call_at(wait_s, lambda: self._start_if_stopped(node))
            case "replace":
                server = self._choose_server()
                world.crash(server.name)
                self._add_server(server.zone)
            case "crash":
                world.crash(self._choose_server().name)
            case "drain":
                server = self._choose_server()
                server.phase = instances.PHASE_DRAINING
                world.send_heartbeat(server)
                self._add_server(server.zone)
                wait_s = rng.uniform(1.0, 3.0)
                world.call_at(wait_s, lambda: self._crash_if_alive(server.name))

    def _heal_one_way_cuts(self, node: str) -> None:
        world = self.world
        for other in world.coordinator_names:
            world.one_way_partitions.discard((node, other))

    def _start_if_stopped(self, node: str) -> None:
        if node not in self.world.coordinators:
            self.world.start(node)

    def _choose_server(self):
        return self.rng.choice(list(self.world.servers.values()))

    def _add_server(self, zone: str) -> None:
        self.added_servers += 1
        self.world.add_server(f"new{self.added_servers}", zone)

    def _crash_if_alive(self, name: str) -> None:
        if name in self.world.servers:
            self.world.crash(name)


def run_schedules(first: int, count: int) -> list[str]:
    """Runs schedules; returns their conflicting joins, each with its seed."""
    return [
        f"seed {seed}: {join}"
        for seed in range(first, first + count)
        for join in Schedule(seed).run()
    ]
