"""The gateway process: listeners, connections to replicas, signals."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
from typing import TYPE_CHECKING

from hickorylead import isolation, notes
from hickorylead.draining import (
    descriptions as owed_descriptions,
    drain as drain_module,
    owed as owed_module,
)
from hickorylead.forwarding import events, model, routes as routes_module
from hickorylead.roles import (
    gateway as gateway_role,
    gateway_parts,
    interface,
    nodes,
)
from hickorylead.runtime import (
    clock,
    drainer,
    exchanges,
    forwarding,
    handler_failures,
    intake as intake_module,
    listener as listener_module,
    peers as peers_module,
    readiness,
    relay_endpoint,
    reload_signal,
    response_writer,
    scrape,
    server as server_module,
    tasks,
    ticker,
    upstream,
)
from hickorylead.telemetry import decisions

if TYPE_CHECKING:
    from collections.abc import Callable
    import socket

    from returns import result

    from hickorylead.configuration import document as document_module
    from hickorylead.forwarding import header_codec as header_codec_module
    from hickorylead.runtime import gateway_settings

# How long a balancer may still send new connections after the gateway becomes
# not ready, in seconds. The balancer probes once a second and removes a node
# after two failed probes.
BALANCER_DETECTION_S = 2.6
RELAY_TOKEN_BYTES = 16
CLOSE_IDLE_PERIOD_S = 0.5


class GatewayProcess:
    """One gateway process."""

    def __init__(
        self,
        settings: gateway_settings.Settings,
        *,
        header_codec: header_codec_module.HeaderCodec,
        decode_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        reload: Callable[[], gateway_settings.Settings],
        log: decisions.DecisionLog,
        listening_socket: socket.socket | None = None,
    ) -> None:
        """Makes a gateway; `run` starts it.

        Args:
            settings: Its settings.
            header_codec: Encodes and decodes headers of callers and replicas.
            decode_document: Decodes a complete configuration.
            reload: Loads the settings again.
            log: Log of decisions.
            listening_socket: Socket of the port for callers, if it is already
                open.
        """
        self.settings = settings
        self._listening_socket = listening_socket
        self.name = f"{settings.vm}.{random.getrandbits(24):x}"
        node = nodes.make_node_name(settings.zone, settings.vm, nodes.GATEWAY)
        now = clock.read_boottime()
        self._rng = random.Random(f"{node} {clock.read_wall()}")
        self._reload = reload
        self._log = log
        self._header_codec = header_codec
        self._limits = listener_module.ListenerLimits()
        self._intake = intake_module.Intake(
            settings.memory_mb, settings.max_descriptors, log.write
        )
        self._pool = upstream.Pool(settings.bind_ip)
        self._stop = asyncio.Event()
        self._configured = asyncio.Event()
        # Number of requests that wait for the first configuration.
        self.waiting_for_configuration = 0
        self.response_writers: dict[str, response_writer.ResponseWriter] = {}
        self.role = gateway_role.Gateway(
            gateway_parts.Identity(
                node=node,
                boot=self._rng.getrandbits(40),
                seeds=settings.seeds,
                retry_limits=settings.retry_limits,
                relay_address=(
                    f"{settings.ip}:{settings.relay_port}"
                    if settings.relay_port
                    else ""
                ),
                relay_token=secrets.token_hex(RELAY_TOKEN_BYTES),
            ),
            decode_document=decode_document,
            rng=self._rng,
            now=now,
        )
        self.role.set_buffer_limit(self._intake.limits.max_buffered_bytes)
        self._peers = peers_module.Peers(
            node=node,
            address=f"{settings.ip}:{settings.peer_port}",
            addresses={},
            deliver=self._receive,
            log=log,
            bind_ip=settings.bind_ip,
        )
        self._relays = relay_endpoint.RelayEndpoint(
            self.role,
            pool=self._pool,
            report_failure=self._report_failure,
            write_log=log.write,
            warn=log.warn,
            bind_ip=settings.bind_ip,
        )
        self._exchanges = exchanges.Exchanges(
            pool=self._pool,
            relay_pool=self._relays.pool,
            header_codec=header_codec,
            apply=self.apply,
        )
        self._next_tick = now
        self._limits.accept_connection = lambda: self.role.accept_connection(
            clock.read_boottime()
        )
        self._limits.report_close = self._report_close
        self._limits.report_queued = self._report_queued
        self._tasks = tasks.TaskSet(log)

    async def run(self) -> None:
        """Serves until the process receives SIGTERM or SIGINT."""
        settings = self.settings
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        reload_signal.handle(loop, self._reload_settings)
        listener = listener_module.Listener(
            forwarding.Application(self, self._header_codec),
            settings.listen_ip,
            settings.caller_port,
            self._limits,
            listening_socket=self._listening_socket,
            report_failure=handler_failures.make_reporter(self._log),
            intake=self._intake,
        )
        ready = server_module.HttpServer(
            readiness.make_app(self.role.is_ready),
            settings.listen_ip,
            settings.ready_port,
            report_failure=handler_failures.make_reporter(self._log),
            intake=self._intake,
            port_name=intake_module.READINESS,
        )
        tasks.report_unhandled(self._log)
        await self._peers.start()
        await ready.start()
        tasks.stop_on_end(ready.task, self._stop)
        await self._relays.start(settings.listen_ip, settings.relay_port)
        await listener.start()
        tasks.stop_on_end(listener.task, self._stop)
        metrics_server = await scrape.serve(
            self._log,
            self.settings.listen_ip,
            self.settings.metrics_port,
            self._collect_gauges,
            self._intake,
        )
        self._log.write(notes.note("started", node=self.name))
        self._tasks.keep_running(
            "ticks",
            lambda: ticker.tick_forever(
                self._get_tick_delay, self._tick, self._log
            ),
        )
        self._tasks.keep_running(
            "closing of idle connections",
            lambda: ticker.tick_forever(
                CLOSE_IDLE_PERIOD_S, self._close_idle, self._log
            ),
        )
        await self._stop.wait()
        await self._drain(listener)
        await self._tasks.close()
        self._relays.close()
        self._pool.close()
        servers = [
            listener,
            ready,
            *([metrics_server] if metrics_server else []),
        ]
        await asyncio.gather(*(server.close() for server in servers))
        await self._peers.close()
        self._log.write(notes.note("stopped"))
        self._log.flush()

    async def _drain(self, listener: listener_module.Listener) -> None:
        """Finishes the pending requests before the process ends.

        The balancer sends new connections to this gateway until two of its
        probes have found the gateway not ready. If a connection is refused
        before then, its request is lost.
        """
        now = clock.read_boottime()
        drain = drain_module.Drain(
            grace_s=self.settings.grace_s,
            detection_s=BALANCER_DETECTION_S,
            now=now,
        )
        self.apply(interface.StopRequested(drain.ends_at - now))
        # Requests that wait for the first configuration are refused.
        self._configured.set()
        await drainer.Drainer(
            listener,
            drain,
            end=lambda owed: self._end_owed(listener, owed),
            count_others=self._relays.server.count_owed,
            end_others=self._relays.server.end_exchanges,
            write_log=self._log.write,
        ).run()

    def _end_owed(
        self, listener: listener_module.Listener, owed: owed_module.Owed
    ) -> None:
        """Ends a request that is left when the time of a stop is over."""
        if owed.phase is owed_module.Phase.HEAD:
            drainer.refuse(listener, owed, self._log.write)
        else:
            self.apply(events.TimeOver(owed.request_id))

    async def wait_for_routes(
        self, limit_s: float
    ) -> routes_module.RouteTable | None:
        """Returns the routes once there are any; None after a timeout."""
        if self.role.routes is None:
            self.waiting_for_configuration += 1
            try:
                async with asyncio.timeout(limit_s):
                    await self._configured.wait()
            except TimeoutError:
                # The request is refused with a Retry-After.
                pass
            finally:
                self.waiting_for_configuration -= 1
        return self.role.routes

    def write_log(self, note: notes.Note) -> None:
        """Writes a log line."""
        self._log.write(note)

    def choose_service(self, route: document_module.Route) -> str:
        """Returns a service of a route, drawn by weight."""
        return routes_module.choose_service(route, self._rng)

    def apply(self, event: gateway_role.GatewayEvent) -> None:
        """Passes an event to the reducer and carries out its effects."""
        now = clock.read_boottime()
        isolation.carry_out_all(
            self.role.reduce(event, now), self._carry_out, self._log.write
        )

    def _carry_out(self, effect: gateway_role.GatewayEffect) -> None:
        match effect:
            case notes.Note():
                self._log.write(effect)
                if effect.event == "configuration_applied":
                    self._configured.set()
                    self._apply_limits()
            case interface.Send(node, message):
                self._peers.send(node, message)
            case events.StartAttempt():
                self._exchanges.start(effect)
            case events.ProbeServer(replica):
                self._tasks.start(
                    f"probe of {replica.address}", self._probe(replica)
                )
            case events.CancelAttempt(request_id, attempt):
                self._exchanges.cancel(request_id, attempt)
            case interface.Stopped():
                pass
            case _:
                writer = self.response_writers.get(effect.request_id)
                if writer is not None:
                    writer.write(effect)

    async def _probe(self, replica: model.Replica) -> None:
        failure = await self._pool.probe(replica.address)
        self.apply(events.ServerProbed(replica, failure))

    def _report_failure(self, server: str, failure: str) -> None:
        """Records that the relay could not connect to a server."""
        replica = self.role.find_replica(server)
        if replica is not None:
            self.apply(events.ServerProbed(replica, failure))

    def _report_close(self, owed: owed_module.Owed, by: str, why: str) -> None:
        now = clock.read_boottime()
        self._log.write(owed_descriptions.describe_close(owed, by, why, now))

    def _report_queued(self, headers: list[tuple[bytes, bytes]]) -> None:
        metadata = self._header_codec.decode_metadata(headers)
        self._log.write(
            notes.note(
                "queued_request_dropped",
                attempt_id=metadata.attempt_id
                if isinstance(metadata, model.RequestMetadata)
                else "",
            )
        )

    def _close_idle(self) -> None:
        self._pool.close_idle()
        self._relays.pool.close_idle()

    def set_paused(self, request_id: str, paused: bool) -> None:
        """Stops or continues reading the response to a request."""
        self._exchanges.set_paused(request_id, paused)

    def _collect_gauges(self) -> dict[str, float]:
        document = self.role.document
        return {
            "open_requests": self.role.count_pending(),
            "blocked_contents": self.role.count_blocked_requests(),
            "limited_replicas": self.role.count_rate_limited_replicas(),
            "paused_servers": self.role.count_paused_servers(
                clock.read_boottime()
            ),
            "configuration_version": document.version if document else 0,
            "ready": float(self.role.is_ready()),
            "connections_opened_total": self._pool.opened_count,
            "connections_closed_unread_total": (
                self.role.count_closed_connections()
            ),
            **self.role.count_replicas(),
            **self.role.count_unreachable(),
            **self._relays.collect_gauges(),
        }

    def _receive(self, sender: str, message: interface.Message) -> None:
        self.apply(interface.MessageArrived(sender, message, clock.read_wall()))

    def _get_tick_delay(self) -> float:
        """Returns the delay until the next tick, in seconds."""
        now = clock.read_boottime()
        delay_s = self.role.get_tick_delay(now)
        self._next_tick = now + delay_s
        return delay_s

    def _tick(self) -> None:
        now = clock.read_boottime()
        late_s = now - self._next_tick
        self._relays.record_late_tick(late_s, now)
        for note in self.role.record_late_tick(late_s, now):
            self._log.write(note)
        self.apply(interface.Tick(clock.read_wall(), max(0.0, late_s)))

    def _apply_limits(self) -> None:
        document = self.role.document
        if document is not None:
            self._limits.update(document.limits)

    def _reload_settings(self) -> None:
        try:
            settings = self._reload()
        except Exception as error:  # noqa: BLE001 - logged; nothing changes
            self._log.write(
                notes.note("reload_failed", level="error", why=str(error))
            )
            return
        self.settings = settings
        self.role.set_seeds(settings.seeds)
        self._intake.set_limits(settings.memory_mb, settings.max_descriptors)
        self.role.set_buffer_limit(self._intake.limits.max_buffered_bytes)
        self._log.write(notes.note("reloaded", seeds=list(settings.seeds)))
