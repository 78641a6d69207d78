"""What a zone runs for other zones that are gone.

Each holder decides for itself, by what it hears: no agreement is needed, since
a zone uses its own VMs only. Two zones that are cut off from each other both
run more replicas for a while, which harms nobody.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.configuration import model

# A loss of this length is no longer a restart or a short cut; loading weights
# for a shorter one would cost more than it gives.
TAKEOVER_DELAY_S = 60.0
# A zone that is back needs time to load; until then its replicas are kept.
GIVE_BACK_S = 30.0


@attrs.define
class _Zone:
    heard_at: float
    is_lost: bool = False
    back_since: float | None = None


class Takeover:
    """Which other zones are gone, with delays in both directions."""

    def __init__(self, *, zone: str, zones: Iterable[str], now: float) -> None:
        """Takes all zones for present.

        Args:
            zone: This zone.
            zones: All zones.
            now: Present time.
        """
        self._zone = zone
        self._others = {z: _Zone(now) for z in zones if z != zone}

    @property
    def lost_zones(self) -> tuple[str, ...]:
        """Zones that are gone, sorted."""
        return tuple(sorted(z for z, s in self._others.items() if s.is_lost))

    def record_heartbeat(self, zone: str, now: float) -> None:
        """Notes a sign of life of another zone."""
        state = self._others.get(zone)
        if state is None:
            return
        state.heard_at = now
        if state.is_lost and state.back_since is None:
            state.back_since = now

    def tick(self, now: float) -> None:
        """Lets time pass."""
        for state in self._others.values():
            if now - state.heard_at > TAKEOVER_DELAY_S:
                state.is_lost, state.back_since = True, None
            elif (
                state.back_since is not None
                and now - state.back_since >= GIVE_BACK_S
            ):
                state.is_lost, state.back_since = False, None

    def list_shares(
        self, configuration: model.Configuration
    ) -> list[tuple[model.Service, int]]:
        """Returns the shares of this zone and its part of the lost ones.

        The zones that are left split each lost share evenly; who gets the
        remainder follows from the order of their names.
        """
        left = sorted({*self._others, self._zone} - set(self.lost_zones))
        place = left.index(self._zone)
        own = configuration.list_shares(self._zone)
        for zone in self.lost_zones:
            taken = {
                service.name: wanted // len(left)
                + (1 if place < wanted % len(left) else 0)
                for service, wanted in configuration.list_shares(zone)
            }
            own = [(s, wanted + taken.get(s.name, 0)) for s, wanted in own]
        return own
