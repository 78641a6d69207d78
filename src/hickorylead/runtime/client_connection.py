"""HTTP connection whose use of memory is accounted for."""

from __future__ import annotations

from typing import Any

from hickorylead.intake import account, usage as usage_module
from hickorylead.runtime import (
    clock,
    fixed_responses,
    http_input,
    limited_connection,
)

# Memory of a header beside its text, in bytes.
HEADER_BYTES = 192
# What a head that is not complete may still hold, and what may be missing of a
# body without a length, in bytes.
UNKNOWN_HEAD_BYTES = 128 * 1024
UNKNOWN_BODY_BYTES = 1024 * 1024
# Smaller changes of what a connection holds are not recorded, in bytes.
MIN_CHANGE_BYTES = 4096


class ClientConnection(limited_connection.LimitedConnection):
    """A connection that reports what it uses, and that can be evicted."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Makes the protocol of one connection."""
        super().__init__(*args, **kwargs)
        self._usage: usage_module.ConnectionUsage | None = None
        # What the present request holds, and the head of the queued one.
        self._request_bytes = 0
        self._queued_bytes = 0
        self._response_bytes = 0
        self._recorded_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Records the transport; the connection may be evicted at once."""
        super().connection_made(transport)
        self._usage = self.flags.intake.open(self.number, self, self.flags.port)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        try:
            super().connection_lost(exc)
        finally:
            if self._usage is not None:
                self.flags.intake.close(self._usage)
                self._usage = None

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the client."""
        super().data_received(data)
        self._record(len(data))

    def pause_writing(self) -> None:
        """Handles a full write buffer."""
        super().pause_writing()
        self._record()

    def resume_writing(self) -> None:
        """Handles a write buffer that has been sent."""
        super().resume_writing()
        self._record()

    def on_headers_complete(self) -> None:
        """Handles the end of a head."""
        head_bytes = self._measure_head()
        super().on_headers_complete()
        if self._current is self.cycle:
            self._request_bytes += head_bytes
        else:
            self._queued_bytes = head_bytes

    def on_body(self, body: bytes) -> None:
        """Handles a piece of a body."""
        super().on_body(body)
        self._request_bytes += len(body)

    def on_response_complete(self) -> None:
        """Continues with the next request, or closes the connection."""
        self._request_bytes, self._queued_bytes = self._queued_bytes, 0
        self._response_bytes = 0
        super().on_response_complete()
        self._record()

    # For the response.

    def record_response(self, waiting_bytes: int) -> None:
        """Records what waits to be written, in bytes."""
        self._response_bytes = waiting_bytes
        self._record()

    def has_capacity(self) -> bool:
        """Returns whether much more may wait to be written."""
        return self.flags.intake.has_capacity()

    # For the account.

    def pause_input(self) -> None:
        """Reads nothing more."""
        self.flow.hold(http_input.Hold.MEMORY)

    def resume_input(self) -> None:
        """Reads again."""
        self.flow.release(http_input.Hold.MEMORY)

    def evict(self, end: account.Evict) -> str:
        """Evicts the connection; returns the client's id of its request."""
        attempt_id = self.attempt_id
        match end.phase:
            case usage_module.Phase.HEAD | usage_module.Phase.BODY if (
                end.reason != account.CONNECTIONS_FULL
            ):
                response = (
                    fixed_responses.TIMEOUT
                    if end.reason == account.BODY_STALLED
                    else self.flags.memory_full_response
                )
                self.respond_and_close(response, end.reason)
            case _:
                self.abort(end.reason)
        return attempt_id

    def _end_linger(self, unsent: int) -> None:
        """Closes the connection; one that is evicted does not wait longer."""
        if self._usage is not None and self._usage.is_evicted:
            self.transport.abort()
        else:
            super()._end_linger(unsent)

    def _record(self, input_bytes: int = 0) -> None:
        usage = self._usage
        if usage is None or usage.is_evicted:
            return
        phase = self._find_phase()
        if phase is not usage.phase:
            usage.enter(phase, clock.read_boottime())
            if phase is usage_module.Phase.BODY:
                usage.timeout_s = self.limits.body_timeout_s
                self.flags.intake.watch()
        elif input_bytes and phase is usage_module.Phase.BODY:
            usage.record_input(input_bytes, clock.read_boottime())
        held_bytes = (
            self._request_bytes
            + self._queued_bytes
            + (self._measure_head() if self._in_head else 0)
            + self._response_bytes
            + len(self._ahead)
            + self.transport.get_write_buffer_size()
        )
        if abs(held_bytes - self._recorded_bytes) < MIN_CHANGE_BYTES:
            return
        self._recorded_bytes = held_bytes
        self.flags.intake.update(usage, held_bytes, self._find_missing())

    def _measure_head(self) -> int:
        """Returns what the fields of the latest head take, in bytes."""
        return self._head_bytes + HEADER_BYTES * len(self.headers)

    def _find_phase(self) -> usage_module.Phase:
        if self.flow.write_paused:
            return usage_module.Phase.UNREAD
        if self.is_idle:
            return (
                usage_module.Phase.HEAD
                if self._in_head
                else usage_module.Phase.IDLE
            )
        if self.in_body and self.is_unanswered:
            return usage_module.Phase.BODY
        return usage_module.Phase.BUSY

    def _find_missing(self) -> int:
        """Returns what is missing of the present request, or may be."""
        if self._in_head:
            return UNKNOWN_HEAD_BYTES
        if not self.in_body:
            return 0
        if self._missing_bytes is None:
            return UNKNOWN_BODY_BYTES
        return self._missing_bytes
