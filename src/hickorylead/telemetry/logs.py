"""Writes logs as JSON lines to standard error."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead import notes

LEVELS = ("debug", "info", "warning", "error")


class JsonHandler(logbook.StreamHandler):
    """Writes each record as one JSON object."""

    def __init__(self, level: str, common: dict[str, str]) -> None:
        """Makes a handler.

        Args:
            level: Lowest level that is written.
            common: Fields of every line: role, zone, VM.
        """
        super().__init__(sys.stderr, level=level.upper())
        self._common = common

    def format(self, record: logbook.LogRecord) -> str:
        """Returns a record as a line of JSON."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            **self._common,
            "message": record.message,
            **record.extra,
        }
        if record.formatted_exception:
            line["exception"] = record.formatted_exception
        return json.dumps(line, default=str)


class Log:
    """Writes log lines, each with the configuration version if it is known."""

    def __init__(self, get_version: Callable[[], int] | None = None) -> None:
        """Makes a log.

        Args:
            get_version: Returns the configuration version that this process
                uses now. By default the lines have none.
        """
        self._logger = logbook.Logger("hickorylead")
        self._get_version = get_version

    def info(self, message: str, **fields: Any) -> None:
        """Writes a line about normal operation."""
        self._logger.info(message, extra=self._add_version(fields))

    def warn(self, message: str, **fields: Any) -> None:
        """Writes a line about a failure that was handled."""
        self._logger.warning(message, extra=self._add_version(fields))

    def error(self, message: str, **fields: Any) -> None:
        """Writes a line about an error."""
        self._logger.error(message, extra=self._add_version(fields))

    def write(self, note: notes.Note) -> None:
        """Writes a note as a line."""
        write = self.warn if note.level == "warning" else self.info
        fields = {"request_id": note.request_id} if note.request_id else {}
        write(note.event, **fields, **note.fields)

    def _add_version(self, fields: dict[str, Any]) -> dict[str, Any]:
        if self._get_version is None:
            return fields
        return {"version": self._get_version(), **fields}


def start_logs(level: str, *, role: str, zone: str, vm: str) -> None:
    """Writes all log lines of this process to standard error."""
    common = {"role": role, "zone": zone, "vm": vm}
    JsonHandler(level, common).push_application()
