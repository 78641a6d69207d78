"""Runs planned stops of gateways: `python tests/soak/planned_stops.py`.

Real processes, disturbed by nothing but planned work that is drawn from a seed:
SIGTERM, to one gateway or to all in turn, SIGHUP, and changes of the
configuration. Callers and servers are directly connected to the gateways.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
if __name__ == "__main__":
    sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import attrs  # noqa: E402
import orjson  # noqa: E402

from soak import (  # noqa: E402
    callers,
    cluster as cluster_module,
    fleet,
    nodes,
    overload,
    run as run_module,
    stop_callers,
    stop_checker,
)

# Time in which nothing is disturbed before the first stop, in seconds.
CALM_S = 3.0
ALL_IN_TURN_SHARE = 0.4
SECOND_SIGTERM_SHARE = 0.3
RELOAD_SHARE = 0.4
CHANGE_SHARE = 0.4
# Ranges of times from a SIGTERM, in seconds.
SECOND_SIGTERM_S = (0.1, 6.0)
RELOAD_S = (-0.3, 2.0)
CHANGE_S = (-1.0, 6.0)
# Time from the exit of a gateway to its next start, and from that to the next
# stop, in seconds.
DOWN_S = (0.1, 0.5)
BETWEEN_S = (1.5, 3.0)
# How long the harness waits for a process beyond its grace time, in seconds.
EXTRA_S = 3.0
LOOP_PERIOD_S = 0.01
# Lateness of the harness that is recorded, in seconds.
LATE_S = 0.02


@attrs.frozen
class PlannedStop:
    """One planned stop, and the planned work beside it.

    Attributes:
        gateway: Index of the gateway.
        down_s: Time from its exit to its next start, in seconds.
        between_s: Time from then to the next stop, in seconds.
        again_after_s: Time to a second SIGTERM, in seconds; None for none.
        reload_after_s: Time to a SIGHUP, in seconds; None for none.
        change_after_s: Time to a change of the configuration, in seconds; None
            for none.
    """

    gateway: int
    down_s: float
    between_s: float
    again_after_s: float | None
    reload_after_s: float | None
    change_after_s: float | None


def draw_stops(seed: int, gateways: int) -> list[PlannedStop]:
    """Returns stops for a seed: each gateway is stopped at least once."""
    rng = random.Random(f"planned stops {seed}")

    def maybe(share: float, span: tuple[float, float]) -> float | None:
        return rng.uniform(*span) if rng.random() < share else None

    order = rng.sample(range(gateways), gateways)
    if rng.random() < ALL_IN_TURN_SHARE:
        order += rng.sample(range(gateways), gateways)
    return [
        PlannedStop(
            gateway,
            rng.uniform(*DOWN_S),
            rng.uniform(*BETWEEN_S),
            maybe(SECOND_SIGTERM_SHARE, SECOND_SIGTERM_S),
            maybe(RELOAD_SHARE, RELOAD_S),
            maybe(CHANGE_SHARE, CHANGE_S),
        )
        for gateway in order
    ]


class PlannedStops(cluster_module.Cluster):
    """A cluster whose gateways are stopped as planned."""

    node_type = fleet.FleetNode
    engine_blocks = (3, 3)
    recovery_s = 0.5
    probe_count = 5
    timeout_ms = int(stop_callers.LIMIT_S * 1000)

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        slot: int,
        *,
        lane: int = 0,
        busy: int = 0,
        sources: pathlib.Path | None = None,
    ) -> None:
        """Makes a cluster; `run` starts it.

        Args:
            seed: Seed of the planned work.
            folder: Folder of its files.
            slot: Its address block.
            lane: Part of the block, if several runs share it.
            busy: Number of busy processes beside the cluster.
            sources: Folder of the program under test; None for this build.
        """
        super().__init__(seed, folder, slot, lane)
        self._folder = folder
        self._busy = busy
        for node in self.nodes.values():
            node.sources = sources
        self._balancer = stop_callers.Balancer(
            self.gateways, random.Random(f"balancer {seed}")
        )
        self._callers: list[stop_callers.StopCaller] = []
        # When the harness itself was late, and how much, in seconds.
        self._late: list[tuple[float, float]] = []
        self._disturbed_from = 0.0
        self._disturbed_until = 0.0

    async def run(self, seconds: float) -> cluster_module.Result:
        """Runs the cluster and judges its stops.

        Args:
            seconds: Time after which no further stop begins.
        """
        load = overload.start_busy(self._busy)
        try:
            result = await super().run(seconds)
        finally:
            overload.end_busy(load)
        result.details |= self._summarize()
        return result

    def _start_callers(self, operator: callers.Operator) -> list[asyncio.Task]:
        for habit, count in stop_callers.HABITS.items():
            for number in range(count):
                name = f"{habit.replace(' ', '')}{number}"
                self._callers.append(
                    stop_callers.StopCaller(
                        name,
                        habit,
                        self._balancer,
                        self.checker,
                        random.Random(f"{self.seed} {name}"),
                    )
                )
        self._sending = [
            asyncio.ensure_future(caller.run()) for caller in self._callers
        ]
        work = (self._balancer.probe(), operator.run(), self._watch_loop())
        return [*self._sending, *(asyncio.ensure_future(w) for w in work)]

    async def _watch_loop(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(LOOP_PERIOD_S)
            now = time.monotonic()
            late_s = now - began - LOOP_PERIOD_S
            if late_s > LATE_S:
                self._late.append((now, late_s))

    async def _inject_faults(
        self, seconds: float, operator: callers.Operator
    ) -> None:
        began = time.monotonic()
        await asyncio.sleep(CALM_S)
        self._disturbed_from = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for stop in draw_stops(self.seed, len(self.gateways)):
                if time.monotonic() > began + seconds:
                    break
                await self._stop_gateway(stop, operator, group)
                await asyncio.sleep(stop.between_s)
        self._disturbed_until = time.monotonic()
        for caller in self._callers:
            caller.is_ending = True
        await asyncio.gather(*self._sending)

    async def _stop_gateway(
        self,
        planned: PlannedStop,
        operator: callers.Operator,
        group: asyncio.TaskGroup,
    ) -> None:
        node = self.gateways[planned.gateway]
        process = node.process
        assert process is not None
        stop_at = time.monotonic() + max(
            0.0,
            -(planned.reload_after_s or 0.0),
            -(planned.change_after_s or 0),
        )

        async def act_at(after_s: float | None, name: str, act) -> None:
            if after_s is None:
                return
            delay_s = stop_at + after_s - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            if process.poll() is None or name == "change":
                self.faults[name] += 1
                await act()

        async def send(number: signal.Signals) -> None:
            if process.poll() is None:
                process.send_signal(number)

        group.create_task(
            act_at(
                planned.again_after_s,
                "second SIGTERM",
                lambda: send(signal.SIGTERM),
            )
        )
        group.create_task(
            act_at(
                planned.reload_after_s, "SIGHUP", lambda: send(signal.SIGHUP)
            )
        )
        group.create_task(
            act_at(planned.change_after_s, "change", operator.change)
        )
        await asyncio.sleep(max(0.0, stop_at - time.monotonic()))
        stop = stop_checker.Stop(
            f"{node.name}#{node.start_count}",
            time.monotonic(),
            nodes.GRACE_S,
        )
        self.stops.append(stop)
        self.faults["SIGTERM"] += 1
        node.stopped_by_harness = True
        node.send_signal(signal.SIGTERM)

        def wait_for_exit() -> tuple[int, float]:
            return process.wait(nodes.GRACE_S + EXTRA_S), time.monotonic()

        try:
            # A thread sees the exit in time also while the event loop is late.
            stop.exit_code, stop.exited_at = await asyncio.to_thread(
                wait_for_exit
            )
        except subprocess.TimeoutExpired:
            await node.kill()
        await asyncio.sleep(planned.down_s)
        node.start()

    async def _stop_after_recovery(self) -> None:
        """Does nothing: the callers have ended."""

    # Results.

    def _judge_stops(self) -> set[str]:
        report = self.checker.report_violation
        logs = {
            node.name: (node.folder / "log.jsonl").read_bytes()
            for node in self.gateways
        }
        for stop in self.stops:
            lateness = stop.find_lateness()
            if lateness is not None:
                report("process ends in time", lateness)
        for node in self.nodes.values():
            bad = stop_checker.list_bad_lines(node.folder / "log.jsonl")
            if bad:
                report(
                    "log lines are JSON",
                    f"{node.name}: {len(bad)} lines, as {bad[-1]!r}",
                )
        requests = self._list_requests()
        for sent in requests:
            if not sent.is_answered:
                sent.caller_late_s = max(
                    (
                        late_s
                        for at, late_s in self._late
                        if sent.sent_at <= at and at - late_s <= sent.ended_at
                    ),
                    default=0.0,
                )
        excused = stop_checker.judge_requests(
            requests, self.checker, self.stops, logs
        )
        with (self._folder / "requests.jsonl").open("wb") as file:
            for stop in self.stops:
                file.write(orjson.dumps(attrs.asdict(stop)) + b"\n")
            for sent in requests:
                row = attrs.asdict(sent) | {
                    "body": len(sent.body),
                    "runs": [
                        attrs.asdict(run)
                        for run in self.checker.list_runs(sent.attempt)
                    ],
                }
                file.write(orjson.dumps(row) + b"\n")
        return excused

    def _list_requests(self) -> list[stop_checker.SentRequest]:
        return [
            outcome
            for outcome in self.checker.outcomes
            if isinstance(outcome, stop_checker.SentRequest)
        ]

    def _summarize(self) -> dict[str, float]:
        requests = self._list_requests()
        ends = collections.Counter(request.end for request in requests)
        served: dict[bool, list[bool]] = {True: [], False: []}
        for caller in self._callers:
            for first_at, is_served in caller.served:
                if first_at < self._disturbed_until:
                    served[first_at < self._disturbed_from].append(is_served)
        exits = [stop.exited_at - stop.at for stop in self.stops]
        return {
            **{f"ended: {end}": count for end, count in ends.items()},
            "requests": len(requests),
            "excused": sum(
                request.is_whole
                and not request.is_answered
                and any(
                    stop.gateway == request.gateway
                    and stop.excuses(
                        request, self.checker.list_runs(request.attempt)
                    )
                    for stop in self.stops
                )
                for request in requests
            ),
            "served share, calm": _compute_share(served[True]),
            "served share, stops": _compute_share(served[False]),
            "harness late, s": round(
                max((late_s for _, late_s in self._late), default=0.0), 3
            ),
            "crossing closes seen late": sum(
                sent.can_have_crossed
                and sent.ended_at - sent.sent_at > stop_checker.LOSS_SLACK_S
                and not sent.is_answered
                for sent in requests
            ),
            "exit after, s": round(max(exits, default=0.0), 2),
        }


def _compute_share(values: list[bool]) -> float:
    return round(sum(values) / max(1, len(values)), 4)


def main() -> int:
    """Runs the given seeds; returns 1 if any invariant was violated."""
    parser = run_module.make_parser(__doc__)
    parser.set_defaults(seconds=30.0)
    parser.add_argument(
        "--lane", type=int, default=0, help="part of the address block"
    )
    parser.add_argument("--busy", type=int, default=0, help="busy processes")
    parser.add_argument(
        "--sources", type=pathlib.Path, help="program under test"
    )
    options = parser.parse_args()
    return run_module.run_seeds(
        options,
        lambda seed, folder: PlannedStops(
            seed,
            folder,
            options.slot,
            lane=options.lane,
            busy=options.busy,
            sources=options.sources,
        ),
    )


if __name__ == "__main__":
    sys.exit(main())
