"""Turns what a replica sends in one attempt into events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import events, model
from hickorylead.runtime import upstream_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.forwarding import header_codec as header_codec_module


class AttemptReceiver:
    """Turns what a replica sends in one attempt into events."""

    def __init__(
        self,
        attempt: events.StartAttempt,
        *,
        header_codec: header_codec_module.HeaderCodec,
        deliver: Callable[[events.Event], None],
    ) -> None:
        """Makes a receiver.

        Args:
            attempt: The attempt.
            header_codec: Decodes the head of the response.
            deliver: Called with each event.
        """
        self._id = attempt.request.request_id
        self._number = attempt.attempt
        self._header_codec = header_codec
        self._deliver = deliver
        self._is_framed = True

    def on_connected(self) -> None:
        """Handles a new connection, before the request is sent."""
        self._deliver(events.AttemptConnected(self._id, self._number))

    def on_headers(self, status: int, headers: list[model.Header]) -> None:
        """Handles status and headers."""
        self._is_framed = upstream_connection.is_framed(status, headers)
        head = self._header_codec.decode_response_head(status, headers)
        self._deliver(events.ResponseHeadArrived(self._id, self._number, head))

    def on_body_chunk(self, data: bytes) -> None:
        """Handles a chunk of the body."""
        self._deliver(events.ChunkArrived(self._id, self._number, data))

    def on_complete(self) -> None:
        """Handles the end of a complete response."""
        self._deliver(
            events.ResponseCompleted(self._id, self._number, self._is_framed)
        )

    def on_failure(self, verdict: verdict_module.Verdict, reason: str) -> None:
        """Handles the end of an attempt without a complete response."""
        self._deliver(
            events.AttemptFailed(self._id, self._number, verdict, reason)
        )
