"""Server side of an HTTP connection, and how it ends."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any, cast

from hickorylead.draining import owed as owed_module
from hickorylead.intake import usage as usage_module
from hickorylead.runtime import (
    clock,
    connection_flags,
    fixed_responses,
    http_state,
    intake,
)

if TYPE_CHECKING:
    from uvicorn.protocols.http import httptools_impl

# Key of a request's connection in the extensions of its ASGI scope.
CONNECTION_KEY = "hickorylead.connection"

# Time for which a connection reads on after the response to a request that was
# not read completely, in seconds; it begins when the response has been sent.
# Closing a socket with unread bytes resets the connection, and the caller may
# lose the response.
LINGER_S = 1.0


class _ResponseTransport:
    """The part of a transport that the response to one request uses."""

    def __init__(self, connection: HttpConnection) -> None:
        self.write = connection.transport.write
        self.is_closing = connection.transport.is_closing
        self.close = connection.close_after_response


class HttpConnection(http_state.HttpState):
    """A connection that can be ended with what it owes."""

    flags: connection_flags.ConnectionFlags = connection_flags.ConnectionFlags()

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Makes the protocol of one connection."""
        super().__init__(*args, **kwargs)
        # Whether the head of the present response announces the end.
        self._has_announced_close = False
        # Why this process closed the connection within a request.
        self.close_reason = ""

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        current = self._current
        if current is not None and current is not self.cycle:
            current.disconnected = not current.response_complete
            current.message_event.set()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Handles the first byte of a request."""
        self._in_head = True
        if self.is_idle:
            self._began_at = clock.read_boottime()
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header; trailers, which follow the body, are dropped."""
        if not self._is_latest_open:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Handles the end of a head."""
        self._in_head = False
        super().on_headers_complete()
        current = self._current
        if (
            self.pipeline
            and current is not None
            and current.response_started
            and not self._has_announced_close
        ):
            # Its caller could not know that the connection was about to end.
            current.keep_alive = True

    def on_response_complete(self) -> None:
        """Continues with the next request, or closes the connection."""
        if self._linger_timer is not None:
            return
        self._release_request()
        if self.in_body:
            # The rest of the request would only be read to be thrown away.
            self._linger("unread_body")
        else:
            super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Rejects a malformed request."""
        body = msg.encode("ascii")
        self.reject_input(
            b"HTTP/1.1 400 Bad Request\r\n"
            b"content-type: text/plain; charset=utf-8\r\n"
            b"content-length: %d\r\nconnection: close\r\n\r\n%b"
            % (len(body), body),
            intake.MALFORMED,
        )

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: Any
    ) -> None:
        self._current = cycle
        self._has_announced_close = False
        self.request_id = self.attempt_id = ""
        cycle.transport = cast("asyncio.Transport", _ResponseTransport(self))
        cycle.scope["extensions"] = {CONNECTION_KEY: {"protocol": self}}
        super()._start_asgi_task(
            cycle, functools.partial(self._run_handler, cycle, app)
        )

    async def _run_handler(
        self,
        cycle: httptools_impl.RequestResponseCycle,
        app: Any,
        scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        """Runs the application; the HTTP server sends nothing by itself."""

        async def send_message(message: Any) -> None:
            if message["type"] == "http.response.start":
                self._announce_close(cycle, message)
            await send(message)

        try:
            await app(scope, receive, send_message)
        except (Exception, asyncio.CancelledError) as error:
            owed = self.describe_unfinished() or self.describe(
                owed_module.Phase.FLUSHING
            )
            self.flags.report_failure(owed, error)
            if isinstance(error, Exception) and not cycle.response_started:
                self.respond_and_close(
                    fixed_responses.INTERNAL_ERROR, "handler_failed"
                )
        if not cycle.response_complete and not cycle.disconnected:
            # The caller sees that the response is incomplete.
            cycle.disconnected = True
            self.transport.close()

    # Ends.

    def _announce_close(
        self, cycle: httptools_impl.RequestResponseCycle, message: Any
    ) -> None:
        """Announces the end of the connection, where it is known.

        A connection is not kept behind a body that is not read, nor by a
        process that is stopping, unless requests are queued.

        Args:
            cycle: The request.
            message: The head of its response, which is sent next.
        """
        if self.in_body or (
            self.flags.closes_after_response and not self.pipeline
        ):
            cycle.keep_alive = False
        closes = any(
            name.lower() == b"connection" and b"close" in value.lower()
            for name, value in message.get("headers", ())
        )
        self._has_announced_close = closes or not cycle.keep_alive

    def close_when_done(self) -> None:
        """Closes an idle connection, and a busy one after its response.

        A complete request that is queued behind this response is handled
        first, unless the head of the response has announced the end.
        """
        if self._linger_timer is not None:
            return
        if self.is_idle:
            if not self._in_head:
                self.transport.close()
        elif (
            not self.pipeline
            and self._current is not None
            and self._current.response_started
        ):
            # Other responses announce the end in their heads.
            self._current.keep_alive = False

    def close_after_response(self) -> None:
        """Closes the connection once all that was written has been sent."""
        if self.in_body:
            self._linger("unread_body")
        elif (
            self.pipeline
            or self._in_head
            or self._ahead
            or self.flow.read_paused
        ):
            self._linger("queued_dropped")
        elif self._ignores_input:
            self._linger("rejected_input")
        else:
            self.transport.close()

    def wake_reader(self) -> None:
        """Makes a handler that waits for more of a body continue."""
        if self._current is not None:
            self._current.message_event.set()

    def report_rejection(self, reason: str) -> None:
        """Reports input that is rejected; a reason is a stable code."""
        phase = (
            usage_module.Phase.BODY if self.in_body else usage_module.Phase.HEAD
        )
        self.flags.intake.report_rejection(
            self.number, phase, reason, self.attempt_id if self.in_body else ""
        )

    def reject_long_head(self) -> None:
        """Rejects a head, or the framing of a body, that is too long."""
        self.reject_input(fixed_responses.HEAD_TOO_LONG, intake.HEAD_TOO_LONG)

    def reject_input(self, response: bytes, reason: str) -> None:
        """Rejects what the caller sends, after the responses that are owed."""
        if self._ignores_input:
            return
        self.report_rejection(reason)
        current = self._current
        if current is None or current.response_complete:
            self.respond_and_close(response, reason)
            return
        is_current = self.cycle is current
        if self.in_body and not current.response_started:
            self.respond_and_close(response, reason)
            return
        self.drop_input()
        self._in_head = False
        if self._is_latest_open and not is_current:
            # Its body will never be complete.
            self.pipeline.popleft()
            self._is_latest_open = False
        latest = self.pipeline[0][0] if self.pipeline else current
        latest.keep_alive = False

    def respond_and_close(self, response: bytes, reason: str) -> None:
        """Sends a complete response to a request that is not read further.

        Args:
            response: Head and body, which announce the end of the connection.
            reason: Stable code for logs.
        """
        if self.transport.is_closing() or self._linger_timer is not None:
            return
        current = self._current
        if current is not None and not current.response_complete:
            current.response_started = current.response_complete = True
            current.message_event.set()
            self._release_request()
        self.transport.write(response)
        self._linger(reason)

    def _release_request(self) -> None:
        """Frees what a request held whose response is complete.

        The connection may stay open for long, and keeps its last request.
        """
        if self._current is not None:
            self._current.scope["headers"] = []
            self._current.body = bytearray()
        if self._current is self.cycle:
            self.headers = []

    def _linger(self, reason: str) -> None:
        """Closes the connection once the caller has, or after a time."""
        if self.transport.is_closing() or self._linger_timer is not None:
            return
        self.close_reason = reason
        if self._in_head:
            self._in_head = False
            self.scope["headers"] = self.headers = []
        self._unset_keepalive_if_required()
        self.drop_input()
        try:
            self.transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self.transport.abort()
            return
        self._start_linger_timer()

    def _start_linger_timer(self) -> None:
        unsent = self.transport.get_write_buffer_size()
        self._linger_timer = self.loop.call_later(
            LINGER_S, self._end_linger, unsent
        )

    def _end_linger(self, unsent: int) -> None:
        """Closes the connection, unless its caller has bytes to take.

        Args:
            unsent: Bytes that waited when the time began.
        """
        if unsent or self.transport.get_write_buffer_size():
            self._start_linger_timer()
        else:
            self.transport.abort()

    def abort(self, reason: str) -> None:
        """Closes the connection at once; no response looks complete."""
        self.close_reason = reason
        self.transport.abort()


def find_connection(scope: Any) -> HttpConnection | None:
    """Returns the connection of a request, by its ASGI scope."""
    extensions = scope.get("extensions") or {}
    extension = extensions.get(CONNECTION_KEY) or {}
    connection: HttpConnection | None = extension.get("protocol")
    return connection
