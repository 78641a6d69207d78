"""Log records of libraries and of the interpreter as lines of our own log."""

from __future__ import annotations

import logging
import sys
import threading
import traceback
from typing import Any, Protocol

# Number of stack frames that a line names, the innermost ones.
MAX_FRAMES = 4


class WarningLog(Protocol):
    """Log for problems that were handled."""

    def warn(self, message: str, **fields: Any) -> None:
        """Writes a log line."""


def describe_place(error: BaseException) -> str:
    """Returns where an error was raised."""
    return "".join(traceback.format_exception(error, limit=-MAX_FRAMES))


class LibraryHandler(logging.Handler):
    """Writes each record of a library as one line."""

    def __init__(self, log: WarningLog) -> None:
        """Makes a handler for warnings and errors.

        Args:
            log: Log to which lines are written.
        """
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record."""
        try:
            text = record.getMessage()
        except Exception:  # noqa: BLE001 - arguments that don't fit the text
            text = f"{record.msg!r} {record.args!r}"
        error = record.exc_info[1] if record.exc_info else None
        self._log.warn(
            "library_log",
            logger=record.name,
            severity=record.levelname.lower(),
            text=text,
            place=describe_place(error) if error is not None else "",
        )


def install(log: WarningLog) -> None:
    """Writes what libraries and the interpreter report as lines of a log.

    Args:
        log: Log of this process.
    """
    logging.basicConfig(
        handlers=[LibraryHandler(log)], level=logging.WARNING, force=True
    )
    logging.captureWarnings(True)
    sys.excepthook = lambda _, error, __: _report_uncaught(log, error, "")
    sys.unraisablehook = lambda report: _report_unraisable(log, report)
    threading.excepthook = lambda report: _report_uncaught(
        log, report.exc_value, report.thread.name if report.thread else ""
    )


def _report_uncaught(
    log: WarningLog, error: BaseException | None, thread: str
) -> None:
    """Reports an exception that ends the program, or one of its threads."""
    log.warn(
        "exception_uncaught",
        thread=thread,
        why=repr(error),
        place=describe_place(error) if error is not None else "",
    )


def _report_unraisable(log: WarningLog, report: sys.UnraisableHookArgs) -> None:
    """Reports an exception that nothing can handle, as in a destructor."""
    error = report.exc_value
    log.warn(
        "exception_unraisable",
        what=report.err_msg or "",
        of=repr(report.object),
        why=repr(error),
        place=describe_place(error) if error is not None else "",
    )
