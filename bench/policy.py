"""Compares routing and admission with baselines, in simulated time.

Nine entries with the real dispatcher send to engines that batch continuously,
have a limited prefix cache and report their load late. The results are the
same on every run. A policy that does not beat its baselines here is removed.
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
from hdrh import histogram

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from hickorylead.configuration import model as configuration_model
from hickorylead.requests import dispatcher as dispatcher_module, events, model
from hickorylead.routing import health, messages, policy, table
from hickorylead.verdict import Verdict
from hickorylead_standins import batch

REPLICAS = 50
ENTRIES = 9
SPEED = batch.Speed(slots=8, step_s=0.05, prefill_s=0.0002, cached_prefixes=12)
REPORT_INTERVAL_S = 1.0
WARMUP_S, MEASURED_S = 10.0, 30.0
DEADLINE_S = 10.0
# The engines here send no keepalives, and none of them stalls.
KEEPALIVE_S = 1e6
PREFIX_TOKENS, SUFFIX_TOKENS, MEAN_RESPONSE_TOKENS = 1500, 200, 30
WORKSPACES = {f"large{n}": 0.25 for n in range(3)} | {
    f"small{n}": 0.25 / 7 for n in range(7)
}
PREFIXES_PER_WORKSPACE = 6
URGENT_SHARE = 0.1
CONTROLS = {"z": ("z/vm1/control",)}
CONFIGURATION = configuration_model.Configuration(
    version=1,
    services=(configuration_model.Service("s", model="m", version="1"),),
)


class Baseline:
    """A policy that picks among the replicas that have not failed."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self._simulation = simulation
        self._table = simulation.tables[number]
        self._tracker = simulation.trackers[number]
        self._rng = random.Random(f"baseline {number}")
        self._turn = number * 7

    def choose(self, request, failed, now):
        usable = [
            r
            for r in self._table.list_replicas("s")
            if r.group not in failed
            and now >= self._tracker.get(r.group).ejected_until
        ]
        if not usable:
            return policy.Unavailable(has_untried_replica=True)
        return policy.Choice(self.pick(usable, request), ())


class Random(Baseline):
    """Picks a replica at random."""

    def pick(self, usable, request):
        return self._rng.choice(usable)


class RoundRobin(Baseline):
    """Picks each replica in turn."""

    def pick(self, usable, request):
        self._turn += 1
        return usable[self._turn % len(usable)]


class FewestInFlight(Baseline):
    """Picks the replica with the fewest requests of this entry."""

    def pick(self, usable, request):
        return min(
            usable,
            key=lambda r: (
                self._tracker.get(r.group).inflight,
                self._rng.random(),
            ),
        )


class LowestReported(Baseline):
    """Picks the replica that reported the lowest load."""

    def pick(self, usable, request):
        def get_load(replica) -> tuple[float, float]:
            reported = self._table.loads.get(replica.group)
            return (reported.requests if reported else 0, self._rng.random())

        return min(usable, key=get_load)


class Oracle(Baseline):
    """Picks by the current state of every queue and every cache."""

    def pick(self, usable, request):
        def estimate_s(replica) -> tuple[float, float]:
            engine = self._simulation.engines[replica.group]
            is_cached = request.prefix_hashes[0] in engine._cache
            prefill = SUFFIX_TOKENS + (0 if is_cached else PREFIX_TOKENS)
            ahead = max(0, engine.running + engine.queued + 1 - SPEED.slots)
            wait_s = ahead * MEAN_RESPONSE_TOKENS * SPEED.step_s / SPEED.slots
            busy_s = engine.running * 0.002
            return (wait_s + prefill * SPEED.prefill_s + busy_s, replica.group)

        return min(usable, key=estimate_s)


def make_load_balancing_policy(
    simulation: Simulation, number: int
) -> policy.LoadBalancingPolicy:
    return policy.LoadBalancingPolicy(
        zone="z",
        table=simulation.tables[number],
        health=simulation.trackers[number],
        rng=random.Random(f"own {number}"),
    )


