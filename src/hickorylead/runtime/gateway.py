"""The shell of a gateway: listeners, connections to replicas, signals."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING, Any

import attrs
from starlette import applications, responses, routing

from hickorylead import notes
from hickorylead.admission import budget as budget_module
from hickorylead.forwarding import events, routes as routes_module
from hickorylead.roles import gateway as gateway_role, interface, nodes
from hickorylead.runtime import (
    clock,
    forwarding,
    listener as listener_module,
    peers as peers_module,
    scrape,
    server as server_module,
    ticker,
    upstream,
)
from hickorylead.telemetry import decisions

if TYPE_CHECKING:
    from collections.abc import Callable
    import socket

    from returns import result
    from starlette import requests

    from hickorylead.configuration import document as document_module
    from hickorylead.forwarding import header_codec as header_codec_module

# A balancer that asks once a second and takes a node out after two misses
# sends new connections for up to this long after the first miss, in seconds.
BALANCER_S = 2.6
# What is left of the time until SIGKILL for the process to end, in seconds.
END_MARGIN_S = 0.5
POLL_S = 0.05
CLOSE_IDLE_PERIOD_S = 0.5


@attrs.frozen
class Settings:
    """What a gateway is told.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        ip: IP number by which others reach it.
        caller_port: Port for callers.
        ready_port: Port of the readiness check.
        peer_port: Port for the other processes of the system.
        seeds: Peer addresses of a few coordinators.
        metrics_port: Port for scrapes; 0 for none.
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        retry_limits: Retries that all gateways may make together.
        bind_ip: IP number that it binds; empty if it is `ip`.
    """

    vm: str
    zone: str
    ip: str
    caller_port: int
    ready_port: int
    peer_port: int
    seeds: tuple[str, ...]
    metrics_port: int
    grace_s: float
    retry_limits: budget_module.RetryLimits = budget_module.DEFAULT_RETRY_LIMITS
    bind_ip: str = ""

    @property
    def listen_ip(self) -> str:
        """The IP number on which it listens."""
        return self.bind_ip or self.ip


class GatewayProcess:
    """One gateway process."""

    def __init__(
        self,
        settings: Settings,
        *,
        dialect: header_codec_module.HeaderCodec,
        read_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        reload: Callable[[], Settings],
        log: decisions.DecisionLog,
        opened: socket.socket | None = None,
    ) -> None:
        """Makes a gateway; `run` starts it.

        Args:
            settings: What it is told.
            dialect: Names and formats of callers and replicas.
            read_document: Reads a whole configuration.
            reload: Reads the settings again.
            log: Where decisions are written.
            opened: The port for callers, if that is open already.
        """
        self.settings = settings
        self._opened = opened
        self.name = f"{settings.vm}.{random.getrandbits(24):x}"
        node = nodes.make_node_name(settings.zone, settings.vm, nodes.GATEWAY)
        now = clock.read_boottime()
        self._rng = random.Random(f"{node} {clock.read_wall()}")
        self._reload = reload
        self._log = log
        self._dialect = dialect
        self._limits = listener_module.ListenerLimits()
        self._pool = upstream.Pool(settings.bind_ip)
        self._exchanges: dict[tuple[str, int], upstream.Exchange] = {}
        self._stop = asyncio.Event()
        self._configured = asyncio.Event()
        # Requests that wait for the first configuration.
        self.waiting_to_start = 0
        self.response_writers: dict[str, forwarding.ResponseWriter] = {}
        self.role = gateway_role.Gateway(
            gateway_role.Identity(
                node=node,
                boot=self._rng.getrandbits(40),
                seeds=settings.seeds,
                retry_limits=settings.retry_limits,
            ),
            read_document=read_document,
            rng=self._rng,
            now=now,
        )
        self._peers = peers_module.Peers(
            node=node,
            address=f"{settings.ip}:{settings.peer_port}",
            known={},
            deliver=self._receive,
            log=log,
            bind_ip=settings.bind_ip,
        )

    async def run(self) -> None:
        """Serves until the process is asked to stop."""
        settings = self.settings
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._take_new_settings)
        listener = listener_module.Listener(
            forwarding.Application(self, self._dialect),
            settings.listen_ip,
            settings.caller_port,
            self._limits,
            opened=self._opened,
        )
        ready = server_module.HttpServer(
            self._make_ready_app(), settings.listen_ip, settings.ready_port
        )
        await self._peers.start()
        await ready.start()
        await listener.start()
        scraped = await scrape.serve(
            self._log,
            self.settings.listen_ip,
            self.settings.metrics_port,
            self._gauge,
        )
        self._log.write(notes.note("started", node=self.name))
        ticking = [
            asyncio.ensure_future(
                ticker.tick_forever(self._choose_pause, self._tick, self._log)
            ),
            asyncio.ensure_future(
                ticker.tick_forever(
                    CLOSE_IDLE_PERIOD_S, self._pool.close_idle, self._log
                )
            ),
        ]
        await self._stop.wait()
        await self._drain(listener)
        for task in ticking:
            task.cancel()
        self._pool.close()
        await listener.close()
        await ready.close()
        if scraped is not None:
            await scraped.close()
        await self._peers.close()
        self._log.write(notes.note("stopped"))
        self._log.flush()

    async def _drain(self, listener: listener_module.Listener) -> None:
        """Ends without cutting a request.

        The balancer goes on sending callers here until it has seen twice that
        this gateway is not ready; a connection refused before that is a
        request lost.
        """
        began = clock.read_boottime()
        ends = began + max(0.5, self.settings.grace_s - END_MARGIN_S)
        self._limits.close_after_response = True
        self.apply(interface.StopRequested())
        while clock.read_boottime() < min(began + BALANCER_S, ends):
            await asyncio.sleep(POLL_S)
        listener.stop_listening()
        while self.response_writers and clock.read_boottime() < ends:
            await asyncio.sleep(POLL_S)
            listener.close_idle()

    async def wait_for_routes(
        self, limit_s: float
    ) -> routes_module.RouteTable | None:
        """Returns the routes, once there are any; None after a time."""
        if self.role.routes is None:
            self.waiting_to_start += 1
            try:
                async with asyncio.timeout(limit_s):
                    await self._configured.wait()
            except TimeoutError:
                # The caller is told when to come back.
                pass
            finally:
                self.waiting_to_start -= 1
        return self.role.routes

    def write_log(self, note: notes.Note) -> None:
        """Writes a line of the log."""
        self._log.write(note)

    def choose_service(self, route: document_module.Route) -> str:
        """Returns a service of a route, drawn by weight."""
        return routes_module.choose_service(route, self._rng)

    def apply(self, event: gateway_role.GatewayEvent) -> None:
        """Gives an event to the reducer and carries out its effects."""
        now = clock.read_boottime()
        for effect in self.role.reduce(event, now):
            self._carry_out(effect)

    def _carry_out(self, effect: gateway_role.GatewayEffect) -> None:
        match effect:
            case notes.Note():
                self._log.write(effect)
                if effect.event == "configuration_applied":
                    self._configured.set()
                    self._take_limits()
            case interface.Send(node, message):
                self._peers.send(node, message)
            case events.StartAttempt():
                self._open(effect)
            case events.CancelAttempt(request_id, attempt):
                exchange = self._exchanges.pop((request_id, attempt), None)
                if exchange is not None:
                    exchange.cancel()
            case interface.Stopped():
                pass
            case _:
                caller = self.response_writers.get(effect.request_id)
                if caller is not None:
                    caller.write(effect)

    def _open(self, opened: events.StartAttempt) -> None:
        request = opened.request
        attempt = forwarding.AttemptReceiver(
            opened, dialect=self._dialect, deliver=self._deliver
        )
        data = self._dialect.encode_request_head(opened) + request.body
        self._exchanges[request.request_id, opened.attempt] = (
            self._pool.send_request(opened.replica.address, data, attempt)
        )

    def _deliver(self, event: events.Event) -> None:
        if isinstance(event, events.ResponseCompleted | events.AttemptFailed):
            self._exchanges.pop((event.request_id, event.attempt), None)
        self.apply(event)

    def _gauge(self) -> dict[str, float]:
        document = self.role.document
        return {
            "open_requests": self.role.count_open(),
            "blocked_contents": self.role.count_blocked_requests(),
            "limited_replicas": self.role.count_rate_limited_replicas(),
            "paused_servers": self.role.count_paused_servers(
                clock.read_boottime()
            ),
            "configuration_version": document.version if document else 0,
            "ready": float(self.role.is_ready()),
            "connections_opened_total": self._pool.opened,
            **self.role.count_replicas(),
        }

    def _receive(self, sender: str, message: interface.Message) -> None:
        self.apply(interface.MessageArrived(sender, message, clock.read_wall()))

    def _choose_pause(self) -> float:
        """Returns the pause to the next tick, in seconds."""
        return self.role.get_tick_delay(clock.read_boottime())

    def _tick(self) -> None:
        self.apply(interface.Tick(clock.read_wall()))

    def _take_limits(self) -> None:
        document = self.role.document
        if document is not None:
            limits = document.limits
            self._limits.max_header_bytes = limits.max_header_bytes
            self._limits.header_timeout_s = limits.header_timeout_s
            self._limits.idle_timeout_s = limits.idle_timeout_s

    def _take_new_settings(self) -> None:
        try:
            settings = self._reload()
        except Exception as error:  # noqa: BLE001 - said, and nothing changes
            self._log.write(
                notes.note("reload_failed", level="error", why=str(error))
            )
            return
        self.settings = settings
        self.role.set_seeds(settings.seeds)
        self._log.write(notes.note("reloaded", seeds=list(settings.seeds)))

    def _make_ready_app(self) -> applications.Starlette:
        async def tell_readiness(_: requests.Request) -> responses.Response:
            ready = self.role.is_ready()
            return responses.Response(status_code=200 if ready else 503)

        async def tell_health(_: requests.Request) -> responses.Response:
            return responses.PlainTextResponse("ok\n")

        routes: list[Any] = [
            routing.Route("/ready", tell_readiness),
            routing.Route("/healthz", tell_health),
        ]
        return applications.Starlette(routes=routes)
