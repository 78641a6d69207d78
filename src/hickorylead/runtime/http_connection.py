"""Server side of an HTTP connection that knows what it owes to its caller."""

from __future__ import annotations

import itertools
from typing import Any

from uvicorn.protocols.http import httptools_impl

from hickorylead.draining import owed as owed_module
from hickorylead.runtime import clock

# Key of a request's connection in the extensions of its ASGI scope.
CONNECTION_KEY = "hickorylead.connection"

_numbers = itertools.count(1)


class HttpConnection(httptools_impl.HttpToolsProtocol):
    """A connection whose state can be observed and that can be ended."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Makes the protocol of one connection."""
        super().__init__(*args, **kwargs)
        self.number = next(_numbers)
        # Set by the application once it has decoded the head.
        self.request_id = ""
        self.attempt_id = ""
        self._in_head = False
        self._began_at = 0.0
        # The request that is being handled; `cycle` is the latest one whose
        # head is complete, which may be queued behind it.
        self._current: httptools_impl.RequestResponseCycle | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
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

    def on_headers_complete(self) -> None:
        """Handles the end of a head."""
        self._in_head = False
        super().on_headers_complete()

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: Any
    ) -> None:
        self._current = cycle
        self.request_id = self.attempt_id = ""
        cycle.scope["extensions"] = {CONNECTION_KEY: {"protocol": self}}
        super()._start_asgi_task(cycle, app)

    @property
    def is_idle(self) -> bool:
        """Whether each complete head has its complete response."""
        return self._current is None or self._current.response_complete

    def can_write(self) -> bool:
        """Returns whether data can be sent now without waiting."""
        return not self.flow.write_paused

    def describe_unfinished(self) -> owed_module.Owed | None:
        """Returns the request that ends if the connection is lost now."""
        current = self._current
        if current is not None and not current.response_complete:
            if current.response_started:
                phase = owed_module.Phase.RESPONDING
            elif current.more_body:
                phase = owed_module.Phase.BODY
            else:
                phase = owed_module.Phase.WAITING
            return self._describe(phase)
        if self._in_head:
            return self._describe(owed_module.Phase.HEAD)
        return None

    def describe_owed(self) -> owed_module.Owed | None:
        """Returns what the connection owes; None if it owes nothing."""
        if not self.transport.is_closing():
            unfinished = self.describe_unfinished()
            if unfinished is not None:
                return unfinished
        if self.transport.get_write_buffer_size():
            return self._describe(owed_module.Phase.FLUSHING)
        return None

    def _describe(self, phase: owed_module.Phase) -> owed_module.Owed:
        is_head = phase is owed_module.Phase.HEAD
        return owed_module.Owed(
            self.number,
            phase,
            self._began_at,
            "" if is_head else self.request_id,
            "" if is_head else self.attempt_id,
            len(self.pipeline),
        )


def find_connection(scope: Any) -> HttpConnection | None:
    """Returns the connection of a request, by its ASGI scope."""
    extensions = scope.get("extensions") or {}
    extension = extensions.get(CONNECTION_KEY) or {}
    connection: HttpConnection | None = extension.get("protocol")
    return connection
