"""Finds out which servers a gateway can connect to, and asks for relays."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.forwarding import (
    events,
    model,
    reachability as reachability_module,
)
from hickorylead.relaying import relay_directory

if TYPE_CHECKING:
    from hickorylead.forwarding import (
        health as health_module,
        replica_directory,
        state,
    )
    from hickorylead.relaying import messages

# After the first failed connection, another server of the same service and zone
# is probed unless one of them sent output within this time, in seconds.
OUTPUT_WINDOW_S = 0.5
# Maximum number of servers that are probed at once when one of them has become
# reachable again.
MAX_PROBES = 8


class ConnectionMonitor:
    """Evidence of failed connections, and the probes that it calls for."""

    def __init__(
        self,
        *,
        directory: replica_directory.ReplicaDirectory,
        health: health_module.HealthTracker,
        reachability: reachability_module.Reachability,
        relays: relay_directory.RelayDirectory,
    ) -> None:
        """Makes a monitor.

        Args:
            directory: Replicas that may be used.
            health: Output observed of them.
            reachability: Records the outcome of connections.
            relays: Gateways that relay requests to unreachable replicas.
        """
        self._directory = directory
        self._health = health
        self._reachability = reachability
        self._relays = relays

    def record_connected(
        self, replica: model.Replica, now: float
    ) -> list[events.Effect]:
        """Records a new connection to a server."""
        was_reachable = self._reachability.is_scope_reachable(replica)
        effects: list[events.Effect] = [
            *self._reachability.record_connected(replica, now)
        ]
        if not was_reachable:
            # The others have probably become reachable as well.
            failed = self._reachability.list_failed(replica)
            effects += [
                events.ProbeServer(other) for other in failed[:MAX_PROBES]
            ]
        return effects

    def record_failure(
        self, replica: model.Replica, reason: str, now: float
    ) -> list[events.Effect]:
        """Records a failed connection of a request or a probe."""
        present = self._directory.list_in_zone(replica.service, replica.zone)
        was_reachable = self._reachability.is_reachable(replica)
        effects: list[events.Effect] = [
            *self._reachability.record_failure(
                replica, reason, present=len(present), now=now
            )
        ]
        is_scope_reachable = self._reachability.is_scope_reachable(replica)
        if is_scope_reachable and reason == model.CONNECT_TIMEOUT:
            # The replica is partitioned or down; the next request sent to it
            # would also wait until the connection timeout.
            self._health.mark_stalled(replica, now)
        if was_reachable:
            other = self._find_other(replica, present, now)
            if other is not None:
                effects.append(events.ProbeServer(other))
        return effects

    def _find_other(
        self, replica: model.Replica, present: list[model.Replica], now: float
    ) -> model.Replica | None:
        """Returns another replica to probe; None if there is no need."""
        failed = {r.name for r in self._reachability.list_failed(replica)}
        others = [
            other
            for other in present
            if other.name not in failed and not other.is_missing
        ]
        is_cut = not self._reachability.is_scope_reachable(replica)
        if not others or (
            not is_cut
            and any(
                now - self._health.get(other).progress_at < OUTPUT_WINDOW_S
                for other in others
            )
        ):
            return None
        return min(others, key=lambda o: self._health.get(o).own_requests)

    def handle_probe(
        self, event: events.ServerProbed, now: float
    ) -> list[events.Effect]:
        """Handles the outcome of a probe."""
        if event.failure:
            return self.record_failure(event.replica, event.failure, now)
        return self.record_connected(event.replica, now)

    def record_lost_relay(
        self, attempt: state.Attempt, reason: str, now: float
    ) -> None:
        """Records that an attempt through a relay failed."""
        relay = attempt.relay
        match reason:
            case _ if relay is None:
                pass
            case model.RELAY_NO_SERVER:
                # Until its next offer it is unknown whether the relay reaches
                # any server there, or only this one is down.
                scope = reachability_module.find_scope(attempt.replica)
                self._relays.withdraw(relay, scope)
                self._health.mark_stalled(
                    attempt.replica, now, is_confirmed=False
                )
            case model.RELAY_NO_ZONE:
                self._relays.withdraw(relay)
            case model.RELAY_UNREACHABLE | model.RELAY_LOST:
                self._relays.avoid(relay, relay_directory.LOST_AVOID_S, now)
            case model.RELAY_REFUSED | "stalled" | "no_answer":
                self._relays.avoid(relay, relay_directory.REFUSED_AVOID_S, now)

    def tick(self, now: float) -> list[events.Effect]:
        """Sends the probes that are due."""
        return [
            events.ProbeServer(replica)
            for replica in self._reachability.choose_probes(
                self._list_servers, now
            )
        ]

    def _list_servers(self, scope: messages.Scope) -> list[model.Replica]:
        return self._directory.list_in_zone(scope.service, scope.zone)
