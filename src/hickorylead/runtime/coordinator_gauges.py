"""Present values of a coordinator for its metrics endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.fleet import instances

if TYPE_CHECKING:
    from hickorylead.roles import coordinator as coordinator_role


def collect(role: coordinator_role.Coordinator, now: float) -> dict[str, float]:
    """Returns the present values by name."""
    present = role.registry.list_present()
    serving = [i for i in present if i.member.state == instances.GROUP_OPEN]
    free = [i for i in present if i.domain and not i.has_group]
    return {
        "configuration_version": role.version,
        "log_leader": float(role.voter.is_ready_leader(now)),
        "voters": len(role.voter.voters),
        "seconds_without_leader": role.voter_monitor.measure_leaderless(now),
        "instances": len(present),
        "instances_silent": sum(i.silent for i in present),
        "servers_unassigned": len(role.reports.unassigned),
        "departures_unconfirmed": len(role.reports.departures),
        "groups_open": len(serving),
        "blocked_contents": role.crashes.count_blocked(),
        "standbys": len(free),
    }
