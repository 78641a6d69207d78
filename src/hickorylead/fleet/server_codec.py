"""Interface to the HTTP API of a deployment's backend servers."""

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
        path: Path of the call.
        body: JSON body; None if there is none.
    """

    method: str
    path: str
    body: bytes | None = None


@attrs.frozen
class ServerReport:
    """A server's response to a probe for its state.

    Attributes:
        accepted: Number of orders that this incarnation has accepted.
        born: Start time of this incarnation, in Unix milliseconds; 0 if it does
            not report one.
        member: Its group membership at the moment `accepted` was read.
    """

    accepted: int
    born: int = 0
    member: instances.Membership = instances.Membership()


@attrs.frozen
class Notice:
    """A notice about future calls in a server's HTTP response.

    Attributes:
        retry_after_s: How long this node must send the server no calls, in
            seconds; None if not specified.
        is_leaving: Whether the server is about to end.
    """

    retry_after_s: float | None = None
    is_leaving: bool = False


class ServerCodec(Protocol):
    """Encodes and decodes calls between coordinators and servers."""

    def encode_order(self, effect: orders.SendOrder) -> HttpCall:
        """Returns the call that sends an order."""

    def encode_report_request(self) -> HttpCall:
        """Returns the call that probes a server's state."""

    def decode_report(self, body: bytes) -> ServerReport | None:
        """Returns a server's report of its state; None if malformed."""

    def decode_notice(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> Notice:
        """Returns the notice about future calls in an HTTP response."""
