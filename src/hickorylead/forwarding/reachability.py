"""Which backend servers one gateway can open connections to.

A gateway that reaches no server looks like a gateway whose servers are all
down: each attempt ends without a connection. The difference matters, because
other gateways may still reach the servers. Silence on an open connection is no
evidence here, since a working server may be silent for a while.
"""

from __future__ import annotations

import attrs

from hickorylead import notes

# Number of servers of a zone to which connections must fail, without any
# success in between, before the zone counts as unreachable.
MIN_FAILED_SERVERS = 2


@attrs.define
class _Zone:
    """Connections to the servers of one zone.

    Attributes:
        failed: Servers to which the latest connection failed, with the time.
        unreachable_since: When the zone became unreachable; None if it is
            reachable.
    """

    failed: dict[str, float] = attrs.field(factory=dict)
    unreachable_since: float | None = None


class Reachability:
    """Outcome of the latest connections of one gateway, by zone and server."""

    def __init__(self) -> None:
        """Makes a view in which all servers are reachable."""
        self._zones: dict[str, _Zone] = {}

    def record_connected(
        self, server: str, zone: str, now: float
    ) -> list[notes.Note]:
        """Records a new connection to a server; returns what changed."""
        state = self._zones.get(zone)
        if state is None:
            return []
        state.failed.pop(server, None)
        if state.unreachable_since is None:
            return []
        lasted_s = now - state.unreachable_since
        state.unreachable_since = None
        return [
            notes.note(
                "zone_reachable",
                server_zone=zone,
                server=server,
                after_s=round(lasted_s, 3),
            )
        ]

    def record_failure(
        self, server: str, zone: str, reason: str, now: float
    ) -> list[notes.Note]:
        """Records that a connection to a server failed; returns what changed.

        Args:
            server: The server.
            zone: Its availability zone.
            reason: Stable code of the failure.
            now: Present time.
        """
        state = self._zones.setdefault(zone, _Zone())
        state.failed[server] = now
        if (
            state.unreachable_since is not None
            or len(state.failed) < MIN_FAILED_SERVERS
        ):
            return []
        state.unreachable_since = now
        return [
            notes.note(
                "zone_unreachable",
                server_zone=zone,
                servers=sorted(state.failed),
                last_failure=reason,
            )
        ]

    def is_reachable(self, server: str, zone: str) -> bool:
        """Returns whether connections to a server are expected to succeed."""
        state = self._zones.get(zone)
        return state is None or (
            state.unreachable_since is None and server not in state.failed
        )

    def list_unreachable_zones(self) -> list[str]:
        """Returns the zones with servers of which none can be reached."""
        return [
            zone
            for zone, state in self._zones.items()
            if state.unreachable_since is not None
        ]

    def count_failed(self) -> int:
        """Returns the servers to which the latest connection failed."""
        return sum(len(state.failed) for state in self._zones.values())

    def retain(self, names: set[str]) -> None:
        """Drops servers that are not in `names`."""
        for zone, state in list(self._zones.items()):
            state.failed = {
                server: at
                for server, at in state.failed.items()
                if server in names
            }
            if not state.failed:
                del self._zones[zone]
