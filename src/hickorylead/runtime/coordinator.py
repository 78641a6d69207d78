"""The coordinator process: peers, disk, orders, signals."""

from __future__ import annotations

import asyncio
import functools
import random
import signal
from typing import TYPE_CHECKING, Any

from hickorylead import errors, isolation, notes
from hickorylead.consensus import (
    messages as consensus_messages,
    options,
)
from hickorylead.fleet import (
    events,
    group_builder as group_builder_module,
    identity,
    orders,
)
from hickorylead.roles import coordinator as coordinator_role, interface, nodes
from hickorylead.runtime import (
    clock,
    coordinator_disk,
    coordinator_gauges,
    coordinator_stop,
    departure_log,
    handler_failures,
    intake as intake_module,
    operator_calls,
    peers as peers_module,
    reload_signal,
    report_calls,
    scrape,
    server as server_module,
    server_calls,
    stop_gate,
    tasks,
    ticker,
    turns,
    upstream,
)
from hickorylead.telemetry import decisions, turn_costs
from hickorylead.turns import work_queue

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns import result

    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import server_codec as server_codec_module
    from hickorylead.runtime import coordinator_settings

_TICKS: dict[work_queue.Lane, events.UrgentTick | events.OrdinaryTick] = {
    work_queue.Lane.URGENT: events.UrgentTick(),
    work_queue.Lane.ORDINARY: events.OrdinaryTick(),
}
_LANES: dict[type, work_queue.Lane] = {
    events.ConfigurationDue: work_queue.Lane.ORDINARY,
    events.PlanningDue: work_queue.Lane.BACKGROUND,
}


