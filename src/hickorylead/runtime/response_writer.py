"""Writes the response to one caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from hickorylead import notes
from hickorylead.forwarding import events
from hickorylead.runtime import http_connection

if TYPE_CHECKING:
    from collections.abc import Callable

# Size of the response waiting for a slow caller above which nothing more is
# read from its replica, in bytes; reading goes on at half of it. The second one
# applies while the memory for clients is nearly used up.
MAX_WAITING_BYTES = 1024 * 1024
MAX_WAITING_BYTES_WHEN_FULL = 64 * 1024


class ResponseWriter:
    """Writes the response to one caller, in the order of its effects.

    A chunk of a stream is written at once if the connection can take it. If
    each chunk passed through the task that waits for effects, it would need
    another iteration of the event loop: 2.2 for a chunk instead of 1.2.
    """

    def __init__(
        self,
        scope: Any,
        send: Any,
        write_log: Callable[[notes.Note], None],
        set_paused: Callable[[bool], None] = lambda _: None,
    ) -> None:
        """Makes the writer of a response that has not started yet.

        Args:
            scope: ASGI scope of its request.
            send: Sends an ASGI message.
            write_log: Called with log lines.
            set_paused: Called with whether to stop reading from the replica.
        """
        self._write_log = write_log
        self._set_paused = set_paused
        self._waiting_bytes = 0
        self._is_paused = False
        self.connection = http_connection.find_connection(scope)
        # The refusal of the request, once there is one.
        self.refusal: events.Refuse | None = None
        self._send = send
        self._effects: asyncio.Queue[events.Effect] = asyncio.Queue()
        # Whether the task still has an effect to send; later effects must not
        # overtake it.
        self._is_sending = False
        self.has_failed = False

    def write(self, effect: events.Effect) -> None:
        """Sends an effect to the caller, now or after the queued ones."""
        if self.has_failed:
            return
        if self._can_write_now() and isinstance(
            effect, events.StartResponse | events.WriteChunk
        ):
            self._write_now(effect)
            return
        self._effects.put_nowait(effect)
        if isinstance(effect, events.Refuse):
            self.refusal = effect
            if self.connection is not None and self.connection.in_body:
                self.connection.wake_reader()
        if isinstance(effect, events.WriteChunk):
            self._record_waiting(len(effect.data))
            if self._waiting_bytes > self._find_limit():
                # Also for a new attempt that goes on with the response.
                self._is_paused = True
                self._set_paused(True)
        elif (
            isinstance(effect, events.AbortResponse)
            and self.connection is not None
            and not self.connection.can_write()
        ):
            # The caller takes nothing, so the connection would wait for ever.
            self.connection.transport.abort()

    def _write_now(
        self, effect: events.StartResponse | events.WriteChunk
    ) -> None:
        """Sends an effect without waiting.

        An error concerns this caller alone. If it were raised here, the
        processing of the reducer's effects would be aborted, and other callers
        would miss their effects.
        """
        sending = self._send(make_message(effect))
        try:
            sending.send(None)
        except StopIteration:
            return
        except Exception as error:  # noqa: BLE001 - logged; ends the response
            why = repr(error)
        else:
            sending.close()
            why = "the connection could not send it at once"
        self.has_failed = True
        self._write_log(
            notes.Note(
                "answer_not_sent", effect.request_id, {"why": why}, "error"
            )
        )
        self._effects.put_nowait(events.AbortResponse(effect.request_id))

    async def run(self) -> events.Refuse | None:
        """Sends until the response ends; returns a refusal to be sent."""
        while True:
            effect = await self._effects.get()
            self._is_sending = True
            match effect:
                case events.StartResponse():
                    await self._send(make_message(effect))
                case events.WriteChunk(_, data):
                    await self._send(make_message(effect))
                    self._record_sent(len(data))
                case events.FinishResponse():
                    await self._send(make_body(b"", more=False))
                    return None
                case events.Refuse():
                    return effect
                case events.AbortResponse():
                    # Returning without the last chunk closes the connection,
                    # so that the response does not look complete.
                    return None
            self._is_sending = False

    def _record_sent(self, size: int) -> None:
        self._record_waiting(-size)
        if self._is_paused and self._waiting_bytes <= self._find_limit() / 2:
            self._is_paused = False
            self._set_paused(False)

    def _record_waiting(self, change: int) -> None:
        self._waiting_bytes += change
        if self.connection is not None:
            self.connection.record_response(self._waiting_bytes)

    def _find_limit(self) -> int:
        """Returns how much may wait for the caller, in bytes."""
        if self.connection is None or self.connection.has_capacity():
            return MAX_WAITING_BYTES
        return MAX_WAITING_BYTES_WHEN_FULL

    def _can_write_now(self) -> bool:
        return (
            self.connection is not None
            and not self._is_sending
            and self._effects.empty()
            and self.connection.can_write()
        )


def make_message(
    effect: events.StartResponse | events.WriteChunk,
) -> dict[str, Any]:
    """Returns the ASGI message that sends an effect."""
    match effect:
        case events.StartResponse(_, status, headers, length):
            fields = [*headers]
            if length is not None:
                fields.append((b"content-length", b"%d" % length))
            return {
                "type": "http.response.start",
                "status": status,
                "headers": fields,
            }
        case events.WriteChunk(_, data):
            return make_body(data, more=True)


def make_body(data: bytes, *, more: bool) -> dict[str, Any]:
    """Returns the ASGI message with a part of a body."""
    return {"type": "http.response.body", "body": data, "more_body": more}
