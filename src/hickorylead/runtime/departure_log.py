"""Writes departures of servers to the disk, several in one sync."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hickorylead import errors, notes
from hickorylead.fleet import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.runtime import saved_departures

# Shortest time between two syncs, in seconds. A sync blocks the event loop, for
# 2 ms on an ordinary disk; a release drains hundreds of servers at once.
MIN_SYNC_INTERVAL_S = 0.02


class DepartureLog:
    """Departures that wait for the next sync."""

    def __init__(
        self,
        saved: saved_departures.SavedDepartures,
        *,
        deliver: Callable[[events.DeparturesSaved], None],
        write_log: Callable[[notes.Note], None],
    ) -> None:
        """Initializes the state without waiting departures.

        Args:
            saved: The file.
            deliver: Called with each outcome.
            write_log: Called with log lines.
        """
        self._saved = saved
        self._deliver = deliver
        self._write_log = write_log
        self._waiting: list[events.SaveDepartures] = []
        self._next_sync = 0.0

    def add(self, effect: events.SaveDepartures) -> None:
        """Adds departures to the next sync."""
        self._waiting.append(effect)
        if len(self._waiting) == 1:
            loop = asyncio.get_running_loop()
            loop.call_at(max(loop.time(), self._next_sync), self._sync)

    def close(self) -> None:
        """Closes the file."""
        self._saved.close()

    def _sync(self) -> None:
        waiting, self._waiting = self._waiting, []
        servers = [server for effect in waiting for server in effect.servers]
        is_saved = True
        try:
            self._saved.append(servers)
        except (OSError, errors.DataFolderError) as error:
            is_saved = False
            self._write_log(
                notes.note(
                    "departures_not_saved",
                    level="error",
                    servers=[server.name for server in servers],
                    why=str(error),
                )
            )
        self._next_sync = (
            asyncio.get_running_loop().time() + MIN_SYNC_INTERVAL_S
        )
        for effect in waiting:
            self._deliver(events.DeparturesSaved(effect, is_saved))
