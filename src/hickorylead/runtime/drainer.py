"""Carries out a planned stop on the connections of an HTTP server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hickorylead.draining import (
    descriptions,
    drain as drain_module,
    owed as owed_module,
)
from hickorylead.runtime import clock

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from hickorylead import notes
    from hickorylead.runtime import http_connection, server as server_module

POLL_S = 0.02
# Reason code of connections that a planned stop ends.
STOPPING = "stopping"
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"content-type: application/json\r\ncontent-length: 20\r\n"
    b"retry-after: 0.1\r\nconnection: close\r\n\r\n"
    b'{"error":"stopping"}'
)


def refuse(
    server: server_module.HttpServer,
    owed: owed_module.Owed,
    write_log: Callable[[notes.Note], None],
    response: bytes = REFUSAL,
) -> None:
    """Refuses a request whose response has not begun."""
    connection = server.find_connection(owed)
    if connection is not None:
        refuse_connection(connection, owed, write_log, response)


def refuse_connection(
    connection: http_connection.HttpConnection,
    owed: owed_module.Owed,
    write_log: Callable[[notes.Note], None],
    response: bytes = REFUSAL,
) -> None:
    """Refuses what a connection owes; its response has not begun."""
    write_log(descriptions.describe_refusal(owed, clock.read_boottime()))
    connection.respond_and_close(response, STOPPING)


class Drainer:
    """Drains one HTTP server until nothing is owed or the time is over."""

    def __init__(
        self,
        server: server_module.HttpServer,
        drain: drain_module.Drain,
        *,
        end: Callable[[owed_module.Owed], None] | None = None,
        count_others: Callable[[], int] = lambda: 0,
        end_others: Callable[[], None] = lambda: None,
        refuse_head: Callable[[owed_module.Owed], None] | None = None,
        write_log: Callable[[notes.Note], None],
    ) -> None:
        """Makes a drainer.

        Args:
            server: The server.
            drain: Decides what is done when.
            end: Ends a request that cannot be finished, with a log line. By
                default it is refused, or aborted if its response has begun.
            count_others: Returns the number of exchanges in progress for
                other nodes.
            end_others: Ends these.
            refuse_head: Refuses a request whose head is incomplete when no
                connection is kept open any more; by default the rest of the
                head is awaited.
            write_log: Called with log lines.
        """
        self._server = server
        self._drain = drain
        self._end = end
        self._count_others = count_others
        self._end_others = end_others
        self._refuse_head = refuse_head
        self._write_log = write_log

    async def run(self) -> None:
        """Returns when the process may end."""
        self._server.announce_close()
        while not self._step(clock.read_boottime()):
            await asyncio.sleep(POLL_S)

    def _step(self, now: float) -> bool:
        owed = self._server.list_owed()
        is_finished = False
        for decision in self._drain.decide(owed, self._count_others(), now):
            is_finished |= isinstance(decision, drain_module.Finished)
            try:
                self._carry_out(decision, owed, now)
            except Exception as error:  # noqa: BLE001 - logged; concerns one
                self._write_log(
                    descriptions.describe_failure(decision, error, now)
                )
        return is_finished

    def _carry_out(
        self,
        decision: drain_module.Decision,
        owed: Sequence[owed_module.Owed],
        now: float,
    ) -> None:
        match decision:
            case drain_module.StopListening():
                self._server.stop_listening()
            case drain_module.CloseKept():
                self._server.close_kept()
                self._refuse_heads(owed)
            case drain_module.End(item):
                if self._end is not None:
                    self._end(item)
                elif item.phase is owed_module.Phase.RESPONDING:
                    self._abort(item, now)
                else:
                    refuse(self._server, item, self._write_log)
            case drain_module.Abort(item):
                self._abort(item, now)
            case drain_module.EndOthers():
                self._end_others()
            case drain_module.Finished():
                self._write_log(
                    descriptions.describe_drained(
                        owed, self._drain.stopped_at, now
                    )
                )

    def _refuse_heads(self, owed: Sequence[owed_module.Owed]) -> None:
        if self._refuse_head is not None:
            for item in owed:
                if item.phase is owed_module.Phase.HEAD:
                    self._refuse_head(item)

    def _abort(self, owed: owed_module.Owed, now: float) -> None:
        connection = self._server.find_connection(owed)
        if connection is not None:
            self._write_log(descriptions.describe_abort(owed, now))
            connection.abort(STOPPING)
