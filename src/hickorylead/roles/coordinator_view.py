"""The coordinators as one gateway knows them, and which one is its home."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hickorylead.roles import nodes

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorylead.turns import own_pauses

# Time without a message after which a coordinator is not used as home
# coordinator, in seconds. A coordinator sends the loads of its zone every
# 0.25 s, but may block on its disk between two such messages.
HOME_COORDINATOR_TIMEOUT_S = 1.2
# Time without a leader after which a home coordinator is replaced by a
# coordinator that has a leader, in seconds. A coordinator without a leader is
# partitioned from the others and receives neither their updates nor a new
# configuration. After the loss of a leader the next one is elected in about a
# second.
HOME_COORDINATOR_STALE_TIMEOUT_S = 1.2


class CoordinatorView:
    """Coordinators that a gateway has discovered."""

    def __init__(self, zone: str, pauses: own_pauses.OwnPauses) -> None:
        """Makes a view without coordinators.

        Args:
            zone: Zone of the gateway.
            pauses: Times at which the gateway did not handle messages.
        """
        self._zone = zone
        self._pauses = pauses
        self._addresses: dict[str, str] = {}
        self._last_received_at: dict[str, float] = {}
        # Whether each coordinator last reported that it has a leader, and the
        # time since which the home coordinator has had no leader.
        self._freshness: dict[str, bool] = {}
        self._home_stale_since: float | None = None
        self.home = ""

    def record_message(self, node: str, now: float) -> None:
        """Records that a message of a coordinator arrived."""
        self._last_received_at[node] = now
        self._addresses.setdefault(node, "")

    def record_freshness(
        self, node: str, now: float, *, is_fresh: bool
    ) -> None:
        """Records whether a coordinator has contact to a leader."""
        self._freshness[node] = is_fresh
        if node != self.home:
            return
        if is_fresh:
            self._home_stale_since = None
        elif self._home_stale_since is None:
            self._home_stale_since = now

    def update_addresses(self, reported: Mapping[str, str], now: float) -> None:
        """Replaces the known coordinators by those that one reported.

        A coordinator that has just started lists only a few others, so the
        coordinators that are alive stay in the list.
        """
        alive = {
            node: address
            for node, address in self._addresses.items()
            if self._is_alive(node, now)
        }
        self._addresses = {**alive, **reported}

    def set_home(self, node: str) -> None:
        """Sets the home coordinator."""
        if node != self.home:
            self.home, self._home_stale_since = node, None

    def is_fresh(self, node: str) -> bool:
        """Returns whether a coordinator last reported that it has a leader."""
        return self._freshness.get(node, False)

    def list_heard(self) -> list[str]:
        """Returns the coordinators that sent a message at any time."""
        return [*self._last_received_at]

    def list_hello_targets(self, seeds: Iterable[str]) -> list[str]:
        """Returns the nodes to send hellos to, addresses with a leading "@".

        A coordinator that only other coordinators have reported gets hellos at
        its address: connections resolve a node name only from that node's own
        messages.
        """
        known = set(self._addresses.values())
        return [
            *(
                node if node in self._last_received_at else f"@{address}"
                for node, address in self._addresses.items()
            ),
            *(f"@{seed}" for seed in seeds if seed not in known),
        ]

    def find_home(self, now: float) -> str:
        """Returns the home coordinator; empty if there is none.

        It is the coordinator that sends this gateway its updates.
        """
        alive = [node for node in self._addresses if self._is_alive(node, now)]
        fresh = [n for n in alive if self._freshness.get(n)]
        own = [n for n in alive if nodes.get_zone(n) == self._zone]
        pool = [n for n in own if n in fresh] or own or alive
        is_partitioned = (
            self._home_stale_since is not None
            and self._pauses.measure_silence(self._home_stale_since, now)
            > HOME_COORDINATOR_STALE_TIMEOUT_S
        )
        if is_partitioned and fresh and not set(pool) & set(fresh):
            pool = fresh
        if self.home in pool:
            # A change of the home coordinator costs a full sync of all servers.
            return self.home
        return min(pool, default="")

    def _is_alive(self, node: str, now: float) -> bool:
        received_at = self._last_received_at.get(node, -math.inf)
        return (
            self._pauses.measure_silence(received_at, now)
            < HOME_COORDINATOR_TIMEOUT_S
        )
