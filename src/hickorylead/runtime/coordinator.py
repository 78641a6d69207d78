"""The coordinator process: peers, disk, orders, signals."""

from __future__ import annotations

import asyncio
import functools
import pathlib
import random
import signal
from typing import TYPE_CHECKING, Any

import attrs
from returns import result

from hickorylead import errors, notes
from hickorylead.consensus import (
    messages as consensus_messages,
    options,
)
from hickorylead.crashes import messages as crash_messages
from hickorylead.fleet import (
    events,
    group_builder as group_builder_module,
    identity,
    instances,
    messages as fleet_messages,
    orders,
    server_codec as server_codec_module,
)
from hickorylead.roles import coordinator as coordinator_role, interface, nodes
from hickorylead.runtime import (
    calls,
    clock,
    peers as peers_module,
    reload_signal,
    scrape,
    server as server_module,
    tasks,
    ticker,
    turns,
    upstream,
)
from hickorylead.storage import folder as folder_module, saved_value
from hickorylead.telemetry import decisions, turn_costs
from hickorylead.turns import work_queue
from hickorylead.wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.configuration import document as document_module

# Timeouts of calls, in seconds. Servers respond to orders and probes within a
# few ms; an unreachable server never responds.
ORDER_TIMEOUT_S = 0.4
# A probe decides whether a server is dead, while the server's callers wait.
REPORT_TIMEOUT_S = 0.25
CLOSE_IDLE_PERIOD_S = 0.5
# Interval of attempts to reopen the disk after a failed write, in seconds.
DISK_RETRY_S = 0.5


_TICKS: dict[work_queue.Lane, events.UrgentTick | events.OrdinaryTick] = {
    work_queue.Lane.URGENT: events.UrgentTick(),
    work_queue.Lane.ORDINARY: events.OrdinaryTick(),
}


_LANES: dict[type, work_queue.Lane] = {
    events.ConfigurationDue: work_queue.Lane.ORDINARY,
    events.PlanningDue: work_queue.Lane.BACKGROUND,
}


@attrs.frozen
class Settings:
    """Settings of a coordinator.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        zones: All availability zones.
        ip: IP address at which other nodes reach it.
        control_port: Port for backend servers and operators.
        peer_port: Port for the other processes of the system.
        seeds: Peer addresses of a few coordinators.
        metrics_port: Port of the metrics endpoint; 0 for none.
        may_bootstrap: Whether the system starts for the first time.
        data_folder: Data folder on disk.
        heartbeat_s: Interval of backend servers' heartbeats, in seconds.
        max_lost_disks: Number of disks that may be lost at the same time.
        catch_up_s: Time after which a coordinator that has started is relied
            upon, in seconds.
        bind_ip: IP address to bind; empty if it is `ip`.
    """

    vm: str
    zone: str
    zones: tuple[str, ...]
    ip: str
    control_port: int
    peer_port: int
    seeds: tuple[str, ...]
    metrics_port: int
    may_bootstrap: bool
    data_folder: str
    heartbeat_s: float
    max_lost_disks: int
    catch_up_s: float
    bind_ip: str = ""

    @property
    def listen_ip(self) -> str:
        """The IP address on which the process listens."""
        return self.bind_ip or self.ip


