"""Number of gateways that share a limit, as far as a node can tell."""

from __future__ import annotations

import attrs

# Number of gateways that is assumed at least, until a coordinator that can have
# heard of all of them reports it. A high number allows a gateway that starts
# little, until the coordinators have run for a few seconds.
INITIAL_COUNT = 64
# Time for which a lower number is ignored, in seconds, after the highest number
# was last seen. In a partitioned network, the number seen on each side is too
# low, while the gateways of all sides use their part of a limit.
RETENTION_S = 60.0


@attrs.define
class GatewayCount:
    """The highest number that was seen recently.

    Attributes:
        value: The number; at first what is assumed.
    """

    value: int
    _is_settled: bool = False
    _seen_at: float = float("-inf")

    def record(self, count: int, now: float, *, is_settled: bool) -> None:
        """Records a number.

        Args:
            count: Number of gateways.
            now: Present time.
            is_settled: Whether the node that counted can have heard of all
                gateways; if not, the number may be too low.
        """
        is_first_settled = is_settled and not self._is_settled
        is_outdated = is_settled and now - self._seen_at > RETENTION_S
        if count >= self.value or is_first_settled or is_outdated:
            self.value = count
            self._seen_at = now
        self._is_settled = self._is_settled or is_settled
