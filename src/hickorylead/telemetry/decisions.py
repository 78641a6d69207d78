"""Decisions as JSON lines on standard output, bounded and never blocking."""

from __future__ import annotations

import collections
import os
import sys
from typing import TYPE_CHECKING, Any

import orjson

from hickorylead.telemetry import decision_metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead import notes

# Most bytes written in a second; beyond it, lines of lower levels give way:
# answered requests first. A gateway writes some 500 bytes for each request.
BYTES_PER_S = 64 * 1024
# Share of that budget which lines of a level may use up.
_SHARES = {"debug": 0.3, "info": 0.7, "warning": 0.9, "error": 1.0}
# Lines kept while the reader of standard output is slow.
MAX_WAITING = 2000


class DecisionLog:
    """Writes notes; a reader that stops cannot stop the process."""

    def __init__(
        self,
        *,
        common: dict[str, str],
        clock: Callable[[], float],
        wall: Callable[[], float],
        level: str = "debug",
        descriptor: int | None = None,
    ) -> None:
        """Makes a log.

        Args:
            common: Fields of every line.
            clock: Returns the present time, for the budget.
            wall: Returns Unix seconds, for the lines.
            level: Least level written.
            descriptor: File to write to; by default standard output.
        """
        self._common = common
        self._clock = clock
        self._wall = wall
        self._least = list(_SHARES).index(level)
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self._waiting: collections.deque[bytes] = collections.deque()
        self._window = 0.0
        self._written = 0
        self._dropped = 0
        self.metrics = decision_metrics.DecisionMetrics()
        os.set_blocking(self._descriptor, False)

    def write(self, note: notes.Note) -> None:
        """Writes a note, or counts it as dropped if there are too many."""
        self.metrics.count(note)
        if list(_SHARES).index(note.level) < self._least:
            return
        now = self._clock()
        if now - self._window >= 1.0:
            self._open_window(now)
        if self._written > BYTES_PER_S * _SHARES[note.level] or (
            len(self._waiting) >= MAX_WAITING
        ):
            self._dropped += 1
            return
        self._put(self._format(note))

    def warn(self, message: str, **fields: Any) -> None:
        """Writes a line about trouble between processes that was handled."""
        line = {"event": message.replace(" ", "_"), **fields}
        self._put(self._dump({"level": "warning", **line}))

    def flush(self) -> None:
        """Writes what waits, as far as the reader takes it."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place left to say so.
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()

    def _open_window(self, now: float) -> None:
        dropped, self._dropped = self._dropped, 0
        self._window, self._written = now, 0
        if dropped:
            self._put(
                self._dump(
                    {
                        "level": "warning",
                        "event": "lines_dropped",
                        "count": dropped,
                    }
                )
            )

    def _format(self, note: notes.Note) -> bytes:
        line: dict[str, Any] = {"level": note.level, "event": note.event}
        if note.request_id:
            line["request_id"] = note.request_id
        line.update(note.fields)
        return self._dump(line)

    def _dump(self, line: dict[str, Any]) -> bytes:
        stamped = {"time": round(self._wall(), 4), **self._common, **line}
        return orjson.dumps(stamped, default=str) + b"\n"

    def _put(self, line: bytes) -> None:
        self._written += len(line)
        self._waiting.append(line)
        self.flush()
