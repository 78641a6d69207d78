"""Random planned stops of one gateway, in simulated time.

Run as `python tests/support/stop_schedules.py FIRST COUNT` from the root.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import pathlib
import random
import signal
import sys
from unittest import mock

if __name__ == "__main__":
    ROOT = pathlib.Path(__file__).resolve().parents[2]
    sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import attrs
from returns import result

from hickorylead.configuration import document
from hickorylead.fleet import instances, messages
from hickorylead.forwarding import model
from hickorylead.platform import headers
from hickorylead.relaying import messages as relay_messages, relay_directory
from hickorylead.runtime import (
    forwarding,
    gateway,
    gateway_settings,
    relay_client,
    relay_server,
    upstream,
)
from support import (
    simulated_network,
    stop_callers,
    stop_judge,
    stop_replicas,
)

GATEWAY_IP, CALLER_PORT = stop_callers.CALLER_ADDRESS
NEAR_IP, FAR_IP, RELAY_IP = "10.0.1.1", "10.0.3.1", "10.0.2.1"
REPLICA_PORT, RELAY_PORT = 8000, 8100
COORDINATOR = "z1/a/coordinator"
START_S = 1000.0
# From the start of the gateway to the earliest stop, in seconds.
WARM_UP_S = 0.5


class Log:
    """The log of the gateway."""

    def __init__(self) -> None:
        """Makes an empty log."""
        self.metrics = None
        self.notes = []
        self.warnings = []

    def write(self, note) -> None:
        """Writes a note."""
        self.notes.append(note)

    def warn(self, message, **fields) -> None:
        """Writes a line about a handled failure."""
        self.warnings.append((message, fields))

    def flush(self) -> None:
        """Does nothing."""


class ErrorHandler(logging.Handler):
    """Collects the errors that the HTTP server prints as text."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.texts = []

    def emit(self, record) -> None:
        """Collects an error."""
        error = record.exc_info[1] if record.exc_info else None
        self.texts.append(f"{record.getMessage().strip()} {error!r}")


def make_document(version: int, rng: random.Random, span_s: float):
    """Returns a configuration with random time limits."""

    def make_route(name, kind, service, **fields):
        return document.Route(
            name,
            "host",
            f"/{name}/",
            kind,
            (document.Target(service, 1.0),),
            rng.choice((span_s / 2, span_s, 2 * span_s, 8.0)),
            4.0,
            needs_key=False,
            **fields,
        )

    kinds = document.RouteKind
    connections = rng.choice((0, 0, 1))
    return document.Document(
        version,
        (
            make_route("drafts", kinds.STREAM, "near", max_event_gap_s=4.0),
            make_route("far", kinds.STREAM, "far", max_event_gap_s=4.0),
            make_route("alerts", kinds.NON_IDEMPOTENT, "near"),
            make_route("notices", kinds.IDEMPOTENT, "near", max_attempts=2),
        ),
        (
            document.Service("near", max_connections=connections),
            document.Service("far"),
        ),
    )


