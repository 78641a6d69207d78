"""Gives each request an id, and refuses requests while the process stops."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hickorylead.runtime import drainer, http_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead import notes

# Key of a request's id in its ASGI scope.
CALL_ID_KEY = "hickorylead.call_id"


class StopGate:
    """An ASGI application that refuses requests once it is stopped.

    Requests whose head arrived before are handled to their end.
    """

    def __init__(
        self,
        app: Any,
        make_id: Callable[[], str],
        write_log: Callable[[notes.Note], None],
        refusal: bytes = drainer.REFUSAL,
    ) -> None:
        """Wraps an application.

        Args:
            app: The ASGI application.
            make_id: Returns an id for a new request.
            write_log: Called with log lines.
            refusal: Complete response to refused requests, which announces
                the end of the connection.
        """
        self._app = app
        self._make_id = make_id
        self._write_log = write_log
        self._refusal = refusal
        self._is_stopping = False

    def stop(self) -> None:
        """Refuses each request that begins from now on."""
        self._is_stopping = True

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handles one request."""
        connection = http_connection.find_connection(scope)
        if connection is None:
            await self._app(scope, receive, send)
            return
        connection.request_id = scope[CALL_ID_KEY] = self._make_id()
        owed = connection.describe_unfinished()
        if self._is_stopping and owed is not None:
            drainer.refuse_connection(
                connection, owed, self._write_log, self._refusal
            )
            return

        async def send_if_owed(message: Any) -> None:
            # A stop may have refused the request while its handler waited.
            if not connection.is_idle:
                await send(message)

        await self._app(scope, receive, send_if_owed)
