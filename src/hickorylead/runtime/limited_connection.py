"""HTTP connection with limits on heads and on idle time."""

from __future__ import annotations

import asyncio
from typing import Any

from hickorylead.runtime import fixed_responses, http_connection, intake


class LimitedConnection(http_connection.HttpConnection):
    """A connection whose client has to send heads within limits."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Makes the protocol of one connection."""
        super().__init__(*args, **kwargs)
        self._head_timer: asyncio.TimerHandle | None = None
        self._head_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Records the transport and starts the idle timer."""
        super().connection_made(transport)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        self._cancel_head_timer()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the client."""
        if self.is_idle and not self.in_body:
            self._start_head_timer()
        super().data_received(data)

    def on_message_begin(self) -> None:
        """Handles the first byte of a request."""
        self._head_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Handles a chunk of the request target."""
        self._count_head_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header."""
        self._count_head_bytes(len(name) + len(value) + len(": \r\n"))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Handles the end of the head."""
        self._cancel_head_timer()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Starts the wait for the next request, with the present limit."""
        self.timeout_keep_alive = self.limits.idle_timeout_s  # type: ignore[assignment]
        super().on_response_complete()
        if self.is_idle and self._in_head:
            self._unset_keepalive_if_required()
            self._start_head_timer()

    def timeout_keep_alive_handler(self) -> None:
        """Closes a connection that was idle for too long."""
        self.close_reason = "idle_timeout"
        super().timeout_keep_alive_handler()

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.max_header_bytes:
            self.reject_long_head()
            # The error stops the parser: the rest of the connection is not
            # read.
            raise ValueError("the head of a request is too long")

    def _start_idle_timer(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self.limits.idle_timeout_s, self.timeout_keep_alive_handler
        )

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.limits.header_timeout_s, self._reject_slow_head
            )

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject_slow_head(self) -> None:
        self.report_rejection(intake.HEAD_TIMEOUT)
        self.respond_and_close(fixed_responses.TIMEOUT, intake.HEAD_TIMEOUT)
