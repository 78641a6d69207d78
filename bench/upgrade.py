"""Runs processes of two builds together, as during a rolling upgrade.

    python bench/upgrade.py --other SOURCES [--seed N] [--slot N] [--keep PATH]

SOURCES is the `src` folder of the other build. Each scenario has callers, one
change of the configuration, one kill of a coordinator and one of a gateway, by
the same seeded schedule. In the scenarios on data folders, coordinators of one
build write them and coordinators of the other build start on them. The exit
code is 1 if an invariant broke, a version did not come into force, a process
reported an error or something that it could not read, or a request was lost
that the restart of its gateway does not explain.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
from collections.abc import Iterable
import contextlib
import hashlib
import pathlib
import random
import re
import shutil
import signal
import sys
import tempfile
import time
import traceback

import attrs
import orjson

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

from soak import callers, checker as checker_module, cluster, nodes

from hickorylead.platform import program

GAP_S = (4.0, 6.0)
DOWN_S = (1.0, 3.0)
POLL_S = 0.05
LIMIT_S = 20.0
# Events with which a process reports something that it could not decode. Lines
# of level error and lines that are no events, as of tracebacks, count as well.
MALFORMED = re.compile("bad_frame|bad_message|.*_unreadable")
# Title; builds (other, this) of three coordinators and three gateways; build of
# the coordinators that take over the data folders.
SCENARIOS = (
    ("coordinators other, gateways this", "ooottt", ""),
    ("coordinators this, gateways other", "tttooo", ""),
    ("all of this build", "tttttt", ""),
    ("data folders of other, then this", "ooottt", "t"),
    ("data folders of this, then other", "tttooo", "o"),
    ("both in each role", "ototot", ""),
)


@attrs.frozen
class Phase:
    """A time in which something was done; to one node if it names one."""

    name: str
    node: str
    began: float
    ended: float


class Fleet(cluster.Cluster):
    """The processes and callers of one scenario."""

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        slot: int,
        scenario: tuple[str, str, str],
        builds: dict[str, pathlib.Path],
    ) -> None:
        super().__init__(seed, folder, slot)
        self.title, letters, self._successor = scenario
        self._folder, self._builds = folder, builds
        placed = (*self.coordinators, *self.gateways)
        for node, letter in zip(placed, letters, strict=True):
            node.sources = builds[letter]
        self._phases: list[Phase] = []

    async def _inject_faults(
        self, seconds: float, operator: callers.Operator
    ) -> None:
        rng = random.Random(f"upgrade {self.seed}")
        coordinator = rng.choice(self.coordinators)
        gateway = rng.choice(self.gateways)
        steps = ["change", "coordinator", "gateway"]
        rng.shuffle(steps)
        if self._successor:
            steps = ["change", "successor", "change", "gateway"]
        for step in steps:
            await asyncio.sleep(rng.uniform(*GAP_S))
            match step:
                case "change":
                    await self._change(operator)
                case "successor":
                    await self._replace_coordinators(operator)
                case "coordinator":
                    await self._kill(coordinator, rng.uniform(*DOWN_S))
                case "gateway":
                    await self._kill(gateway, rng.uniform(*DOWN_S))
        await asyncio.sleep(rng.uniform(*GAP_S))

    async def _change(self, operator: callers.Operator) -> None:
        began = time.monotonic()
        await operator.change()
        if self.checker.acknowledged < operator.version:
            self.checker.report_violation(
                "acknowledged", f"{operator.version} was not"
            )
        await self._wait_for_version(self.nodes.values(), operator.version)
        self._end_phase(f"change to {operator.version} everywhere", began)

    async def _kill(self, node: nodes.Node, down_s: float) -> None:
        began = time.monotonic()
        await self._restart(node, down_s)
        await self._wait_for_service(node)
        await self._wait_for_version([node], self.checker.acknowledged)
        self._end_phase(f"kill and start of {node.name}", began, node.name)

    async def _replace_coordinators(self, operator: callers.Operator) -> None:
        before = await operator.read()
        began = time.monotonic()
        await asyncio.gather(*(node.stop() for node in self.coordinators))
        for node in self.coordinators:
            code = node.process.returncode if node.process else None
            if code != 0:
                self.checker.report_violation(
                    "SIGTERM", f"{node.name}: code {code}"
                )
            node.sources = self._builds[self._successor]
            node.start()
        found = [await self._wait_for_service(n) for n in self.coordinators]
        if found != [before] * len(found) or before == 0:
            self.checker.report_violation(
                "same version", f"{before}, then {found}"
            )
        await self._wait_for_version(self.coordinators, before)
        name = f"start on data folders, version {before}, then {found}"
        self._end_phase(name, began)

    def _end_phase(self, name: str, began: float, node: str = "") -> None:
        self._phases.append(Phase(name, node, began, time.monotonic()))

    async def _wait_for_service(self, node: nodes.Node) -> int:
        """Waits until a node serves; returns a coordinator's version."""
        ends = time.monotonic() + LIMIT_S
        single = callers.Operator([node], self.checker, self._rng)
        probe = callers.Caller("probe", [node], self.checker, self._rng)
        while time.monotonic() < ends:
            if node.role == "coordinator":
                version = await single.read()
                if version:
                    return version
            elif (await probe.call()).status == 200:
                return 0
            await asyncio.sleep(POLL_S)
        self.checker.report_violation("it serves after its start", node.name)
        return 0

    async def _wait_for_version(
        self, awaited: Iterable[nodes.Node], version: int
    ) -> None:
        """Waits until a version is in force in some nodes."""
        ends = time.monotonic() + LIMIT_S
        for node in awaited:
            while (found := await read_version(node)) < version:
                if time.monotonic() > ends:
                    detail = f"{node.name}: {found} instead of {version}"
                    self.checker.report_violation("a version in force", detail)
                    break
                await asyncio.sleep(POLL_S)

    # The report.

    def print_report(self) -> bool:
        """Prints the observations; returns whether the scenario passed."""
        sent, lost = collections.Counter[str](), 0
        causes = collections.Counter[str]()
        for outcome in self.checker.outcomes:
            if not outcome.attempt.startswith(("c", "r")):
                continue
            if outcome.status == 200 and outcome.is_complete:
                sent["complete"] += 1
                continue
            is_refused = outcome.status in checker_module.NOT_EXECUTED_STATUSES
            kind = "refused" if is_refused else "failed"
            sent[kind] += 1
            cause, is_explained = self._find_cause(outcome)
            lost += not is_refused and not is_explained
            end = "incomplete" if outcome.body else outcome.status
            causes[f"{kind} ({end}), {cause}"] += 1
        print(f"  sent {sent.total()}: {dict(sent)}, lost unexplained: {lost}")
        for cause, count in causes.items():
            print(f"    {count} {cause}")
        for phase in self._phases:
            print(f"  {phase.name}: took {phase.ended - phase.began:.2f} s")
        lines, warnings = self._read_logs()
        violations = self.checker.violations
        print(
            f"  violations: {len(violations)}, "
            f"malformed or errors: {len(lines)}"
        )
        for line in (*violations[:8], *lines[:8]):
            print(f"    {line[:500]}")
        print(f"  warnings: {dict(warnings)}", flush=True)
        return not (violations or lines or lost)

    def _find_cause(self, outcome: checker_module.Outcome) -> tuple[str, bool]:
        """Returns a cause, and whether it explains that a request is lost."""
        found = "no fault"
        for phase in self._phases:
            if outcome.sent_at > phase.ended or outcome.ended_at < phase.began:
                continue
            if phase.node and outcome.gateway.startswith(f"{phase.node}#"):
                return f"sent to it: {phase.name}", True
            found = f"during {phase.name}"
        return found, False

    def _read_logs(self) -> tuple[list[str], collections.Counter[str]]:
        alarms: list[str] = []
        warnings: collections.Counter[str] = collections.Counter()
        for log in sorted(self._folder.glob("*/log.jsonl")):
            for line in log.read_text(encoding="utf-8").splitlines():
                found: dict = {}
                with contextlib.suppress(orjson.JSONDecodeError):
                    found = orjson.loads(line) if line[:1] == "{" else {}
                level, event = found.get("level"), found.get("event", "")
                if level in (None, "error") or MALFORMED.match(event):
                    alarms.append(f"{log.parent.name}: {line}")
                elif level == "warning":
                    warnings[event] += 1
        return alarms, warnings