class CoordinatorProcess:
    """One coordinator process."""

    def __init__(
        self,
        settings: coordinator_settings.Settings,
        *,
        server_codec: server_codec_module.ServerCodec,
        decode_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        make_app: Callable[[CoordinatorProcess], Any],
        find_lane: Callable[[str], work_queue.Lane],
        reload: Callable[[], coordinator_settings.Settings],
        log: decisions.DecisionLog,
    ) -> None:
        """Makes a coordinator; `run` starts it.

        Args:
            settings: Its settings.
            server_codec: Encodes and decodes calls to backend servers.
            decode_document: Decodes a complete configuration.
            make_app: Makes the API for backend servers and operators.
            find_lane: Returns how urgent a request to that API is, by its path.
            reload: Loads the settings again.
            log: Log of decisions.
        """
        self.settings = settings
        self._node = nodes.make_node_name(
            settings.zone, settings.vm, nodes.COORDINATOR
        )
        self._log = log
        self._reload = reload
        self._make_app = make_app
        self._intake = intake_module.Intake(
            settings.memory_mb, settings.max_descriptors, log.write
        )
        self._find_lane = find_lane
        self._rng = random.Random(f"{self._node} {clock.read_wall()}")
        self._stop = asyncio.Event()
        self._disk = coordinator_disk.Disk(
            settings.data_folder, self._node, log
        )
        self._tasks = tasks.TaskSet(log)
        self._calls = operator_calls.OperatorCalls(log)
        self.reports = report_calls.ReportCalls(self._calls, self.apply)
        self._call_count = 0
        self._costs = turn_costs.TurnCosts(clock.read_monotonic())
        self._turns = turns.Turns(log, self._costs)
        self._waiting_ticks: set[work_queue.Lane] = set()
        self._queued_work: set[events.ConfigurationDue | events.PlanningDue] = (
            set()
        )
        self._pool = upstream.Pool(settings.bind_ip)
        self._voter_options = options.derive_options(
            catch_up_s=settings.catch_up_s,
            max_lost_disks=settings.max_lost_disks,
        )
        address = f"{settings.ip}:{settings.peer_port}"
        self.role = coordinator_role.Coordinator(
            identity.Identity(
                node=self._node,
                address=address,
                incarnation=self._disk.folder.incarnation,
                seeds=settings.seeds,
                may_bootstrap=settings.may_bootstrap,
                heartbeat_s=settings.heartbeat_s,
                zones=settings.zones,
                max_lost_disks=settings.max_lost_disks,
            ),
            decode_document=decode_document,
            policy=group_builder_module.StandbyPolicy(),
            records=self._disk.folder.records,
            rng=self._rng,
            now=clock.read_boottime(),
            voter_options=self._voter_options,
            defers_work=True,
        )
        self._disk.restore(self.role, clock.read_boottime())
        self._departure_log = departure_log.DepartureLog(
            self._disk.departures,
            deliver=self.apply,
            write_log=log.write,
        )
        self._server_calls = server_calls.ServerCalls(
            pool=self._pool,
            codec=server_codec,
            find_start_time=self.role.registry.find_start_time,
            deliver=self.apply,
            log=log,
        )
        self._peers = peers_module.Peers(
            node=self._node,
            address=address,
            addresses={},
            deliver=self._receive,
            log=log,
            bind_ip=settings.bind_ip,
            costs=self._costs,
            turns=self._turns,
        )

    async def run(self) -> None:
        """Serves until the process receives SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        reload_signal.handle(loop, self._reload_settings)
        gate = stop_gate.StopGate(
            turns.TurnLimitedApp(
                self._make_app(self), self._turns, self._find_lane
            ),
            self._make_call_id,
            self._log.write,
        )
        http = server_module.HttpServer(
            gate,
            self.settings.listen_ip,
            self.settings.control_port,
            report_failure=handler_failures.make_reporter(self._log),
            intake=self._intake,
        )
        tasks.report_unhandled(self._log)
        await self._peers.start()
        await http.start()
        tasks.stop_on_end(http.task, self._stop)
        metrics_server = await scrape.serve(
            self._log,
            self.settings.listen_ip,
            self.settings.metrics_port,
            self._collect_gauges,
            self._intake,
        )
        self._log.write(notes.note("started", node=self._node))
        self._tasks.keep_running(
            "ticks",
            lambda: ticker.tick_forever(
                coordinator_role.TICK_S, self._tick, self._log
            ),
        )
        await self._stop.wait()
        gate.stop()
        await coordinator_stop.drain(
            http, self._calls, grace_s=self.settings.grace_s, log=self._log
        )
        await self._tasks.close()
        servers = [http, *([metrics_server] if metrics_server else [])]
        await asyncio.gather(*(server.close() for server in servers))
        await self._peers.close()
        self._pool.close()
        self._departure_log.close()
        self._disk.folder.close()
        self._log.write(notes.note("stopped"))
        self._log.flush()

    # For the API of operators.

    async def replace_configuration(
        self, version: int, content: bytes, *, call_id: str
    ) -> bool:
        """Replaces the configuration; returns whether it is certain to last.

        Args:
            version: Operators' version.
            content: The compressed configuration.
            call_id: Id of the call, unique in the system.
        """
        event = events.ReplaceRequested(call_id, version, content)
        return bool(await self._calls.wait(call_id, lambda: self.apply(event)))

    async def read_configuration(
        self, *, call_id: str
    ) -> tuple[int, bytes] | None:
        """Returns the latest configuration; None if it is not known.

        Args:
            call_id: Id of the call, unique in the system.
        """
        event = events.ReadRequested(call_id)
        newest: tuple[int, bytes] | None = await self._calls.wait(
            call_id, lambda: self.apply(event)
        )
        return newest

    def _make_call_id(self) -> str:
        self._call_count += 1
        incarnation = self._disk.folder.incarnation
        return f"{self._node}.{incarnation}.{self._call_count}"

    def _collect_gauges(self) -> dict[str, float]:
        return coordinator_gauges.collect(self.role, clock.read_boottime())

    # Events and effects.

    def apply(self, event: coordinator_role.CoordinatorEvent) -> None:
        """Passes an event to the reducer and carries out its effects."""
        now = clock.read_boottime()
        began = clock.read_monotonic()
        effects = self.role.reduce(event, now)
        self._costs.record(_name_work(event), clock.read_monotonic() - began)
        try:
            for effect in effects:
                began = clock.read_monotonic()
                match effect:
                    case consensus_messages.Persist(record):
                        # What follows may rely on the record.
                        if not self._disk.has_failed:
                            self._disk.folder.persist(record)
                    case _:
                        isolation.carry_out_all(
                            [effect], self._carry_out, self._log.write
                        )
                self._costs.record(
                    _name_work(effect), clock.read_monotonic() - began
                )
            if self._disk.folder.needs_compaction():
                self._disk.folder.rewrite(self.role.voter.export_records())
        except OSError as error:
            self._disk.record_failure(error, now)
            self._calls.give_up("disk_failed")
        for due in self.role.list_due_work(now):
            if due not in self._queued_work:
                self._queued_work.add(due)
                self._turns.add(
                    _LANES[type(due)], functools.partial(self._do_work, due)
                )

    def _carry_out(self, effect: coordinator_role.CoordinatorEffect) -> None:
        match effect:
            case notes.Note():
                self._log.write(effect)
            case interface.Send(node, message):
                if self._disk.has_failed and isinstance(
                    message, consensus_messages.Message
                ):
                    return
                self._peers.send(node, message)
            case (
                events.SaveInstances()
                | events.SaveCrashes()
                | events.SaveGatewayRecord()
            ):
                self._disk.save(effect)
            case events.SaveDepartures():
                self._departure_log.add(effect)
            case events.AnswerReport(token, accepted):
                self._calls.complete(token, accepted)
            case events.AnswerReplace(token, accepted):
                self._calls.complete(
                    token, accepted and not self._disk.has_failed
                )
            case events.AnswerRead(token, version, content):
                if content is None or self._disk.has_failed:
                    self._calls.complete(token, None)
                else:
                    self._calls.complete(token, (version, content))
            case orders.SendOrder():
                self._tasks.start(
                    f"order to {effect.name}", self._server_calls.post(effect)
                )
            case orders.RequestReport():
                self._tasks.start(
                    f"probe of {effect.name}",
                    self._server_calls.request_report(effect),
                )

    def _receive(self, sender: str, message: interface.Message) -> None:
        if self._disk.has_failed and isinstance(
            message, consensus_messages.Message
        ):
            return
        self.apply(interface.MessageArrived(sender, message, clock.read_wall()))

    def _tick(self) -> None:
        # What the sockets hold is queued before the ticks, so that no silence
        # is judged before it has been read.
        self._turns.call_after_reading(self._queue_ticks)
        for note in self._costs.report(clock.read_monotonic()):
            self._log.write(note)

    def _queue_ticks(self) -> None:
        for lane, event in _TICKS.items():
            if lane not in self._waiting_ticks:
                self._waiting_ticks.add(lane)
                self._turns.add(
                    lane, functools.partial(self._apply_tick, lane, event)
                )

    def _apply_tick(
        self, lane: work_queue.Lane, event: coordinator_role.CoordinatorEvent
    ) -> None:
        self._waiting_ticks.discard(lane)
        if lane == work_queue.Lane.URGENT and self._disk.has_failed:
            self._retry_disk()
        self.apply(event)

    def _retry_disk(self) -> None:
        now = clock.read_boottime()
        if self._disk.try_again(now):
            self.role.configuration.restart_voter(
                self._disk.folder.records, self._rng, now, self._voter_options
            )
            self._log.write(notes.note("disk_regained"))

    def _do_work(
        self, due: events.ConfigurationDue | events.PlanningDue
    ) -> None:
        self._queued_work.discard(due)
        self.apply(due)

    def _reload_settings(self) -> None:
        try:
            settings = self._reload()
        except errors.SettingsError as error:
            self._log.write(
                notes.note("reload_failed", level="error", why=str(error))
            )
            return
        self.settings = settings
        self.role.peers.seeds = settings.seeds
        self._intake.set_limits(settings.memory_mb, settings.max_descriptors)
        self._log.write(notes.note("reloaded", seeds=list(settings.seeds)))


def _name_work(
    item: coordinator_role.CoordinatorEvent
    | coordinator_role.CoordinatorEffect,
) -> str:
    """Returns the kind of work that an event or effect causes, for the log."""
    kind = type(item).__name__
    if isinstance(item, interface.MessageArrived | interface.Send):
        return f"{kind} {type(item.message).__name__}"
    return kind
