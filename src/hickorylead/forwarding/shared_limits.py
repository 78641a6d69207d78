"""One gateway's part of the limits that all gateways share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.admission import windowed_budget
from hickorylead.fleet import gateway_count

if TYPE_CHECKING:
    from hickorylead.admission import budget as budget_module
    from hickorylead.configuration import document as document_module

# Share of a replica's connection limit that all gateways together may use; the
# rest is reserved for state queries and orders from coordinators.
CONNECTION_SHARE = 0.9


class SharedLimits:
    """Retries, and connections divided by the number of gateways."""

    def __init__(self, limits: budget_module.RetryLimits) -> None:
        """Makes limits before the number of gateways is known.

        Args:
            limits: Retries that all gateways together may make.
        """
        self.retries = windowed_budget.GatewayRetryBudgets(limits)
        self._count = gateway_count.GatewayCount(gateway_count.INITIAL_COUNT)

    @property
    def gateway_count(self) -> int:
        """Number of gateways that share the limits, as used at present."""
        return self._count.value

    def set_gateway_count(
        self, count: int, now: float, *, is_settled: bool
    ) -> None:
        """Sets the reported number of gateways.

        Args:
            count: The number.
            now: Present time.
            is_settled: Whether the coordinator that reported it can have heard
                of all gateways.
        """
        self._count.record(count, now, is_settled=is_settled)

    def find_max_own_requests(
        self, service: document_module.Service | None
    ) -> int | None:
        """Returns how many requests of this gateway a replica may run at once.

        A replica resets connections above its limit, along with the requests on
        them. Gateways share the limit equally. Each may run at least one
        request, so that none is locked out when gateways outnumber connections.

        None if the service has no connection limit, or is unknown.
        """
        if service is None or not service.max_connections:
            return None
        available = int(CONNECTION_SHARE * service.max_connections)
        return max(1, available // self._count.value)