class CoordinatorProcess:
    """One coordinator process."""

    def __init__(
        self,
        settings: Settings,
        *,
        server_codec: server_codec_module.ServerCodec,
        decode_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        make_app: Callable[[CoordinatorProcess], Any],
        find_lane: Callable[[str], work_queue.Lane],
        reload: Callable[[], Settings],
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
        self._server_codec = server_codec
        self._reload = reload
        self._make_app = make_app
        self._find_lane = find_lane
        self._rng = random.Random(f"{self._node} {clock.read_wall()}")
        self._stop = asyncio.Event()
        self._folder = self._open_folder()
        self._disk_failed_at: float | None = None
        self._tasks = tasks.TaskSet(log)
        self._pending_calls: dict[str, asyncio.Future[Any]] = {}
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
                incarnation=self._folder.incarnation,
                seeds=settings.seeds,
                may_bootstrap=settings.may_bootstrap,
                heartbeat_s=settings.heartbeat_s,
                zones=settings.zones,
            ),
            decode_document=decode_document,
            policy=group_builder_module.StandbyPolicy(),
            records=self._folder.records,
            rng=self._rng,
            now=clock.read_boottime(),
            voter_options=self._voter_options,
            defers_work=True,
        )
        data_folder = pathlib.Path(settings.data_folder)
        self._saved_servers = saved_value.SavedValue(data_folder, "servers")
        self._saved_crashes = saved_value.SavedValue(data_folder, "crashes")
        self._saved_gateways = saved_value.SavedValue(data_folder, "gateways")
        self._restore_saved()
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
        http = server_module.HttpServer(
            turns.TurnLimitedApp(
                self._make_app(self), self._turns, self._find_lane
            ),
            self.settings.listen_ip,
            self.settings.control_port,
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
        )
        self._log.write(notes.note("started", node=self._node))
        self._tasks.keep_running(
            "ticks",
            lambda: ticker.tick_forever(
                coordinator_role.TICK_S, self._tick, self._log
            ),
        )
        await self._stop.wait()
        await self._tasks.close()
        await http.close()
        if metrics_server is not None:
            await metrics_server.close()
        await self._peers.close()
        self._pool.close()
        self._folder.close()
        self._log.write(notes.note("stopped"))
        self._log.flush()

    # For the API of backend servers and operators.

    def receive_heartbeat(self, instance: instances.Instance) -> None:
        """Handles a heartbeat of a backend server."""
        self.apply(events.HeartbeatArrived(instance))

    def deregister(self, name: str, born: int) -> None:
        """Records that a backend server has left for good."""
        self.apply(events.InstanceLeft(name, born))

    async def replace_configuration(self, version: int, content: bytes) -> bool:
        """Replaces the configuration; returns whether it is certain to last."""
        token, future = self._register_call()
        self.apply(events.ReplaceRequested(token, version, content))
        return bool(await future)

    async def read_configuration(self) -> tuple[int, bytes] | None:
        """Returns the latest configuration; None if it is not known."""
        token, future = self._register_call()
        self.apply(events.ReadRequested(token))
        return await future

    def _register_call(self) -> tuple[str, asyncio.Future[Any]]:
        self._call_count += 1
        token = f"{self._node}.{self._folder.incarnation}.{self._call_count}"
        future: asyncio.Future[Any] = asyncio.Future()
        self._pending_calls[token] = future
        return token, future

    def _complete_call(self, token: str, outcome: Any) -> None:
        future = self._pending_calls.pop(token, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _collect_gauges(self) -> dict[str, float]:
        now = clock.read_boottime()
        present = self.role.registry.list_present()
        serving = [i for i in present if i.member.state == instances.GROUP_OPEN]
        free = [i for i in present if i.domain and not i.has_group]
        return {
            "configuration_version": self.role.version,
            "log_leader": float(self.role.voter.is_ready_leader(now)),
            "voters": len(self.role.voter.voters),
            "seconds_without_leader": (
                self.role.voter_monitor.measure_leaderless(now)
            ),
            "instances": len(present),
            "instances_silent": sum(i.silent for i in present),
            "groups_open": len(serving),
            "blocked_contents": self.role.crashes.count_blocked(),
            "standbys": len(free),
        }

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
                self._carry_out(effect)
                self._costs.record(
                    _name_work(effect), clock.read_monotonic() - began
                )
            if self._folder.needs_compaction():
                self._folder.rewrite(self.role.voter.export_records())
        except OSError as error:
            self._handle_disk_failure(error, now)
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
                if self._disk_failed_at is not None and isinstance(
                    message, consensus_messages.Message
                ):
                    return
                self._peers.send(node, message)
            case consensus_messages.Persist(record):
                if self._disk_failed_at is None:
                    self._folder.persist(record)
            case events.SaveInstances(known):
                update = fleet_messages.InstanceNews(self._node, known)
                self._save(self._saved_servers, update)
            case events.SaveCrashes(known):
                self._save(self._saved_crashes, known)
            case events.SaveGatewayRecord(record):
                self._save(self._saved_gateways, record)
            case events.AnswerReplace(token, accepted):
                self._complete_call(
                    token, accepted and self._disk_failed_at is None
                )
            case events.AnswerRead(token, version, content):
                if content is None or self._disk_failed_at is not None:
                    self._complete_call(token, None)
                else:
                    self._complete_call(token, (version, content))
            case orders.SendOrder():
                self._tasks.start(f"order to {effect.name}", self._post(effect))
            case orders.RequestReport():
                self._tasks.start(
                    f"probe of {effect.name}", self._request_report(effect)
                )

    def _receive(self, sender: str, message: interface.Message) -> None:
        if self._disk_failed_at is not None and isinstance(
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
        if lane == work_queue.Lane.URGENT and self._disk_failed_at is not None:
            self._retry_disk()
        self.apply(event)

    def _do_work(
        self, due: events.ConfigurationDue | events.PlanningDue
    ) -> None:
        self._queued_work.discard(due)
        self.apply(due)

    # The disk.

    def _restore_saved(self) -> None:
        now = clock.read_boottime()
        servers = self._load(self._saved_servers)
        if isinstance(servers, fleet_messages.InstanceNews):
            self.role.registry.restore(servers.news, now)
        crashes = self._load(self._saved_crashes)
        if isinstance(crashes, crash_messages.CrashNews):
            self.role.crashes.restore(crashes, now)
        record = self._load(self._saved_gateways)
        if isinstance(record, fleet_messages.GatewayRecord):
            self.role.gateways.restore(record, now)

    def _load(self, source: saved_value.SavedValue) -> interface.Message | None:
        if source.value is None:
            return None
        match codec.decode_envelope(source.value):
            case result.Success(envelope):
                return envelope.message
            case result.Failure(problem):
                self._log.write(notes.note("memo_unreadable", why=problem))
        return None

    def _save(
        self, target: saved_value.SavedValue, message: interface.Message
    ) -> None:
        value = codec.encode_envelope(codec.Envelope(self._node, "", message))
        try:
            target.save(value)
        except OSError as error:
            # The saved value is only used after a restart; by then the state is
            # reported anew.
            self._log.write(notes.note("memo_not_saved", why=str(error)))

    def _open_folder(self) -> folder_module.DataFolder:
        return folder_module.DataFolder(
            pathlib.Path(self.settings.data_folder), self._node
        )

    def _handle_disk_failure(self, error: OSError, now: float) -> None:
        """Stops voting, since the voter's state now differs from the disk.

        If the voter continued, it could acknowledge a change that a restart
        loses. Everything else continues; once the disk accepts writes again,
        the voter restarts from the records on it.
        """
        self._disk_failed_at = now
        self._log.write(
            notes.note("disk_failed", level="error", why=str(error))
        )
        for token in list(self._pending_calls):
            self._complete_call(token, None)

    def _retry_disk(self) -> None:
        now = clock.read_boottime()
        assert self._disk_failed_at is not None
        if now - self._disk_failed_at < DISK_RETRY_S:
            return
        try:
            self._folder.close()
            self._folder = self._open_folder()
            self._folder.check_writable()
        except (OSError, errors.DataFolderError) as error:
            self._disk_failed_at = now
            self._log.write(notes.note("disk_still_failed", why=str(error)))
            return
        self._disk_failed_at = None
        self.role.restart_voter(
            self._folder.records, self._rng, now, self._voter_options
        )
        self._log.write(notes.note("disk_regained"))

    # Backend servers.

    async def _call(
        self,
        name: str,
        address: str,
        call: server_codec_module.HttpCall,
        timeout_s: float,
    ) -> tuple[calls.Response | calls.NoResponse, bool]:
        """Calls a server; returns the response, and if it refused the call."""
        born = self.role.registry.find_start_time(name)
        response = await calls.make_call(self._pool, address, call, timeout_s)
        if isinstance(response, calls.NoResponse):
            return response, False
        notice = self._server_codec.decode_notice(
            response.status, response.headers
        )
        if notice != server_codec_module.Notice():
            self.apply(
                orders.NoticeArrived(
                    name, born, notice.retry_after_s, notice.is_leaving
                )
            )
        return response, notice.retry_after_s is not None

    async def _post(self, effect: orders.SendOrder) -> None:
        response, _ = await self._call(
            effect.name,
            effect.address,
            self._server_codec.encode_order(effect),
            ORDER_TIMEOUT_S,
        )
        status = 0
        match response:
            case calls.Response(status):
                pass
            case calls.NoResponse(reason):
                self._log.write(
                    notes.note(
                        "order_unanswered", server=effect.name, why=reason
                    )
                )
        self.apply(orders.OrderAnswered(effect.name, effect.order, status))

    async def _request_report(self, effect: orders.RequestReport) -> None:
        response, is_refused = await self._call(
            effect.name,
            effect.address,
            self._server_codec.encode_report_request(),
            REPORT_TIMEOUT_S,
        )
        report = None
        match response:
            case calls.Response(200, body):
                report = self._server_codec.decode_report(body)
                if report is None:
                    self._log.write(
                        notes.note("report_unreadable", server=effect.name)
                    )
            case calls.Response(status):
                # Another server has this address now, or this server refuses
                # calls.
                self._log.write(
                    notes.note(
                        "report_refused", server=effect.name, status=status
                    )
                )
            case calls.NoResponse(reason):
                self._log.write(
                    notes.note(
                        "report_unanswered", server=effect.name, why=reason
                    )
                )
        if report is None:
            arrived = orders.ReportArrived(
                effect.name, None, is_turned_away=is_refused
            )
        else:
            arrived = orders.ReportArrived(
                effect.name,
                report.accepted,
                report.born,
                member=report.member,
            )
        self.apply(arrived)

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
