"""Detects backend servers that are dead."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.fleet import instances, registry as registry_module
    from hickorylead.turns import own_pauses

# Number of heartbeat periods without a heartbeat after which a server is
# probed. Heartbeats have a jitter of a tenth. A server sends a heartbeat that
# got no response within a second to the next coordinator.
PROBE_AFTER_PERIODS = 1.5
# Time after which a probe without a response is repeated, in seconds.
PROBE_INTERVAL_S = 0.7
# Time for which a server that responded to a probe is not suspected again, in
# seconds.
SUSPICION_COOLDOWN_S = 1.0
# Time for which a replica that sent output to a gateway is not treated as dead,
# even if its heartbeats or probes fail, in seconds: the report period of a
# gateway plus the longest pass of a replica that works.
OUTPUT_TIMEOUT_S = 0.45


@attrs.define
class _Suspicion:
    since: float
    probed_at: float
    unanswered_probes: int = 0
    responded_at: float = -1e9


class FailureDetector:
    """Backend servers that may be dead.

    A server whose heartbeats are missing, or whose replica sends no more
    output, is probed for its state. If it does not respond to the probe either
    it is treated as dead, unless a gateway still receives output from its
    replica: then it is only unreachable from this node, and disbanding its
    group would abort working requests.
    """

    def __init__(
        self, heartbeat_s: float, pauses: own_pauses.OwnPauses
    ) -> None:
        """Makes a detector without suspects.

        Args:
            heartbeat_s: Heartbeat period, in seconds.
            pauses: Times at which the node did not handle heartbeats and what
                gateways report.
        """
        self._pauses = pauses
        self.probe_after_s = PROBE_AFTER_PERIODS * heartbeat_s
        self._suspicions: dict[str, _Suspicion] = {}
        self._cleared: dict[str, float] = {}
        self._last_output_at: dict[str, float] = {}

    def add_suspects(
        self, members: Iterable[instances.Instance], now: float
    ) -> list[instances.Instance]:
        """Adds suspected servers; returns those that are to be probed now."""
        probed = []
        for member in members:
            suspicion = self._suspicions.get(member.name)
            if member.silent:
                continue
            if suspicion is None:
                if (
                    now - self._cleared.get(member.name, -1e9)
                    < SUSPICION_COOLDOWN_S
                ):
                    continue
                self._suspicions[member.name] = _Suspicion(now, now)
                probed.append(member)
            elif now - suspicion.probed_at >= PROBE_INTERVAL_S:
                suspicion.probed_at = now
                probed.append(member)
        return probed

    def handle_report(self, name: str, *, responded: bool, now: float) -> None:
        """Records whether a server responded to a probe."""
        suspicion = self._suspicions.get(name)
        if suspicion is None:
            return
        if responded:
            del self._suspicions[name]
            self._cleared[name] = now
        else:
            suspicion.unanswered_probes += 1

    def clear_suspicion(self, name: str) -> None:
        """Clears the suspicion of a server that sent a heartbeat."""
        self._suspicions.pop(name, None)

    def record_loss(self, name: str, lost_at: float) -> None:
        """Records when a server closed a connection during a response.

        A response to a probe before that does not show that it is alive.
        """
        if self._cleared.get(name, lost_at) < lost_at:
            del self._cleared[name]

    def record_output(self, head: str, now: float) -> None:
        """Records when a gateway received output from a replica."""
        self._last_output_at[head] = max(
            now, self._last_output_at.get(head, now)
        )

    def list_lost(
        self, registry: registry_module.Registry, now: float
    ) -> frozenset[str]:
        """Returns the servers that are treated as dead."""
        self._last_output_at = {
            h: t
            for h, t in self._last_output_at.items()
            if self._pauses.measure_silence(t, now) < OUTPUT_TIMEOUT_S
        }
        progressing = set()
        for head in self._last_output_at:
            instance = registry.instances.get(head)
            if instance is not None and instance.has_group:
                progressing.add((instance.member.group, instance.member.epoch))
        lost = set()
        for name, suspicion in list(self._suspicions.items()):
            instance = registry.instances.get(name)
            if instance is None:
                del self._suspicions[name]
                continue
            group = (instance.member.group, instance.member.epoch)
            if suspicion.unanswered_probes and group not in progressing:
                lost.add(name)
        lost.update(
            i.name
            for i in registry.list_present()
            if i.silent
            and (i.member.group, i.member.epoch) not in progressing
            and not registry.awaits_first_heartbeat(
                i.name, now, pauses=self._pauses
            )
        )
        return frozenset(lost)