async def read_version(node: nodes.Node) -> int:
    """Returns the version in force in a process; -1 without metrics."""
    text = ""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                node.bind_ip, program.METRICS_PORT
            )
            with contextlib.closing(writer):
                writer.write(b"GET /metrics HTTP/1.0\r\nHost: x\r\n\r\n")
                text = (await reader.read(-1)).decode()
    found = re.search(r"configuration_version\S* (\d+)", text)
    return int(found[1]) if found else -1


def copy_build(sources: pathlib.Path, target: pathlib.Path) -> pathlib.Path:
    """Copies a build, so that restarts run the same program."""
    shutil.copytree(sources, target)
    paths = sorted(target.rglob("*.py")) + sorted(target.rglob("*.capnp"))
    data = b"".join(path.read_bytes() for path in paths)
    print(f"build {target.name}: {hashlib.sha256(data).hexdigest()[:12]}")
    return target


def run_scenario(fleet: Fleet) -> bool:
    """Runs one scenario and prints its report; returns whether it passed."""
    began = time.monotonic()
    try:
        asyncio.run(fleet.run(0.0))
    except Exception:  # noqa: BLE001 - reported with its place
        fleet.checker.report_violation(
            "harness", traceback.format_exc(limit=-3)
        )
    print(f"{fleet.title}: {time.monotonic() - began:.0f} s")
    return fleet.print_report()


def main() -> int:
    """Runs all scenarios; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--other", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slot", type=int, default=9, help="address block")
    parser.add_argument("--keep", help="folder for the processes' files")
    options = parser.parse_args()
    if not (options.other / "hickorylead/platform/__main__.py").is_file():
        parser.error(f"--other: no hickorylead package in {options.other}")
    # Ended from outside, it still ends the processes that it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    passed = []
    with tempfile.TemporaryDirectory() as temporary:
        base = pathlib.Path(options.keep or temporary) / f"seed{options.seed}"
        builds = {
            "t": copy_build(ROOT / "src", base / "this"),
            "o": copy_build(options.other, base / "other"),
        }
        for number, scenario in enumerate(SCENARIOS):
            folder = base / f"scenario{number}"
            fleet = Fleet(options.seed, folder, options.slot, scenario, builds)
            passed.append(run_scenario(fleet))
    print(f"scenarios: {len(passed)}, failed: {passed.count(False)}")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
