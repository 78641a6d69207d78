"""Group downtime and stranded VMs over a month of simulated time.

The real planner repairs a zone of 24 replicas of 8 VMs while VMs fail and
restart and a rack loses power, at the users' rates. The benchmark compares
settings of the planner's policy, a plain policy that rebuilds complete groups,
and a lower bound ("floor"): detection and load time for each failure that hits
a replica, nothing else.
"""

from __future__ import annotations

import concurrent.futures
import heapq
import itertools
import pathlib
import random
import sys
from typing import Any

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from hickorylead.configuration import model
from hickorylead.membership import announcements, registry
from hickorylead.placement import groups, orders, planner

DAY_S = 86_400.0
DAYS = 30
REPLICAS, SIZE, DOMAIN = 24, 8, 32
EXTRA_VMS = 16
DETECTION_S, LOAD_S, SWAP_S = 4.0, 180.0, 10.0
PLAN_INTERVAL_S = 1.0
MAX_STEP_S = 30.0
# The share of the users' 4,800 accelerators (one per VM) in this zone.
ZONE_SHARE = (REPLICAS * SIZE + EXTRA_VMS) / 4800
FAILURES_PER_DAY, RESTARTS_PER_DAY = 15 * ZONE_SHARE, 76 * ZONE_SHARE
FAILURE_DURATION_S, RESTART_DURATION_S = 4 * 3600.0, 180.0
RACK_FAILURE_INTERVAL_S, RACK_OUTAGE_S = 20 * DAY_S, 2 * 3600.0


class PlainPlanner(planner.Planner):
    """Rebuilds the complete group whenever a member is lost."""

    def _repair(self, group):
        self._disband(group)


@attrs.frozen
class Setting:
    """A named planner policy that the benchmark compares."""

    name: str
    policy: planner.Policy
    is_plain: bool = False


SETTINGS = (
    Setting("plain: rebuild whole groups", planner.Policy(0, 0.0, 100), True),
    Setting("free survivors at once", planner.Policy(0, 0.0, 100)),
    Setting("hold survivors for 5 min", planner.Policy(0, 300.0, 100)),
    Setting("one spare a domain, hold 5 min", planner.Policy(1, 300.0, 100)),
    Setting("one spare a domain, hold 5 h", planner.Policy(1, 18000.0, 100)),
)


