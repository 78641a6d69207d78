"""Writes decisions to standard output: JSON lines, bounded, non-blocking."""

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

# Maximum number of bytes written in a second. Near the limit, lines of lower
# levels are dropped first, beginning with the lines about answered requests. A
# gateway writes some 500 bytes for each request.
BYTES_PER_S = 64 * 1024
# Share of BYTES_PER_S for each level: lines of a level are dropped once more
# bytes than its share were written in the same second.
_SHARES = {"debug": 0.3, "info": 0.7, "warning": 0.9, "error": 1.0}
# Maximum number of lines buffered while the reader of standard output is slow.
MAX_BUFFERED_LINES = 2000


class DecisionLog:
    """Writes notes; a reader that stops reading does not block the process."""

    def __init__(
        self,
        *,
        common: dict[str, str],
        clock: Callable[[], float],
        read_wall_time: Callable[[], float],
        level: str = "debug",
        descriptor: int | None = None,
    ) -> None:
        """Makes a log.

        Args:
            common: Fields of every line.
            clock: Returns the current time, for the budget.
            read_wall_time: Returns the wall-clock time in Unix seconds, for the
                lines.
            level: Lowest level that is written.
            descriptor: File descriptor to write to; by default that of standard
                output.
        """
        self._common = common
        self._clock = clock
        self._read_wall_time = read_wall_time
        self._min_level = list(_SHARES).index(level)
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self._buffer: collections.deque[bytes] = collections.deque()
        self._window_started_at = 0.0
        self._written_bytes = 0
        self._dropped_lines = 0
        self.metrics = decision_metrics.DecisionMetrics()
        os.set_blocking(self._descriptor, False)

    def write(self, note: notes.Note) -> None:
        """Writes a note, or drops and counts it if a limit is reached."""
        self.metrics.record(note)
        if list(_SHARES).index(note.level) < self._min_level:
            return
        if self._has_room(note.level):
            self._enqueue(self._format(note))

    def warn(self, message: str, **fields: Any) -> None:
        """Writes a line about a handled failure, or drops and counts it."""
        if self._has_room("warning"):
            line = {"event": message.replace(" ", "_"), **fields}
            self._enqueue(self._encode({"level": "warning", **line}))

    def flush(self) -> None:
        """Writes the buffered lines until the descriptor would block."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nothing reads the output any more, so there is no place left
                # to report the failure.
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def _has_room(self, level: str) -> bool:
        """Returns whether a line may be written; otherwise it is counted."""
        now = self._clock()
        if now - self._window_started_at >= 1.0:
            self._start_window(now)
        if self._written_bytes > BYTES_PER_S * _SHARES[level] or (
            len(self._buffer) >= MAX_BUFFERED_LINES
        ):
            self._dropped_lines += 1
            return False
        return True

    def _start_window(self, now: float) -> None:
        dropped, self._dropped_lines = self._dropped_lines, 0
        self._window_started_at, self._written_bytes = now, 0
        if dropped:
            self._enqueue(
                self._encode(
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
        return self._encode(line)

    def _encode(self, line: dict[str, Any]) -> bytes:
        stamped = {
            "time": round(self._read_wall_time(), 4),
            **self._common,
            **line,
        }
        return orjson.dumps(stamped, default=str) + b"\n"

    def _enqueue(self, line: bytes) -> None:
        self._written_bytes += len(line)
        self._buffer.append(line)
        self.flush()
