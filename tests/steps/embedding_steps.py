"""Steps about the use of the reducers as a library."""

from __future__ import annotations

import pathlib
import subprocess
import sys

from behave import then

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FORBIDDEN = (
    *("aiohttp", "starlette", "uvicorn", "capnp", "defopt", "logbook"),
    *("aioprometheus", "orjson", "cattrs", "opentelemetry"),
)
PROGRAM = f"""
import sys
import hickorylead.roles.entry, hickorylead.roles.control
found = [name for name in {FORBIDDEN!r} if name in sys.modules]
sys.exit(f"imported: {{found}}" if found else 0)
"""


def run_python(*arguments):
    return subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@then(
    "the example of docs/how-to/embed.md is examples/embed.py, has at most"
    " {count:d} lines, and runs"
)
def _(_, count):
    page = (ROOT / "docs/how-to/embed.md").read_text()
    code = page.split("```python\n")[1].split("```")[0]
    path = ROOT / "examples/embed.py"
    assert code == path.read_text()
    lines = [line for line in code.splitlines() if line.strip()]
    assert len(lines) <= count, len(lines)
    completed = run_python(str(path))
    assert completed.returncode == 0, completed.stderr
    assert "issues orders under number" in completed.stdout


@then("the reducers import without any other library")
def _(_):
    completed = run_python("-c", PROGRAM)
    assert completed.returncode == 0, completed.stderr
