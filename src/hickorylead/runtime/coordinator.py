"""The shell of a coordinator: peers, disk, orders, signals."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
from typing import TYPE_CHECKING, Any

import attrs
from returns import result

from hickorylead import errors, notes
from hickorylead.consensus import (
    messages as consensus_messages,
    voter as voter_module,
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
    scrape,
    server as server_module,
    ticker,
    upstream,
)
from hickorylead.storage import folder as folder_module, saved_value
from hickorylead.telemetry import decisions
from hickorylead.wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.configuration import document as document_module

# Orders and questions are answered within some ms; a server that is dark never
# answers. In seconds.
ORDER_TIMEOUT_S = 0.4
# A question for a server's state decides whether it is dead, and its callers
# wait meanwhile. In seconds.
REPORT_TIMEOUT_S = 0.25
CLOSE_IDLE_PERIOD_S = 0.5
# The disk is tried again this often after a write that it refused, in seconds.
DISK_RETRY_S = 0.5
# A lost leader is noticed by its voters within about a second. The longest
# pause of a loop that syncs to a disk 25 times slower than usual is 50 ms.
TUNING = voter_module.VoterOptions(
    heartbeat_s=0.15,
    election_min_s=0.7,
    election_max_s=1.4,
    first_election_max_s=0.4,
    replace_after_s=6.0,
    rejoin_after_s=2.0,
)


@attrs.frozen
class Settings:
    """What a coordinator is told.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        zones: All availability zones.
        ip: IP number by which others reach it.
        control_port: Port for backend servers and operators.
        peer_port: Port for the other processes of the system.
        seeds: Peer addresses of a few coordinators.
        metrics_port: Port for scrapes; 0 for none.
        may_bootstrap: Whether the whole system starts for the first time.
        data_folder: Folder on a disk.
        heartbeat_s: Pause between heartbeats of backend servers, in seconds.
        max_lost_disks: Disks that may be lost at the same time.
        bind_ip: IP number that it binds; empty if it is `ip`.
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
    bind_ip: str = ""

    @property
    def listen_ip(self) -> str:
        """The IP number on which it listens."""
        return self.bind_ip or self.ip


