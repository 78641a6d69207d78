"""Runs all checks (`python3 check.py`) or some (`python3 check.py lint types`).

Needs Python 3.11 only: it makes a virtual environment and installs what the
checks need.
"""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent
ENVIRONMENT = ROOT / ".venv"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Number of failed scenarios that the check of the tests may pass over. Entries
# of checks that are run by hand do not count.
MAX_KNOWN_RED = 3


def set_up(checks: list[str]) -> None:
    """Installs all packages in a virtual environment and re-executes there."""
    python = ENVIRONMENT / "bin" / "python"
    if not python.exists():
        subprocess.run([sys.executable, "-m", "venv", ENVIRONMENT], check=True)
    subprocess.run(
        [python, "-m", "pip", "install", "--quiet", "--no-input"]
        + ["--disable-pip-version-check", "-e"]
        + [f"{ROOT}[daemon,bench,test]"],
        check=True,
    )
    os.execv(python, [str(python), __file__, "--installed", *checks])


def run_tool(*arguments: str) -> bool:
    """Runs a tool of the environment; returns whether it succeeded."""
    print("::", *arguments, flush=True)  # noqa: T201
    command = [sys.executable, "-m", *arguments]
    return subprocess.run(command, cwd=ROOT, check=False).returncode == 0


def check_format() -> bool:
    """Checks the formatting."""
    return run_tool("ruff", "format", "--check", ".")


def check_lint() -> bool:
    """Checks style and naming."""
    return run_tool("ruff", "check", ".")


def check_types() -> bool:
    """Checks the types."""
    return run_tool("mypy")


def read_known_red() -> set[str]:
    """Returns the scenarios that are known to fail because of a real fault."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split("|")[0].strip() for line in lines if line.strip()}


def may_pass(failed: list[str], known: set[str]) -> bool:
    """Returns whether the tests may pass although some scenarios failed.

    Args:
        failed: Names of the failed scenarios.
        known: Names in the list of known failures.
    """
    return set(failed) <= known and len(failed) <= MAX_KNOWN_RED


def check_tests() -> bool:
    """Runs the scenarios and prints how many passed and failed."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        run_tool(
            *("behave", "--format", "json", "--outfile", str(report)),
            *("--format", "progress3", "tests"),
        )
        text = report.read_text(encoding="utf-8") if report.exists() else ""
    features = json.loads(text) if text else []
    passed, failed = [], []
    for feature in features:
        for scenario in feature.get("elements", []):
            if scenario["type"] == "background":
                continue
            is_passed = scenario.get("status") == "passed"
            (passed if is_passed else failed).append(scenario["name"].strip())
    known = read_known_red()
    for name in failed:
        note = " (known, see KNOWN-RED.txt)" if name in known else ""
        print(f"failed: {name}{note}", flush=True)  # noqa: T201
    print(  # noqa: T201
        f"scenarios: {len(passed)} passed, {len(failed)} failed", flush=True
    )
    return bool(passed) and may_pass(failed, known)


CHECKS = {
    "format": check_format,
    "lint": check_lint,
    "types": check_types,
    "tests": check_tests,
}


def run(names: list[str]) -> int:
    """Runs the named checks, or all, and returns the exit code."""
    unknown = [name for name in names if name not in CHECKS]
    if unknown:
        print(f"unknown: {unknown}; there are {list(CHECKS)}")  # noqa: T201
        return 2
    results = [CHECKS[name]() for name in names or CHECKS]
    return 0 if all(results) else 1


if __name__ == "__main__":
    given = sys.argv[1:]
    if "--installed" in given:
        given.remove("--installed")
        sys.exit(run(given))
    set_up(given)
