"""HTTP connection of a client, which the account of the process decides on."""

from __future__ import annotations

from typing import Any

from hickorylead.intake import account, members
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
    """A connection that tells what its client makes the process hold."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Makes the protocol of one connection."""
        super().__init__(*args, **kwargs)
        self._member: members.Member | None = None
        # What the present request holds, and the head of the queued one.
        self._request_bytes = 0
        self._queued_bytes = 0
        self._response_bytes = 0
        self._recorded_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Records the transport and asks for a place."""
        super().connection_made(transport)
        self._member = self.flags.intake.open(
            self.number, self, self.flags.port
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        super().connection_lost(exc)
        if self._member is not None:
            self.flags.intake.close(self._member)
            self._member = None

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

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header."""
        super().on_header(name, value)
        self._queued_bytes += HEADER_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Handles the end of a head."""
        super().on_headers_complete()
        if self._current is self.cycle:
            self._request_bytes += self._queued_bytes
            self._queued_bytes = 0

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

    def has_room(self) -> bool:
        """Returns whether much more may wait to be written."""
        return self.flags.intake.has_room()

    # For the account.

    def pause_input(self) -> None:
        """Reads nothing more."""
        self.flow.hold(http_input.Hold.ROOM)

    def resume_input(self) -> None:
        """Reads again."""
        self.flow.release(http_input.Hold.ROOM)

    def give_way(self, end: account.End) -> str:
        """Ends the connection; returns the client's id of its request."""
        attempt_id = self.attempt_id
        match end.phase:
            case members.Phase.HEAD | members.Phase.BODY if (
                end.reason != account.CONNECTIONS_FULL
            ):
                response = (
                    fixed_responses.TIMEOUT
                    if end.reason == account.BODY_STALLED
                    else self.flags.no_room_response
                )
                self.respond_and_close(response, end.reason)
            case _:
                self.abort(end.reason)
        return attempt_id

    def _record(self, input_bytes: int = 0) -> None:
        member = self._member
        if member is None or member.is_ended:
            return
        phase = self._find_phase()
        if phase is not member.phase:
            member.enter(phase, clock.read_boottime())
            if phase is members.Phase.BODY:
                member.timeout_s = self.limits.body_timeout_s
                self.flags.intake.watch()
        elif input_bytes and phase is members.Phase.BODY:
            member.record_input(input_bytes, clock.read_boottime())
        held_bytes = (
            self._request_bytes
            + self._queued_bytes
            + self._response_bytes
            + len(self._ahead)
            + self.transport.get_write_buffer_size()
        )
        if abs(held_bytes - self._recorded_bytes) < MIN_CHANGE_BYTES:
            return
        self._recorded_bytes = held_bytes
        self.flags.intake.hold(member, held_bytes, self._find_missing())

    def _find_phase(self) -> members.Phase:
        if self.flow.write_paused:
            return members.Phase.UNREAD
        if self.is_idle:
            return members.Phase.HEAD if self._in_head else members.Phase.IDLE
        if self.in_body and self.is_unanswered:
            return members.Phase.BODY
        return members.Phase.BUSY

    def _find_missing(self) -> int:
        """Returns what is missing of the present request, or may be."""
        if self._in_head:
            return UNKNOWN_HEAD_BYTES
        if not self.in_body:
            return 0
        if self._missing_bytes is None:
            return UNKNOWN_BODY_BYTES
        return self._missing_bytes
