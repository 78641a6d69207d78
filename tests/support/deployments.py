"""Builds the simulated deployments that the steps use."""

from __future__ import annotations

from support import (
    invariants,
    operator_actions,
    servers,
    simulation as simulation_module,
)


def build(*, engines=6, domain=6, replicas=2, size=2, **options):
    engine_options = {
        name: options.pop(name)
        for name in ("checks_fence", "load_s", "speed")
        if name in options
    }
    simulation = simulation_module.Simulation(**options)
    simulation.checkers = list(invariants.ALL)
    for zone in simulation.zones:
        simulation.add_engines(
            zone, engines, domain_size=domain, **engine_options
        )
    for zone in simulation.zones[1:]:
        simulation.add_server(servers.make_plain(zone, "dispatch"))
    operator_actions.set_up(simulation, replicas=replicas, group_size=size)
    return simulation
