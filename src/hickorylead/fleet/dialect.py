"""How a deployment's backend servers take orders and tell their state."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from hickorylead.fleet import orders


@attrs.frozen
class Call:
    """An HTTP call to a backend server.

    Attributes:
        method: HTTP method.
        path: Its path.
        body: JSON; None without a body.
    """

    method: str
    path: str
    body: bytes | None = None


class ServerDialect(Protocol):
    """Names and formats between coordinators and backend servers."""

    def write_order(self, give: orders.Give) -> Call:
        """Returns the call that gives an order."""

    def write_report_question(self) -> Call:
        """Returns the call that asks for a server's state."""

    def read_report(self, body: bytes) -> int | None:
        """Returns the orders that a server says it has accepted."""
