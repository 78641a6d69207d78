"""Replicas that a zone runs in place of lost zones.

Each lease holder decides from the heartbeats that it receives. No agreement is
needed, because a zone uses its own VMs only. Two zones that are partitioned
from each other both run additional replicas for a while, which is harmless.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.configuration import model

# Time after the last heartbeat of a zone at which the zone counts as lost, in
# seconds: it is then not merely restarting or partitioned briefly. For a
# shorter loss, loading weights would cost more than it gains.
TAKEOVER_DELAY_S = 60.0
# Time after a lost zone's return at which it no longer counts as lost, in
# seconds. The zone needs time to load weights; until then the other zones keep
# the replicas that they run in its place.
GIVE_BACK_DELAY_S = 30.0


@attrs.define
class _ZoneState:
    last_heartbeat_at: float
    is_lost: bool = False
    back_since: float | None = None


class Takeover:
    """Tracks which other zones are lost, with delays in both directions."""

    def __init__(self, *, zone: str, zones: Iterable[str], now: float) -> None:
        """Makes a tracker that treats all zones as present.

        Args:
            zone: This zone.
            zones: All zones.
            now: Current time.
        """
        self._zone = zone
        self._others = {z: _ZoneState(now) for z in zones if z != zone}

    @property
    def lost_zones(self) -> tuple[str, ...]:
        """Lost zones, sorted."""
        return tuple(sorted(z for z, s in self._others.items() if s.is_lost))

    def record_heartbeat(self, zone: str, now: float) -> None:
        """Records a heartbeat of another zone."""
        state = self._others.get(zone)
        if state is None:
            return
        state.last_heartbeat_at = now
        if state.is_lost and state.back_since is None:
            state.back_since = now

    def tick(self, now: float) -> None:
        """Updates which zones are lost or have returned."""
        for state in self._others.values():
            if now - state.last_heartbeat_at > TAKEOVER_DELAY_S:
                state.is_lost, state.back_since = True, None
            elif (
                state.back_since is not None
                and now - state.back_since >= GIVE_BACK_DELAY_S
            ):
                state.is_lost, state.back_since = False, None

    def list_shares(
        self, configuration: model.Configuration
    ) -> list[tuple[model.Service, int]]:
        """Returns the shares of this zone, with its part of lost zones' shares.

        The present zones split each share of a lost zone evenly. The remainder
        goes to the first present zones in the order of their names.
        """
        present = sorted({*self._others, self._zone} - set(self.lost_zones))
        index = present.index(self._zone)
        own = configuration.list_shares(self._zone)
        for zone in self.lost_zones:
            takeover = {
                service.name: wanted // len(present)
                + (1 if index < wanted % len(present) else 0)
                for service, wanted in configuration.list_shares(zone)
            }
            own = [(s, wanted + takeover.get(s.name, 0)) for s, wanted in own]
        return own