class Schedule:
    """One random schedule of a gateway that is stopped."""

    def __init__(self, seed: int) -> None:
        """Draws what happens."""
        rng = self._rng = random.Random(seed)
        self.grace_s = rng.choice((2.0, 3.0, 4.0, 6.0, 8.0))
        self.stop_s = WARM_UP_S + rng.uniform(0.0, 2.0)
        self.document = make_document(1, rng, self.grace_s)
        self.changed = rng.choice(
            (
                attrs.evolve(self.document, version=2),
                make_document(2, rng, self.grace_s),
            )
        )
        self.plans: dict[str, stop_callers.Plan] = {}
        self._callers = []
        for number in range(rng.choice((1, 2, 3, 5))):
            plans = stop_callers.draw_plans(
                rng, f"c{number}", rng.choice((1, 3, 30)), self.grace_s
            )
            self.plans.update({plan.attempt_id: plan for plan in plans})
            begin_s = rng.uniform(0.0, self.stop_s + 0.5 * self.grace_s)
            self._callers.append((begin_s, plans))
        relayed = stop_callers.draw_plans(
            rng, stop_callers.RELAYED, rng.choice((0, 0, 1, 3)), self.grace_s
        )
        self.plans.update({plan.attempt_id: plan for plan in relayed})
        self._relayed = [
            (rng.uniform(0.0, self.stop_s + 1.0), plan) for plan in relayed
        ]
        # When the first configuration arrives.
        self._configured_s = rng.choice(
            (0.0, 0.0, 0.0, 0.0, self.stop_s + rng.uniform(-0.3, 0.3))
        )
        self.is_late = self._configured_s > 0.0
        # Signals and changes, by the time after SIGTERM.
        self.extras = [
            (self.stop_s + rng.uniform(-0.3, 0.3), kind)
            for kind in ("SIGHUP", "change", "SIGTERM")
            if rng.random() < 0.25
        ]
        self.log = Log()
        self.seen: list[stop_callers.Seen] = []
        self.runs: list[stop_replicas.Run] = []
        self.relayed: list[stop_replicas.Relayed] = []
        self.stopped_at = self.exited_at = 0.0
        # Errors of handlers, and those that the HTTP server writes as text.
        self.texts: list[str] = []

    def run(self) -> stop_judge.Outcome:
        """Runs the schedule."""
        handler = ErrorHandler()
        loggers = [logging.getLogger(n) for n in ("uvicorn.error", "asyncio")]
        for logger in loggers:
            logger.addHandler(handler)
            logger.propagate = False
        try:
            with (
                simulated_network.simulate(START_S) as loop,
                mock.patch.object(
                    forwarding.Application, "__call__", self._make_handler()
                ),
            ):
                loop.run_until_complete(self._run(loop))
        finally:
            for logger in loggers:
                logger.removeHandler(handler)
                logger.propagate = True
        self.texts += handler.texts
        return stop_judge.judge(self)

    def _make_handler(self):
        """Returns the application's method, which records its errors."""
        call = forwarding.Application.__call__

        async def handle(app, scope, receive, send) -> None:
            try:
                await call(app, scope, receive, send)
            except BaseException as error:
                self.texts.append(repr(error))
                raise

        return handle

    async def _run(self, loop: simulated_network.Loop) -> None:
        self._loop = loop
        relay = await self._start_peers()
        own_tasks = {asyncio.current_task()}
        process = self._process = self._make_process()
        task = asyncio.ensure_future(process.run())
        while (GATEWAY_IP, CALLER_PORT) not in loop.servers:
            await asyncio.sleep(0.001)
        self._inform()
        began_at = loop.time()
        for at_s, action in [
            (self._configured_s, lambda: self._configure(self.document)),
            (self.stop_s, self._stop),
            *((at_s, lambda k=kind: self._do(k)) for at_s, kind in self.extras),
        ]:
            loop.call_at(began_at + at_s, action)
        callers = [
            asyncio.ensure_future(self._call(began_at + at_s, plans))
            for at_s, plans in self._callers
        ]
        pool = relay_client.RelayPool(lambda *_, **__: None)
        for at_s, plan in self._relayed:
            loop.call_at(began_at + at_s, self._relay, pool, plan)
        own_tasks.update(callers)
        await task
        # The end of the event loop, then that of the process.
        left = asyncio.all_tasks() - own_tasks
        for other in left:
            other.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        await asyncio.sleep(0)
        self.exited_at = loop.time()
        loop.end_process()
        await asyncio.gather(*callers)
        # What the gateway's end closes reaches replicas behind the relay.
        await asyncio.sleep(3 * simulated_network.LATENCY_S)
        relay.close()
        pool.close()
        await asyncio.sleep(0.1)

    async def _call(self, begin_at: float, plans) -> None:
        await asyncio.sleep(max(0.0, begin_at - self._loop.time()))
        await stop_callers.send(self._loop, plans, self.seen)

    def _relay(self, pool: relay_client.RelayPool, plan) -> None:
        """Sends a request through the gateway as another gateway does."""
        receiver = stop_replicas.Relayed(plan)
        self.relayed.append(receiver)
        identity = self._process.role._parts.identity
        pool.send_request(
            relay_directory.Relay(
                identity.node,
                f"{GATEWAY_IP}:{CALLER_PORT + 3}",
                identity.relay_token,
                frozenset(),
                0.0,
            ),
            model.Replica(
                "near0", "near", "", f"{NEAR_IP}:{REPLICA_PORT}", "z1", 4
            ),
            b"".join(part for _, part in attrs.evolve(plan, pieces=0).encode()),
            60.0,
            receiver,
        )

    async def _start_peers(self) -> relay_server.RelayServer:
        for ip in (NEAR_IP, FAR_IP):
            await self._loop.create_server(
                lambda: stop_replicas.Replica(self.plans, self.runs),
                ip,
                REPLICA_PORT,
            )
        self._loop.unreachable.add(FAR_IP)
        relay = relay_server.RelayServer(
            pool=upstream.Pool(),
            check=lambda _: "",
            report_failure=lambda *_: None,
            write_log=lambda _: None,
            warn=lambda *_, **__: None,
        )
        await relay.start(RELAY_IP, RELAY_PORT)
        return relay

    def _make_process(self) -> gateway.GatewayProcess:
        settings = gateway_settings.Settings(
            "front1",
            "z1",
            GATEWAY_IP,
            CALLER_PORT,
            CALLER_PORT + 1,
            CALLER_PORT + 2,
            (),
            0,
            self.grace_s,
            bind_ip=GATEWAY_IP,
            relay_port=CALLER_PORT + 3,
        )
        documents = {b"1": self.document, b"2": self.changed}
        process = gateway.GatewayProcess(
            settings,
            header_codec=headers.PlatformHeaderCodec(),
            decode_document=lambda content: result.Success(documents[content]),
            reload=lambda: settings,
            log=self.log,
        )
        # The coordinator has lent it all common retries.
        process.role._limits.set_gateway_count(1, 0.0, is_settled=True)
        process.role._permits.set_gateway_count(1)
        process.role._limits.retries.set_loan(1.0, float("inf"))
        return process

    def _inform(self) -> None:
        """Tells the gateway about servers and a relay."""
        servers = [
            instances.Instance(
                f"{service}{number}",
                service,
                f"{ip}:{REPLICA_PORT}",
                zone,
                slots=4,
                sequence=1,
            )
            for service, ip, zone in (
                ("near", NEAR_IP, "z1"),
                ("far", FAR_IP, "z2"),
            )
            for number in range(2)
        ]
        self._process._receive(
            COORDINATOR, messages.InstanceNews(COORDINATOR, tuple(servers))
        )
        self._offer()

    def _offer(self) -> None:
        node = self._process.role._parts.identity.node
        self._process._receive(
            COORDINATOR,
            relay_messages.RelayOffer(
                node,
                "z1/front2/gateway",
                f"{RELAY_IP}:{RELAY_PORT}",
                "token",
                (relay_messages.Scope("far", "z2"),),
            ),
        )
        if not self.exited_at:
            self._loop.call_later(1.0, self._offer)

    def _configure(self, found: document.Document) -> None:
        content = b"%d" % found.version
        self._process._receive(
            COORDINATOR,
            messages.DocumentUpdate(COORDINATOR, found.version, content, True),
        )

    def _stop(self) -> None:
        if not self.stopped_at:
            self.stopped_at = self._loop.time()
        self._loop.handlers[signal.SIGTERM]()

    def _do(self, kind: str) -> None:
        match kind:
            case "SIGHUP":
                self._loop.handlers[signal.SIGHUP]()
            case "SIGTERM":
                self._stop()
            case "change":
                self._configure(self.changed)


def run_schedules(first: int, count: int) -> dict[int, stop_judge.Outcome]:
    """Returns the outcomes of schedules by seed."""
    return {seed: Schedule(seed).run() for seed in range(first, first + count)}


def main() -> int:
    """Prints the outcomes; returns 1 if a promise was violated."""
    first, count = (int(argument) for argument in sys.argv[1:3])
    outcomes = run_schedules(first, count)
    totals: collections.Counter[str] = collections.Counter()
    kinds: collections.Counter[str] = collections.Counter()
    for seed, outcome in outcomes.items():
        totals += outcome.counts
        kinds.update({line.partition(":")[0] for line in outcome.violations})
        for line in outcome.violations:
            print(f"seed {seed}: {line}")  # noqa: T201
    failed = sum(bool(outcome.violations) for outcome in outcomes.values())
    print(dict(sorted(totals.items())))  # noqa: T201
    print(f"{count} schedules, {failed} with violations", dict(kinds))  # noqa: T201
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
