"""Steps about log records of libraries and of the interpreter."""

from __future__ import annotations

import json
import logging
import os
import pathlib
import subprocess
import sys
import tempfile

from behave import then, when

from hickorylead.telemetry import decisions, library_log

SOURCE = pathlib.Path(library_log.__file__).parents[2]
STARTS = {
    "platform": """
from hickorylead.runtime import clock
from hickorylead.telemetry import decisions, library_log
library_log.install(
    decisions.DecisionLog(
        common={"role": "gateway"},
        clock=clock.read_boottime,
        read_wall_time=clock.read_wall,
    )
)
""",
    "other": """
from hickorylead.telemetry import library_log, logs
logs.start_logs("info", role="entry", zone="z1", vm="v1")
library_log.install(logs.Log())
""",
}
FAULTS = {
    "raises an exception": "raise ValueError('x')",
    "raises an exception in a thread": """
import threading
def fail():
    raise ValueError("x")
thread = threading.Thread(target=fail)
thread.start()
thread.join()
""",
    "raises an exception in a destructor": """
class Failing:
    def __del__(self):
        raise ValueError("x")
Failing()
""",
    "never awaits a coroutine": """
async def wait():
    pass
wait()
""",
    "has a library log an exception": """
import logging
try:
    raise ValueError("x")
except ValueError:
    logging.getLogger("library").exception("failed")
""",
}


class Recorder:
    """A log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def warn(self, message, **fields):
        """Records a line."""
        self.lines.append({"event": message, **fields})


def emit(level, text, *args, error=None):
    """Returns the lines that the handler writes about one record."""
    recorder = Recorder()
    logger = logging.Logger("library")
    logger.addHandler(library_log.LibraryHandler(recorder))
    logger.log(level, text, *args, exc_info=error)
    return recorder.lines


@then("a warning of a library is one line with its logger and text")
def _(_):
    (line,) = emit(logging.WARNING, "lost %s", "all")
    assert line == {
        "event": "library_log",
        "logger": "library",
        "severity": "warning",
        "text": "lost all",
        "place": "",
    }, line


@then("an error of a library is one line with the place of its exception")
def _(_):
    try:
        raise ValueError("x")
    except ValueError as error:
        (line,) = emit(logging.ERROR, "failed", error=error)
    assert line["severity"] == "error", line
    assert "library_log_steps.py" in line["place"], line
    assert "ValueError: x" in line["place"], line


@then("a record whose arguments do not fit its text is one line")
def _(_):
    (line,) = emit(logging.WARNING, "lost %d", "all")
    assert "lost %d" in line["text"], line
    assert "all" in line["text"], line


@then("a record below a warning is no line")
def _(_):
    assert emit(logging.INFO, "started") == []


@when("a program with the log of {kind} processes {fault}")
def _(context, kind, fault):
    context.ended = subprocess.run(
        [sys.executable, "-c", STARTS[kind] + FAULTS[fault]],
        capture_output=True,
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        timeout=60,
        check=False,
    )


@then('its output has only JSON lines, one of which is "{event}" with "{text}"')
def _(context, event, text):
    output = context.ended.stdout + context.ended.stderr
    lines = [json.loads(line) for line in output.splitlines()]
    named = [
        line
        for line in lines
        if event in (line.get("event"), line.get("message"))
    ]
    (line,) = named
    assert text in json.dumps(line), line


@then(
    "{count:d} warnings in a second take less than {size:d} KB, and the next"
    " line counts the others"
)
def _(_, count, size):
    now = [100.0]
    with tempfile.TemporaryFile() as output:
        log = decisions.DecisionLog(
            common={},
            clock=lambda: now[0],
            read_wall_time=lambda: now[0],
            descriptor=output.fileno(),
        )
        for number in range(count):
            log.warn("input_malformed", number=number)
        now[0] += 1.0
        log.warn("input_malformed", number=count)
        output.seek(0)
        lines = output.read().splitlines()
    assert sum(map(len, lines)) < 1000 * size, len(lines)
    dropped = json.loads(lines[-2])
    assert dropped["event"] == "lines_dropped", dropped
    assert dropped["count"] + len(lines) - 2 == count, (dropped, len(lines))