POLICIES = {
    "own": make_load_balancing_policy,
    "random": Random,
    "round robin": RoundRobin,
    "fewest in flight": FewestInFlight,
    "lowest reported": LowestReported,
    "oracle": Oracle,
}


@attrs.define
class RequestRecord:
    """What the caller of one request observes."""

    arrived_at: float
    urgency: int
    workspace: str
    first_at: float | None = None
    ended_at: float | None = None
    is_refused: bool = False
    attempts: int = 0


class Simulation:
    """Simulated entries and engines."""

    def __init__(self, name: str, rate: float, outage: bool) -> None:
        self.now = 0.0
        self.rng = random.Random(f"arrivals {rate}")
        self.rate = rate
        self.outage = outage
        self.tables = [table.ReplicaTable() for _ in range(ENTRIES)]
        self.trackers = [health.HealthTracker() for _ in range(ENTRIES)]
        self.engines = {f"g{n:02}": batch.Batch(SPEED) for n in range(REPLICAS)}
        self.failed: set[str] = set()
        self.stepping: set[str] = set()
        self.replicas = {
            g: messages.Replica(g, "s", "z", 1, g, g, SPEED.slots, KEEPALIVE_S)
            for g in self.engines
        }
        self.dispatchers = [
            dispatcher_module.Dispatcher(
                entry=f"z/vm{n}/entry",
                controls=CONTROLS,
                table=self.tables[n],
                health=self.trackers[n],
                policy=POLICIES[name](self, n),
            )
            for n in range(ENTRIES)
        ]
        self.requests: dict[str, RequestRecord] = {}
        self.prompt_tokens = self.cached_tokens = 0
        self._attempts: dict[str, tuple[int, str]] = {}
        self._queue: list[tuple[float, int, Any]] = []
        self._order = itertools.count()
        self._sequence = 0

    def call_later(self, delay_s: float, action: Any) -> None:
        item = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._queue, item)

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()

    def start(self) -> None:
        self._report()
        self._tick()
        self._arrive()
        if self.outage:
            self.call_later(WARMUP_S + 5, self._fail)

    def _fail(self) -> None:
        for group in list(self.engines)[: REPLICAS // 3]:
            self.failed.add(group)
            for request_id in self.engines[group].clear():
                self._fail_attempt(request_id)
        # The control plane detects the loss after about five seconds; the
        # replicas return ten seconds later.
        self.call_later(5.0, lambda: self._set_table(excluded=set(self.failed)))
        self.call_later(15.0, self._recover)

    def _recover(self) -> None:
        self.failed.clear()
        self._set_table(excluded=set())

    def _fail_attempt(self, request_id: str) -> None:
        number, attempt_id = self._attempts[request_id]
        failure = events.AttemptFailed(
            attempt_id, Verdict.MAY_HAVE_RUN, "broken"
        )
        self.call_later(0.001, lambda: self._deliver(number, failure))

    def _set_table(self, excluded: set[str]) -> None:
        self._sequence += 1
        listed = {g: r for g, r in self.replicas.items() if g not in excluded}
        for replica_table in self.tables:
            replica_table.apply_update(
                messages.TableUpdate(
                    "z", 1, self._sequence, True, tuple(listed.values())
                ),
                self.now,
            )
        self._listed_groups = sorted(listed)

    def _report(self) -> None:
        if not self._sequence:
            self._set_table(excluded=set())
        loads = bytes(
            min(
                255,
                round(
                    (self.engines[g].running + self.engines[g].queued)
                    / SPEED.slots
                    * messages.LOAD_STEPS
                ),
            )
            for g in self._listed_groups
        )
        sequence = self._sequence

        def apply_update() -> None:
            update = messages.TableUpdate("z", 1, sequence, False, loads=loads)
            for replica_table in self.tables:
                if sequence == self._sequence:
                    replica_table.apply_update(update, self.now)

        self.call_later(REPORT_INTERVAL_S, apply_update)
        self.call_later(REPORT_INTERVAL_S, self._report)

    def _tick(self) -> None:
        for number, tracker in enumerate(self.trackers):
            tracker.refresh(self.replicas)
            for effect in self.dispatchers[number].tick(self.now):
                self._apply_effect(number, effect)
        self.call_later(0.1, self._tick)

    def _arrive(self) -> None:
        self.call_later(self.rng.expovariate(self.rate), self._arrive)
        number = self.rng.randrange(ENTRIES)
        names = list(WORKSPACES)
        workspace = self.rng.choices(names, list(WORKSPACES.values()))[0]
        prefix = f"{workspace} {self.rng.randrange(PREFIXES_PER_WORKSPACE)}"
        urgency = 0 if self.rng.random() < URGENT_SHARE else 3
        request_id = f"r{len(self.requests)}"
        tokens = 1 + int(self.rng.expovariate(1 / MEAN_RESPONSE_TOKENS))
        request = model.Request(
            request_id,
            workspace,
            "s",
            urgency=urgency,
            deadline_s=DEADLINE_S,
            prompt_tokens=PREFIX_TOKENS + SUFFIX_TOKENS,
            max_tokens=min(tokens, 300),
            prefix_hashes=(prefix,),
        )
        self.requests[request_id] = RequestRecord(self.now, urgency, workspace)
        self._deliver(number, events.RequestArrived(request, 0.0))

    def _deliver(self, number: int, event: Any) -> None:
        effects = self.dispatchers[number].handle(
            event, CONFIGURATION, self.now
        )
        for effect in effects:
            self._apply_effect(number, effect)

    def _apply_effect(self, number: int, effect: Any) -> None:
        match effect:
            case events.StartAttempt():
                self.requests[effect.request.request_id].attempts += 1
                self.call_later(0.001, lambda: self._submit(number, effect))
            case events.EmitText(request_id):
                record = self.requests[request_id]
                record.first_at = record.first_at or self.now
            case events.FinishStream(request_id):
                self.requests[request_id].ended_at = self.now
            case events.Refuse(request_id):
                self.requests[request_id].is_refused = True
            case events.CancelAttempt(_, request_id, replica):
                self.engines[replica.group].cancel(request_id)

    def _submit(self, number: int, attempt: events.StartAttempt) -> None:
        group, request = attempt.replica.group, attempt.request
        if group in self.failed:
            failure = events.AttemptFailed(
                attempt.attempt_id, Verdict.NOT_RUN, "unreachable"
            )
            self.call_later(0.001, lambda: self._deliver(number, failure))
            return
        self._attempts[request.request_id] = (number, attempt.attempt_id)
        engine = self.engines[group]
        is_cached = request.prefix_hashes[0] in engine._cache
        if self.now >= WARMUP_S:
            self.prompt_tokens += PREFIX_TOKENS
            self.cached_tokens += PREFIX_TOKENS if is_cached else 0
        engine.submit(
            batch.Work(
                request.request_id,
                "d",
                request.urgency,
                request.prompt_tokens,
                request.max_tokens,
                request.prefix_hashes,
                attempt.position,
            )
        )
        self._step(group)

    def _step(self, group: str) -> None:
        if group in self.stepping:
            return
        step_s = self.engines[group].begin_step()
        if step_s:
            self.stepping.add(group)
            self.call_later(step_s, lambda: self._end_step(group))

    def _end_step(self, group: str) -> None:
        self.stepping.discard(group)
        for frame in self.engines[group].end_step():
            number, attempt_id = self._attempts[frame.request_id]
            self._deliver(
                number,
                events.FrameArrived(
                    attempt_id,
                    frame.request_id,
                    frame.position,
                    1,
                    "t",
                    "stop" if frame.is_last else "",
                ),
            )
        self._step(group)


def share_fairly(requested: dict[str, int], total: float) -> dict[str, float]:
    """Returns each workspace's max-min fair share of the completed requests."""
    shares: dict[str, float] = {}
    remaining = dict(requested)
    while remaining:
        equal = total / len(remaining)
        small = {w: n for w, n in remaining.items() if n <= equal}
        if not small:
            return shares | dict.fromkeys(remaining, equal)
        for name, count in small.items():
            shares[name] = count
            total -= count
            del remaining[name]
    return shares


def measure(name: str, rate: float, outage: bool = False) -> dict[str, float]:
    """Returns the metrics of one policy at one rate, in requests a second."""
    simulation = Simulation(name, rate, outage)
    simulation.start()
    simulation.run(WARMUP_S + MEASURED_S)
    counted = [
        r for r in simulation.requests.values() if r.arrived_at >= WARMUP_S
    ]
    first = histogram.HdrHistogram(1, 100_000, 3)
    urgent = histogram.HdrHistogram(1, 100_000, 3)
    for record in counted:
        if record.first_at is not None:
            wait_ms = max(
                1, round(1000 * (record.first_at - record.arrived_at))
            )
            first.record_value(wait_ms)
            if record.urgency == 0:
                urgent.record_value(wait_ms)
    completed = [
        r
        for r in simulation.requests.values()
        if r.ended_at is not None
        and r.ended_at >= WARMUP_S
        and r.first_at - r.arrived_at < DEADLINE_S
    ]
    done = {w: sum(r.workspace == w for r in completed) for w in WORKSPACES}
    requested = {w: sum(r.workspace == w for r in counted) for w in WORKSPACES}
    fair = share_fairly(requested, len(completed))
    shares = [done[w] / fair[w] for w in WORKSPACES if fair[w]]
    return {
        "p50": first.get_value_at_percentile(50) / 1000,
        "p95": first.get_value_at_percentile(95) / 1000,
        "urgent p99": urgent.get_value_at_percentile(99) / 1000,
        "hits": simulation.cached_tokens / max(1, simulation.prompt_tokens),
        "goodput": len(completed) / MEASURED_S,
        "refused": sum(r.is_refused for r in counted) / len(counted),
        "least share": min(shares),
        "extra": sum(r.attempts - 1 for r in counted if r.attempts)
        / len(counted),
    }


def run() -> str:
    """Measures all policies at all loads; returns tables in Markdown."""
    with concurrent.futures.ProcessPoolExecutor(6) as pool:
        overloaded = pool.map(
            measure, ["oracle"] * 4, [120.0, 135.0, 150.0, 165.0]
        )
        capacity = max(found["goodput"] for found in overloaded)
        jobs = {
            (load, name): pool.submit(measure, name, load * capacity)
            for load in (0.5, 0.8, 1.0, 1.5)
            for name in POLICIES
        }
        outages = {
            name: pool.submit(measure, name, 0.6 * capacity, True)
            for name in ("own", "random")
        }
        lines = [
            f"Capacity (highest goodput of the oracle):"
            f" {capacity:.0f} requests/s.",
            "",
            "| load | policy | first token p50 s | p95 s | urgent p99 s |"
            " cache hits | goodput/s | refused | least of fair share |",
            "|---|---|---|---|---|---|---|---|---|",
        ]
        for (load, name), job in jobs.items():
            found = job.result()
            lines.append(
                f"| {load} | {name} | {found['p50']:.2f} | {found['p95']:.2f}"
                f" | {found['urgent p99']:.2f} | {found['hits']:.2f} |"
                f" {found['goodput']:.0f} | {found['refused']:.3f} |"
                f" {found['least share']:.2f} |"
            )
        lines += [
            "",
            "A third of the replicas fails at 0.6 of capacity for 15 s:",
            "",
            "| policy | p95 s | goodput/s | refused | extra attempts |",
            "|---|---|---|---|---|",
        ]
        for name, job in outages.items():
            found = job.result()
            lines.append(
                f"| {name} | {found['p95']:.2f} | {found['goodput']:.0f} |"
                f" {found['refused']:.3f} | {found['extra']:.3f} |"
            )
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.stdout.write(run())