class CoordinatorProcess:
    """One coordinator process."""

    def __init__(
        self,
        settings: Settings,
        *,
        dialect: server_codec_module.ServerCodec,
        read_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        make_app: Callable[[CoordinatorProcess], Any],
        reload: Callable[[], Settings],
        log: decisions.DecisionLog,
    ) -> None:
        """Makes a coordinator; `run` starts it.

        Args:
            settings: What it is told.
            dialect: Names and formats of backend servers.
            read_document: Reads a whole configuration.
            make_app: Makes the interface for backend servers and operators.
            reload: Reads the settings again.
            log: Where decisions are written.
        """
        self.settings = settings
        self._node = nodes.make_node_name(
            settings.zone, settings.vm, nodes.COORDINATOR
        )
        self._log = log
        self._dialect = dialect
        self._reload = reload
        self._make_app = make_app
        self._rng = random.Random(f"{self._node} {clock.read_wall()}")
        self._stop = asyncio.Event()
        self._folder = self._open_folder()
        self._disk_failed_at: float | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._waiting: dict[str, asyncio.Future[Any]] = {}
        self._count = 0
        self._pool = upstream.Pool(settings.bind_ip)
        self._tuning = attrs.evolve(
            TUNING, min_voters=2 * settings.max_lost_disks + 1
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
            read_document=read_document,
            policy=group_builder_module.StandbyPolicy(),
            records=self._folder.records,
            rng=self._rng,
            now=clock.read_boottime(),
            voter_options=self._tuning,
        )
        data_folder = pathlib.Path(settings.data_folder)
        self._servers_memo = saved_value.SavedValue(data_folder, "servers")
        self._crashes_memo = saved_value.SavedValue(data_folder, "crashes")
        self._recall()
        self._peers = peers_module.Peers(
            node=self._node,
            address=address,
            known={},
            deliver=self._receive,
            log=log,
            bind_ip=settings.bind_ip,
        )

    async def run(self) -> None:
        """Serves until the process is asked to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._take_new_settings)
        http = server_module.HttpServer(
            self._make_app(self),
            self.settings.listen_ip,
            self.settings.control_port,
        )
        await self._peers.start()
        await http.start()
        scraped = await scrape.serve(
            self._log,
            self.settings.listen_ip,
            self.settings.metrics_port,
            self._gauge,
        )
        self._log.write(notes.note("started", node=self._node))
        ticking = asyncio.ensure_future(
            ticker.tick_forever(coordinator_role.TICK_S, self._tick, self._log)
        )
        await self._stop.wait()
        ticking.cancel()
        for task in self._calls:
            task.cancel()
        await http.close()
        if scraped is not None:
            await scraped.close()
        await self._peers.close()
        self._pool.close()
        self._folder.close()
        self._log.write(notes.note("stopped"))
        self._log.flush()

    # For the interface of backend servers and operators.

    def receive_heartbeat(self, instance: instances.Instance) -> None:
        """Takes a heartbeat of a backend server."""
        self.apply(events.HeartbeatArrived(instance))

    def deregister(self, name: str, born: int) -> None:
        """Takes that a backend server leaves for good."""
        self.apply(events.InstanceLeft(name, born))

    async def replace_configuration(self, version: int, content: bytes) -> bool:
        """Takes a whole configuration; says whether it lasts for sure."""
        token, future = self._make_call()
        self.apply(events.ReplaceRequested(token, version, content))
        return bool(await future)

    async def read_configuration(self) -> tuple[int, bytes] | None:
        """Returns the newest configuration; None if that is not known."""
        token, future = self._make_call()
        self.apply(events.ReadRequested(token))
        return await future

    def _make_call(self) -> tuple[str, asyncio.Future[Any]]:
        self._count += 1
        token = f"{self._node}.{self._folder.incarnation}.{self._count}"
        future: asyncio.Future[Any] = asyncio.Future()
        self._waiting[token] = future
        return token, future

    def _end_call(self, token: str, answer: Any) -> None:
        future = self._waiting.pop(token, None)
        if future is not None and not future.done():
            future.set_result(answer)

    def _gauge(self) -> dict[str, float]:
        now = clock.read_boottime()
        present = self.role.registry.list_present()
        serving = [i for i in present if i.member.state == instances.GROUP_OPEN]
        free = [i for i in present if i.domain and not i.has_group]
        return {
            "configuration_version": self.role.version,
            "log_leader": float(self.role.voter.is_ready_leader(now)),
            "voters": len(self.role.voter.voters),
            "instances": len(present),
            "instances_silent": sum(i.silent for i in present),
            "groups_open": len(serving),
            "blocked_contents": self.role.crashes.count_blocked(),
            "standbys": len(free),
        }

    # Events and effects.

    def apply(self, event: coordinator_role.CoordinatorEvent) -> None:
        """Gives an event to the reducer and carries out its effects."""
        now = clock.read_boottime()
        effects = self.role.reduce(event, now)
        try:
            for effect in effects:
                self._carry_out(effect)
            if self._folder.needs_compaction():
                self._folder.rewrite(self.role.voter.export_records())
        except OSError as error:
            self._lose_disk(error, now)

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
                news = fleet_messages.InstanceNews(self._node, known)
                self._remember(self._servers_memo, news)
            case events.SaveCrashes(known):
                self._remember(self._crashes_memo, known)
            case events.AnswerReplace(token, accepted):
                self._end_call(token, accepted and self._disk_failed_at is None)
            case events.AnswerRead(token, version, content):
                if content is None or self._disk_failed_at is not None:
                    self._end_call(token, None)
                else:
                    self._end_call(token, (version, content))
            case orders.SendOrder():
                self._start(self._post(effect))
            case orders.RequestReport():
                self._start(self._ask(effect))

    def _receive(self, sender: str, message: interface.Message) -> None:
        if self._disk_failed_at is not None and isinstance(
            message, consensus_messages.Message
        ):
            return
        self.apply(interface.MessageArrived(sender, message, clock.read_wall()))

    def _tick(self) -> None:
        if self._disk_failed_at is not None:
            self._try_disk()
        self.apply(interface.Tick(clock.read_wall()))

    # The disk.

    def _recall(self) -> None:
        now = clock.read_boottime()
        servers = self._read(self._servers_memo)
        if isinstance(servers, fleet_messages.InstanceNews):
            self.role.registry.restore(servers.news, now)
        crashes = self._read(self._crashes_memo)
        if isinstance(crashes, crash_messages.CrashNews):
            self.role.crashes.restore(crashes, now)

    def _read(self, source: saved_value.SavedValue) -> interface.Message | None:
        if source.value is None:
            return None
        match codec.decode_envelope(source.value):
            case result.Success(envelope):
                return envelope.message
            case result.Failure(problem):
                self._log.write(notes.note("memo_unreadable", why=problem))
        return None

    def _remember(
        self, target: saved_value.SavedValue, message: interface.Message
    ) -> None:
        value = codec.encode_envelope(codec.Envelope(self._node, "", message))
        try:
            target.save(value)
        except OSError as error:
            # Of use only after a restart, and told anew by then.
            self._log.write(notes.note("memo_not_saved", why=str(error)))

    def _open_folder(self) -> folder_module.DataFolder:
        return folder_module.DataFolder(
            pathlib.Path(self.settings.data_folder), self._node
        )

    def _lose_disk(self, error: OSError, now: float) -> None:
        """Stops voting: what the voter believes to be on disk is not.

        If it went on it could acknowledge a change that a restart takes back.
        Everything else goes on; the voter begins anew from what the disk
        really holds once it takes writes again.
        """
        self._disk_failed_at = now
        self._log.write(
            notes.note("disk_failed", level="error", why=str(error))
        )
        for token in list(self._waiting):
            self._end_call(token, None)

    def _try_disk(self) -> None:
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
            self._folder.records, self._rng, now, self._tuning
        )
        self._log.write(notes.note("disk_regained"))

    # Backend servers.

    def _start(self, call: Any) -> None:
        task = asyncio.ensure_future(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _call(
        self,
        name: str,
        address: str,
        call: server_codec_module.HttpCall,
        timeout_s: float,
    ) -> tuple[calls.Response | calls.NoResponse, bool]:
        """Calls a server; returns the answer, and if the call was refused."""
        born = self.role.registry.find_born(name)
        answer = await calls.make_call(self._pool, address, call, timeout_s)
        if isinstance(answer, calls.NoResponse):
            return answer, False
        said = self._dialect.decode_notice(answer.status, answer.headers)
        if said != server_codec_module.Notice():
            self.apply(
                orders.NoticeArrived(
                    name, born, said.retry_after_s, said.is_leaving
                )
            )
        return answer, said.retry_after_s is not None

    async def _post(self, give: orders.SendOrder) -> None:
        answer, _ = await self._call(
            give.name,
            give.address,
            self._dialect.encode_order(give),
            ORDER_TIMEOUT_S,
        )
        status = 0
        match answer:
            case calls.Response(status):
                pass
            case calls.NoResponse(reason):
                self._log.write(
                    notes.note("order_unanswered", server=give.name, why=reason)
                )
        self.apply(orders.OrderAnswered(give.name, give.order, status))

    async def _ask(self, question: orders.RequestReport) -> None:
        answer, is_turned_away = await self._call(
            question.name,
            question.address,
            self._dialect.encode_report_request(),
            REPORT_TIMEOUT_S,
        )
        report = None
        match answer:
            case calls.Response(200, body):
                report = self._dialect.decode_report(body)
                if report is None:
                    self._log.write(
                        notes.note("report_unreadable", server=question.name)
                    )
            case calls.Response(status):
                # Another server has the address by now, or wants no calls.
                self._log.write(
                    notes.note(
                        "report_refused", server=question.name, status=status
                    )
                )
            case calls.NoResponse(reason):
                self._log.write(
                    notes.note(
                        "report_unanswered", server=question.name, why=reason
                    )
                )
        if report is None:
            arrived = orders.ReportArrived(
                question.name, None, is_turned_away=is_turned_away
            )
        else:
            arrived = orders.ReportArrived(
                question.name,
                report.accepted,
                report.born,
                member=report.member,
            )
        self.apply(arrived)

    def _take_new_settings(self) -> None:
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
