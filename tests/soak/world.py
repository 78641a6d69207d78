"""One run: the system, its callers and the faults, and what was seen."""

from __future__ import annotations

import asyncio
import collections
import math
import pathlib
import random
import signal
import time

import attrs

from soak import callers, engines, judge as judge_module, links, nodes, plan

CALLERS = 12
# All is joined and started again; after this much time it must serve.
RECOVERY_S = 12.0
START_LIMIT_S = 40.0
PROBES = 30


@attrs.define
class Result:
    """What one run showed.

    Attributes:
        seed: Its seed.
        broken: Promises that were broken, with details.
        faults: How many of each kind came.
        checked: How often each promise was looked at.
        outcomes: Requests by status; 0 is no answer.
    """

    seed: int
    broken: list[str]
    faults: collections.Counter[str]
    checked: collections.Counter[str]
    outcomes: collections.Counter[int]


class World:
    """A small deployment of real processes."""

    def __init__(self, seed: int, folder: pathlib.Path, slot: int) -> None:
        """Makes a deployment; `run` starts it."""
        self.seed = seed
        self.judge = judge_module.Judge()
        self.links = links.Links()
        self._rng = random.Random(f"world {seed}")
        self._slot = slot
        self.nodes: dict[str, nodes.Node] = {}
        for number, zone in enumerate(nodes.ZONES):
            for role, first in (("coordinator", 1), ("gateway", 11)):
                name = f"{zone}-{role}"
                self.nodes[name] = nodes.Node(
                    name, role, zone, first + number, slot, folder / name
                )
        self._trouble = engines.Trouble(random.Random(f"trouble {seed}"))
        self.engines: dict[str, engines.Engine] = {}
        self._places: list[tuple[str, str]] = [
            (zone, domain)
            for zone in nodes.ZONES
            for domain in (f"{zone}-d", f"{zone}-d", f"{zone}-d", "")
        ]
        self._at_place: list[engines.Engine | None] = [None] * len(self._places)
        self._lives = 0
        self._busy: set[str] = set()
        self._open: set[tuple[str, int]] = set()
        self.faults: collections.Counter[str] = collections.Counter()

    @property
    def coordinators(self) -> list[nodes.Node]:
        """The coordinators, in order."""
        return [n for n in self.nodes.values() if n.role == "coordinator"]

    @property
    def gateways(self) -> list[nodes.Node]:
        """The gateways, in order."""
        return [n for n in self.nodes.values() if n.role == "gateway"]

    async def run(self, seconds: float) -> Result:
        """Plays the run of its seed."""
        tasks: list[asyncio.Task] = []
        try:
            operator = await self._start()
            tasks = self._start_callers(operator)
            await self._play(seconds, operator)
            await self._recover(operator)
        finally:
            for task in tasks:
                task.cancel()
            await self._end()
        self.judge.finish()
        counted = collections.Counter(o.status for o in self.judge.outcomes)
        return Result(
            self.seed,
            self.judge.broken,
            self.faults,
            self.judge.checked,
            counted,
        )

    # Start and end.

    async def _start(self) -> callers.Operator:
        seeds = [n.ip for n in self.coordinators]
        for node in self.nodes.values():
            for port in node.ports:
                await self.links.open(node.ip, port, node.bind_ip)
            node.write_settings(seeds, first=node.role == "coordinator")
            node.start()
        for place in range(len(self._places)):
            await self._add_server(place)
        operator = callers.Operator(self.coordinators, self.judge, self._rng)
        await operator.change()
        probe = callers.Caller("p", self.gateways, self.judge, self._rng)
        good = 0
        ends = time.monotonic() + START_LIMIT_S
        while good < 15:
            outcome = await probe.call()
            good = good + 1 if outcome.status == 200 else 0
            if time.monotonic() > ends:
                raise TimeoutError("the system did not begin to serve")
            await asyncio.sleep(0.05)
        for node in self.coordinators:
            # Only the very first start may found the log.
            node.write_settings(seeds, first=False)
        return operator

    def _start_callers(self, operator: callers.Operator) -> list[asyncio.Task]:
        working = [
            callers.Caller(
                f"c{n}",
                self.gateways,
                self.judge,
                random.Random(f"{self.seed} {n}"),
            ).run()
            for n in range(CALLERS)
        ]
        return [asyncio.ensure_future(w) for w in (*working, operator.run())]

    async def _end(self) -> None:
        for node in self.nodes.values():
            self._check_own_end(node)
            await node.kill()
        for engine in self.engines.values():
            if engine.alive:
                engine.crash()
        self.links.close()

    def _check_own_end(self, node: nodes.Node) -> None:
        code = node.find_own_end()
        if code is not None:
            self.judge.complain("no end of its own", f"{node.name}: {code}")

    async def _add_server(self, place: int) -> None:
        zone, domain = self._places[place]
        self._lives += 1
        name = f"s{place}-{self._lives}"
        ips = [f"127.{78 + self._slot}.{block}.{place + 1}" for block in (3, 4)]
        own = [n for n in self.coordinators if n.zone == zone]
        others = [n for n in self.coordinators if n.zone != zone]
        engine = engines.Engine(
            name,
            ip=ips[0],
            bind_ip=ips[1],
            zone=zone,
            domain=domain,
            controls=[f"{n.ip}:{nodes.CONTROL_PORT}" for n in (*own, *others)],
            judge=self.judge,
            trouble=self._trouble,
            everyone=self.engines,
        )
        if (ips[0], engines.PORT) not in self._open:
            self._open.add((ips[0], engines.PORT))
            await self.links.open(ips[0], engines.PORT, ips[1])
        self.engines[name] = engine
        self._at_place[place] = engine
        await engine.start()

    # Faults.

    async def _play(self, seconds: float, operator: callers.Operator) -> None:
        began = time.monotonic()
        drawn = plan.draw_plan(
            self.seed,
            seconds=seconds,
            gateways=[n.name for n in self.gateways],
            coordinators=[n.name for n in self.coordinators],
            servers=len(self._places),
        )
        acting = set()
        for at, fault in drawn:
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            for node in self.nodes.values():
                self._check_own_end(node)
            self.faults[type(fault).__name__] += 1
            acting.add(asyncio.ensure_future(self._act(fault, operator)))
        await asyncio.gather(*acting)

    async def _act(self, fault: plan.Fault, operator: callers.Operator) -> None:
        match fault:
            case plan.Kill(name, down_s, torn):
                await self._restart(self.nodes[name], down_s, torn=torn)
            case plan.KillMany(role, down_s):
                hit = [n for n in self.nodes.values() if n.role == role]
                await asyncio.gather(*(self._restart(n, down_s) for n in hit))
            case plan.Wipe(name, down_s):
                await self._restart(self.nodes[name], down_s, wiped=True)
            case plan.Terminate(name):
                await self._restart(self.nodes[name], 0.3, planned=True)
            case plan.Pause(name, for_s):
                self.nodes[name].send(signal.SIGSTOP)
                await asyncio.sleep(for_s)
                self.nodes[name].send(signal.SIGCONT)
            case plan.Reload(name):
                self.nodes[name].send(signal.SIGHUP)
            case plan.Cut(names, for_s, way):
                await self._cut(names, for_s, way)
            case plan.Delay(name, for_s, delay_s):
                ips = frozenset({self.nodes[name].bind_ip})
                await self._rule(
                    for_s,
                    links.Rule(ips, None, delay_s),
                    links.Rule(None, ips, delay_s),
                )
            case plan.Reset(name):
                for found in self._find_connections(name):
                    found.reset()
            case plan.Silence(name):
                for found in self._find_connections(name):
                    found.is_silent = True
            case plan.Crash(place, down_s):
                await self._replace_server(place, down_s)
            case plan.Drain(place):
                await self._retire_server(place)
            case plan.Change(racing):
                await operator.change(racing=racing)
            case plan.LoseAnswers(share, for_s):
                self._trouble.lost_share = share
                await asyncio.sleep(for_s)
                self._trouble.lost_share = 0.0
            case plan.DelayOrders(share, for_s):
                self._trouble.late_share = share
                await asyncio.sleep(for_s)
                self._trouble.late_share = 0.0

    def _find_connections(self, name: str) -> list[links.Connection]:
        return self.links.find(frozenset({self.nodes[name].bind_ip}))

    async def _restart(
        self,
        node: nodes.Node,
        down_s: float,
        *,
        torn: bool = False,
        wiped: bool = False,
        planned: bool = False,
    ) -> None:
        if node.name in self._busy:
            # It is down already, and comes back by the fault before.
            return
        self._busy.add(node.name)
        await (node.stop() if planned else node.kill())
        if torn:
            node.tear()
        if wiped:
            node.wipe()
        await asyncio.sleep(down_s)
        node.start()
        self._busy.discard(node.name)

    async def _cut(
        self, names: tuple[str, ...], for_s: float, way: str
    ) -> None:
        ips = frozenset(self.nodes[name].bind_ip for name in names)
        rules = []
        if way in ("out", "both"):
            rules.append(links.Rule(ips, None, math.inf))
        if way in ("in", "both"):
            rules.append(links.Rule(None, ips, math.inf))
        await self._rule(for_s, *rules)

    async def _rule(self, for_s: float, *rules: links.Rule) -> None:
        for rule in rules:
            self.links.add(rule)
        await asyncio.sleep(for_s)
        for rule in rules:
            self.links.remove(rule)

    async def _replace_server(self, place: int, down_s: float) -> None:
        engine, self._at_place[place] = self._at_place[place], None
        if engine is None:
            return
        engine.crash()
        await asyncio.sleep(down_s)
        await self._add_server(place)

    async def _retire_server(self, place: int) -> None:
        engine, self._at_place[place] = self._at_place[place], None
        if engine is None:
            return
        await engine.leave()
        await asyncio.sleep(0.5)
        await self._add_server(place)

    # Recovery.

    async def _recover(self, operator: callers.Operator) -> None:
        """Checks that all serves again once the faults are over."""
        await asyncio.sleep(RECOVERY_S)
        version = await operator.read()
        if version < max(1, self.judge.acknowledged):
            self.judge.complain("a read after recovery", f"gives {version}")
        for gateway in self.gateways:
            probe = callers.Caller(
                f"r{gateway.number}", [gateway], self.judge, self._rng
            )
            found = [await probe.call() for _ in range(PROBES)]
            bad = [o for o in found if o.status != 200]
            if len(bad) > PROBES // 10:
                statuses = [o.status for o in bad]
                self.judge.complain(
                    "it serves after recovery", f"{gateway.name}: {statuses}"
                )
