"""How a deployment's backend servers take orders and tell their state."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from hickorylead.fleet import instances

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorylead.fleet import orders


@attrs.frozen
class HttpCall:
    """An HTTP call to a backend server.

    Attributes:
        method: HTTP method.
        path: Its path.
        body: JSON; None without a body.
    """

    method: str
    path: str
    body: bytes | None = None


@attrs.frozen
class ServerReport:
    """What a server answers to the question for its state.

    Attributes:
        accepted: Orders that it has accepted in this life.
        born: When this life began, in Unix milliseconds; 0 if it does not tell.
        member: Its group membership at the moment `accepted` was read.
    """

    accepted: int
    born: int = 0
    member: instances.Membership = instances.Membership()


@attrs.frozen
class Notice:
    """What a server says with an answer about calls to come.

    Attributes:
        retry_after_s: How long it wants no call from this node, in seconds;
            None if unsaid.
        is_leaving: Whether it is about to end.
    """

    retry_after_s: float | None = None
    is_leaving: bool = False


class ServerCodec(Protocol):
    """Names and formats between coordinators and backend servers."""

    def encode_order(self, give: orders.SendOrder) -> HttpCall:
        """Returns the call that gives an order."""

    def encode_report_request(self) -> HttpCall:
        """Returns the call that asks for a server's state."""

    def decode_report(self, body: bytes) -> ServerReport | None:
        """Returns what a server tells of its state; None if unreadable."""

    def decode_notice(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> Notice:
        """Returns what an answer says about calls to come."""