class ZoneSimulation:
    """A simulated month of one zone."""

    def __init__(self, setting: Setting, seed: int) -> None:
        planner_type = PlainPlanner if setting.is_plain else planner.Planner
        self.planner = planner_type(zone="z", policy=setting.policy)
        self.rng = random.Random(seed)
        self.now = 0.0
        self.members: dict[str, registry.Member] = {}
        self.lost: dict[str, registry.Member] = {}
        self.returns_at: dict[str, float] = {}
        self.group_failures = 0
        self.downtime_s = self.stranded_s = 0.0
        self._queue: list[tuple[float, int, Any]] = []
        self._order = itertools.count()
        service = model.Service("s", model="m", version="1", group_size=SIZE)
        preset = model.Preset("p", (model.Share("s", "z", REPLICAS),))
        self.configuration = model.Configuration(1, (service,), (preset,), "p")
        for number in range(REPLICAS * SIZE + EXTRA_VMS):
            vm = f"vm{number:04}"
            state = announcements.ServerState(
                vm, 1, "z", f"d{number // DOMAIN}", vm
            )
            self.members[vm] = registry.Member(state, "e")

    def call_later(self, delay_s: float, action: Any) -> None:
        item = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._queue, item)

    def run(self) -> None:
        self._run_planner_for(LOAD_S * 3)
        self.downtime_s = self.stranded_s = 0.0
        self._schedule_failures(FAILURES_PER_DAY, FAILURE_DURATION_S)
        self._schedule_failures(RESTARTS_PER_DAY, RESTART_DURATION_S)
        self.call_later(RACK_FAILURE_INTERVAL_S / 2, self._fail_rack)
        end = self.now + DAYS * DAY_S
        while self.now < end:
            due_s = max(0.0, self._queue[0][0] - self.now)
            if self.planner.is_settled():
                self._advance(due_s)
            elif self.planner._pending:
                self._advance(PLAN_INTERVAL_S)
            else:
                # Only time or an event can change anything here.
                self._advance(min(due_s, MAX_STEP_S))
            self._run_due()
            self._plan()

    def _schedule_failures(self, per_day: float, duration_s: float) -> None:
        def fail() -> None:
            self.call_later(self.rng.expovariate(per_day) * DAY_S, fail)
            vm = self.rng.choice(sorted([*self.members, *self.lost]))
            self._fail_vm(vm, duration_s)

        self.call_later(self.rng.expovariate(per_day) * DAY_S, fail)

    def _fail_rack(self) -> None:
        self.call_later(RACK_FAILURE_INTERVAL_S, self._fail_rack)
        domain = self.rng.choice(
            sorted({m.state.domain for m in self.members.values()})
        )
        for vm in [
            v for v, m in self.members.items() if m.state.domain == domain
        ]:
            self._fail_vm(vm, RACK_OUTAGE_S)

    def _fail_vm(self, vm: str, duration_s: float) -> None:
        member = self.members.get(vm)
        if member is None:
            return
        if member.state.group:
            self.group_failures += 1
        # The replica is down at once; the planner detects it later.
        self.call_later(DETECTION_S, lambda: self._remove(vm))
        self._set_state(vm, phase=announcements.PHASE_LOADING)
        self.call_later(DETECTION_S + duration_s, lambda: self._restore(vm))

    def _remove(self, vm: str) -> None:
        member = self.members.pop(vm, None)
        if member is not None:
            self.lost[vm] = member

    def _restore(self, vm: str) -> None:
        member = self.lost.pop(vm, None)
        if member is None:
            return
        state = attrs.evolve(
            member.state,
            boot=member.state.boot + 1,
            phase=announcements.PHASE_IDLE,
            group="",
            weights="",
            generation=0,
            rank=0,
            size=0,
        )
        self.members[vm] = registry.Member(state, "e")

    def _set_state(self, vm: str, **fields: Any) -> None:
        member = self.members.get(vm)
        if member is not None:
            member.state = attrs.evolve(member.state, **fields)

    def _plan(self) -> None:
        issued = self.planner.plan(
            members=self.members,
            configuration=self.configuration,
            shares=self.configuration.list_shares("z"),
            fence=1,
            now=self.now,
        )
        for effect in issued:
            self._apply_order(effect.order)

    def _apply_order(self, order: orders.Order) -> None:
        member = self.members[order.vm]
        match order:
            case orders.Release():
                self._set_state(
                    order.vm, phase=announcements.PHASE_IDLE, group="", size=0
                )
            case orders.Assign():
                has_weights = member.state.weights == order.weights
                self._set_state(
                    order.vm,
                    phase=announcements.PHASE_LOADING,
                    group=order.group,
                    generation=order.generation,
                    rank=order.rank,
                    size=len(order.members),
                    service=order.service,
                )
                generation = order.generation

                def finish_loading() -> None:
                    found = self.members.get(order.vm)
                    if found and found.state.generation == generation:
                        self._set_state(
                            order.vm,
                            phase=announcements.PHASE_READY,
                            weights=order.weights,
                        )

                self.call_later(
                    SWAP_S if has_weights else LOAD_S, finish_loading
                )

    def _run_planner_for(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self._plan()
            self._advance(PLAN_INTERVAL_S)
            self._run_due()

    def _run_due(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            heapq.heappop(self._queue)[2]()

    def _advance(self, seconds: float) -> None:
        serving = [
            g
            for g in self.planner.groups.values()
            if groups.is_ready(g, self.members)
        ]
        self.downtime_s += max(0, REPLICAS - len(serving)) * seconds
        healthy = len(self.members)
        self.stranded_s += (healthy - SIZE * len(serving)) * seconds
        self.now += seconds


def measure(setting: Setting, seed: int) -> tuple[float, float, float]:
    """Returns downtime, stranded VM time and least downtime, in hours."""
    simulation = ZoneSimulation(setting, seed)
    simulation.run()
    floor_s = simulation.group_failures * (DETECTION_S + LOAD_S)
    return (
        simulation.downtime_s / 3600,
        simulation.stranded_s / 3600,
        floor_s / 3600,
    )


def run(folder: pathlib.Path | None = None) -> str:
    """Measures all settings; returns a table and a plot in Markdown."""
    seeds = (1, 2, 3)
    with concurrent.futures.ProcessPoolExecutor(6) as pool:
        jobs = {
            setting.name: [pool.submit(measure, setting, s) for s in seeds]
            for setting in SETTINGS
        }
        found = {
            name: [
                sum(values) / len(seeds)
                for values in zip(
                    *(job.result() for job in futures), strict=True
                )
            ]
            for name, futures in jobs.items()
        }
    lines = [
        "| setting | downtime, replica h | floor | stranded, VM h |"
        " Kahikatea 3:1 | Ólomcső 1:3 |",
        "|---|---|---|---|---|---|",
    ]
    for name, (down, stranded, floor) in found.items():
        # Downtime is converted from replica hours to VM hours before weighting.
        kahikatea = (3 * SIZE * down + stranded) / 4
        olomcso = (SIZE * down + 3 * stranded) / 4
        lines.append(
            f"| {name} | {down:.1f} | {floor:.1f} | {stranded:.0f} |"
            f" {kahikatea:.0f} | {olomcso:.0f} |"
        )
    if folder is not None:
        draw({n: (v[0], v[1]) for n, v in found.items()}, folder)
    top = max(v[0] for v in found.values())
    lines += ["", "Downtime, replica hours:", "", "```"]
    lines += [
        f"{name:32} {'#' * round(40 * values[0] / top):40} {values[0]:.1f}"
        for name, values in found.items()
    ]
    return "\n".join([*lines, "```"]) + "\n"


def draw(found: dict[str, tuple[float, float]], folder: pathlib.Path) -> None:
    """Draws downtime against stranded VMs as a PNG."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, (down, stranded) in found.items():
        axes.scatter(stranded, down)
        axes.annotate(name, (stranded, down), fontsize=7)
    axes.set_xlabel("stranded, VM hours a month")
    axes.set_ylabel("group downtime, replica hours a month")
    figure.tight_layout()
    figure.savefig(folder / "placement.png", dpi=110)


if __name__ == "__main__":
    sys.stdout.write(run())
