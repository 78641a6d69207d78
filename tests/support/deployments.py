"""Builds the deployments in given time that the steps speak of."""

from __future__ import annotations

from support import invariants, operator_actions, servers, simulation


def build(*, engines=6, domain=6, replicas=2, size=2, **options):
    engine_options = {
        name: options.pop(name)
        for name in ("checks_fence", "load_s", "speed")
        if name in options
    }
    built = simulation.Simulation(**options)
    built.checkers = list(invariants.ALL)
    for zone in built.zones:
        built.add_engines(zone, engines, domain_size=domain, **engine_options)
    for zone in built.zones[1:]:
        built.add_server(servers.make_plain(zone, "dispatch"))
    operator_actions.set_up(built, replicas=replicas, group_size=size)
    return built
