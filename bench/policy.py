"""Routing and admission against baselines, in given time.

Nine entries with the real dispatcher send to engines that batch continuously,
hold a limited prefix cache and report their load late. The figures are the
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
REPORT_S = 1.0
WARM_S, MEASURED_S = 10.0, 30.0
DEADLINE_S = 10.0
# Engines here send no keepalives; none falls silent either.
KEEPALIVE_S = 1e6
PREFIX_TOKENS, OWN_TOKENS, MEAN_ANSWER = 1500, 200, 30
WORKSPACES = {f"large{n}": 0.25 for n in range(3)} | {
    f"small{n}": 0.25 / 7 for n in range(7)
}
PREFIXES_EACH = 6
URGENT_SHARE = 0.1
CONTROLS = {"z": ("z/vm1/control",)}
CONFIGURATION = configuration_model.Configuration(
    version=1,
    services=(configuration_model.Service("s", model="m", version="1"),),
)


class Baseline:
    """What all baselines share: any replica that has not failed."""

    def __init__(self, arena: Arena, number: int) -> None:
        self._arena = arena
        self._table = arena.tables[number]
        self._book = arena.books[number]
        self._rng = random.Random(f"baseline {number}")
        self._turn = number * 7

    def choose(self, request, failed, now):
        usable = [
            r
            for r in self._table.list_replicas("s")
            if r.group not in failed
            and now >= self._book.get(r.group).ejected_until
        ]
        if not usable:
            return policy.Unavailable(has_untried_replica=True)
        return policy.Choice(self.pick(usable, request), ())


class Random(Baseline):
    """Any replica."""

    def pick(self, usable, request):
        return self._rng.choice(usable)


class RoundRobin(Baseline):
    """Each replica in turn."""

    def pick(self, usable, request):
        self._turn += 1
        return usable[self._turn % len(usable)]


class FewestInFlight(Baseline):
    """The replica with the fewest requests of this entry."""

    def pick(self, usable, request):
        return min(
            usable,
            key=lambda r: (
                self._book.get(r.group).inflight,
                self._rng.random(),
            ),
        )


class LowestReported(Baseline):
    """The replica that reported the lowest load."""

    def pick(self, usable, request):
        def load(replica) -> tuple[float, float]:
            reported = self._table.loads.get(replica.group)
            return (reported.requests if reported else 0, self._rng.random())

        return min(usable, key=load)


class Oracle(Baseline):
    """Sees every queue and every cache as they are at this moment."""

    def pick(self, usable, request):
        def cost(replica) -> tuple[float, float]:
            engine = self._arena.engines[replica.group]
            hit = request.prefix_hashes[0] in engine._cache
            prefill = OWN_TOKENS + (0 if hit else PREFIX_TOKENS)
            waits = max(0, engine.running + engine.queued + 1 - SPEED.slots)
            wait_s = waits * MEAN_ANSWER * SPEED.step_s / SPEED.slots
            busy_s = engine.running * 0.002
            return (wait_s + prefill * SPEED.prefill_s + busy_s, replica.group)

        return min(usable, key=cost)


def make_own(arena: Arena, number: int) -> policy.LoadBalancingPolicy:
    return policy.LoadBalancingPolicy(
        zone="z",
        table=arena.tables[number],
        book=arena.books[number],
        rng=random.Random(f"own {number}"),
    )


POLICIES = {
    "own": make_own,
    "random": Random,
    "round robin": RoundRobin,
    "fewest in flight": FewestInFlight,
    "lowest reported": LowestReported,
    "oracle": Oracle,
}


@attrs.define
class Seen:
    """One request as its caller sees it."""

    at: float
    urgency: int
    workspace: str
    first: float | None = None
    end: float | None = None
    refused: bool = False
    attempts: int = 0


class Arena:
    """Entries, engines, and time."""

    def __init__(self, name: str, rate: float, outage: bool) -> None:
        self.now = 0.0
        self.rng = random.Random(f"arrivals {rate}")
        self.rate = rate
        self.outage = outage
        self.tables = [table.ReplicaTable() for _ in range(ENTRIES)]
        self.books = [health.HealthTracker() for _ in range(ENTRIES)]
        self.engines = {f"g{n:02}": batch.Batch(SPEED) for n in range(REPLICAS)}
        self.dead: set[str] = set()
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
                book=self.books[n],
                policy=POLICIES[name](self, n),
            )
            for n in range(ENTRIES)
        ]
        self.seen: dict[str, Seen] = {}
        self.prompt_tokens = self.cached_tokens = 0
        self._owners: dict[str, tuple[int, str]] = {}
        self._queue: list[tuple[float, int, Any]] = []
        self._order = itertools.count()
        self._sequence = 0

    def after(self, delay_s: float, action: Any) -> None:
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
            self.after(WARM_S + 5, self._fail)

    def _fail(self) -> None:
        for group in list(self.engines)[: REPLICAS // 3]:
            self.dead.add(group)
            for request_id in self.engines[group].clear():
                self._break(request_id)
        # The control plane notices after about five seconds, and they are
        # back ten seconds later.
        self.after(5.0, lambda: self._set_table(without=set(self.dead)))
        self.after(15.0, self._recover)

    def _recover(self) -> None:
        self.dead.clear()
        self._set_table(without=set())

    def _break(self, request_id: str) -> None:
        number, attempt_id = self._owners[request_id]
        failure = events.AttemptFailed(
            attempt_id, Verdict.MAY_HAVE_RUN, "broken"
        )
        self.after(0.001, lambda: self._give(number, failure))

    def _set_table(self, without: set[str]) -> None:
        self._sequence += 1
        left = {g: r for g, r in self.replicas.items() if g not in without}
        for known in self.tables:
            known.apply_update(
                messages.TableUpdate(
                    "z", 1, self._sequence, True, tuple(left.values())
                ),
                self.now,
            )
        self._known = sorted(left)

    def _report(self) -> None:
        if not self._sequence:
            self._set_table(without=set())
        loads = bytes(
            min(
                255,
                round(
                    (self.engines[g].running + self.engines[g].queued)
                    / SPEED.slots
                    * messages.LOAD_STEPS
                ),
            )
            for g in self._known
        )
        sequence = self._sequence

        def arrive() -> None:
            update = messages.TableUpdate("z", 1, sequence, False, loads=loads)
            for known in self.tables:
                if sequence == self._sequence:
                    known.apply_update(update, self.now)

        self.after(REPORT_S, arrive)
        self.after(REPORT_S, self._report)

    def _tick(self) -> None:
        for number, book in enumerate(self.books):
            book.refresh(self.replicas)
            for effect in self.dispatchers[number].tick(self.now):
                self._carry_out(number, effect)
        self.after(0.1, self._tick)

    def _arrive(self) -> None:
        self.after(self.rng.expovariate(self.rate), self._arrive)
        number = self.rng.randrange(ENTRIES)
        names = list(WORKSPACES)
        workspace = self.rng.choices(names, list(WORKSPACES.values()))[0]
        prefix = f"{workspace} {self.rng.randrange(PREFIXES_EACH)}"
        urgency = 0 if self.rng.random() < URGENT_SHARE else 3
        request_id = f"r{len(self.seen)}"
        tokens = 1 + int(self.rng.expovariate(1 / MEAN_ANSWER))
        request = model.Request(
            request_id,
            workspace,
            "s",
            urgency=urgency,
            deadline_s=DEADLINE_S,
            prompt_tokens=PREFIX_TOKENS + OWN_TOKENS,
            max_tokens=min(tokens, 300),
            prefix_hashes=(prefix,),
        )
        self.seen[request_id] = Seen(self.now, urgency, workspace)
        self._give(number, events.RequestArrived(request, 0.0))

    def _give(self, number: int, event: Any) -> None:
        effects = self.dispatchers[number].handle(
            event, CONFIGURATION, self.now
        )
        for effect in effects:
            self._carry_out(number, effect)

    def _carry_out(self, number: int, effect: Any) -> None:
        match effect:
            case events.StartAttempt():
                self.seen[effect.request.request_id].attempts += 1
                self.after(0.001, lambda: self._submit(number, effect))
            case events.EmitText(request_id):
                seen = self.seen[request_id]
                seen.first = seen.first or self.now
            case events.FinishStream(request_id):
                self.seen[request_id].end = self.now
            case events.Refuse(request_id):
                self.seen[request_id].refused = True
            case events.CancelAttempt(_, request_id, replica):
                self.engines[replica.group].cancel(request_id)

    def _submit(self, number: int, attempt: events.StartAttempt) -> None:
        group, request = attempt.replica.group, attempt.request
        if group in self.dead:
            failure = events.AttemptFailed(
                attempt.attempt_id, Verdict.NOT_RUN, "unreachable"
            )
            self.after(0.001, lambda: self._give(number, failure))
            return
        self._owners[request.request_id] = (number, attempt.attempt_id)
        engine = self.engines[group]
        hit = request.prefix_hashes[0] in engine._cache
        if self.now >= WARM_S:
            self.prompt_tokens += PREFIX_TOKENS
            self.cached_tokens += PREFIX_TOKENS if hit else 0
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
            self.after(step_s, lambda: self._end_step(group))

    def _end_step(self, group: str) -> None:
        self.stepping.discard(group)
        for frame in self.engines[group].end_step():
            number, attempt_id = self._owners[frame.request_id]
            self._give(
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


def share_fairly(asked: dict[str, int], total: float) -> dict[str, float]:
    """Returns the max-min fair shares of what was done."""
    shares: dict[str, float] = {}
    left = dict(asked)
    while left:
        equal = total / len(left)
        small = {w: n for w, n in left.items() if n <= equal}
        if not small:
            return shares | dict.fromkeys(left, equal)
        for name, count in small.items():
            shares[name] = count
            total -= count
            del left[name]
    return shares


def measure(name: str, rate: float, outage: bool = False) -> dict[str, float]:
    """Returns the figures of one policy at one rate of requests a second."""
    arena = Arena(name, rate, outage)
    arena.start()
    arena.run(WARM_S + MEASURED_S)
    counted = [s for s in arena.seen.values() if s.at >= WARM_S]
    first = histogram.HdrHistogram(1, 100_000, 3)
    urgent = histogram.HdrHistogram(1, 100_000, 3)
    for seen in counted:
        if seen.first is not None:
            wait_ms = max(1, round(1000 * (seen.first - seen.at)))
            first.record_value(wait_ms)
            if seen.urgency == 0:
                urgent.record_value(wait_ms)
    ended = [
        s
        for s in arena.seen.values()
        if s.end is not None and s.end >= WARM_S and s.first - s.at < DEADLINE_S
    ]
    done = {w: sum(s.workspace == w for s in ended) for w in WORKSPACES}
    asked = {w: sum(s.workspace == w for s in counted) for w in WORKSPACES}
    fair = share_fairly(asked, len(ended))
    shares = [done[w] / fair[w] for w in WORKSPACES if fair[w]]
    return {
        "p50": first.get_value_at_percentile(50) / 1000,
        "p95": first.get_value_at_percentile(95) / 1000,
        "urgent p99": urgent.get_value_at_percentile(99) / 1000,
        "hits": arena.cached_tokens / max(1, arena.prompt_tokens),
        "goodput": len(ended) / MEASURED_S,
        "refused": sum(s.refused for s in counted) / len(counted),
        "least share": min(shares),
        "extra": sum(s.attempts - 1 for s in counted if s.attempts)
        / len(counted),
    }


def run() -> str:
    """Measures all policies at all loads; returns tables in Markdown."""
    with concurrent.futures.ProcessPoolExecutor(6) as pool:
        flooded = pool.map(
            measure, ["oracle"] * 4, [120.0, 135.0, 150.0, 165.0]
        )
        capacity = max(found["goodput"] for found in flooded)
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
