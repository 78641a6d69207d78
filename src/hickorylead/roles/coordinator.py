"""The reducer of a coordinator, a node that gateways connect to.

It is a voter of the configuration log, receives heartbeats of backend servers,
forms and repairs their groups, and sends gateways the updates that they need.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from returns import result

from hickorylead import isolation, notes
from hickorylead.consensus import (
    messages as consensus_messages,
    options,
    voter as voter_module,
    voter_monitor,
)
from hickorylead.crashes import (
    crash_tracker as crash_tracker_module,
    messages as crash_messages,
)
from hickorylead.fleet import (
    announcements,
    events,
    gateways as gateways_module,
    identity as identity_module,
    messages,
    orders,
    peer_directory as peer_directory_module,
    registry as registry_module,
    save_schedule,
    supervisor as supervisor_module,
)
from hickorylead.notices import (
    messages as notice_messages,
    pause_relay,
)
from hickorylead.ratelimits import (
    messages as limit_messages,
    permit_broker,
)
from hickorylead.relaying import messages as relay_messages, relay_broker
from hickorylead.roles import (
    coordinator_configuration as configuration_module,
    interface,
    node_exchange,
    nodes,
    server_reports,
)
from hickorylead.turns import own_pauses

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    import random

    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import group_builder as group_builder_module

TICK_S = 0.05
INSTANCE_RETENTION_S = 60.0

CoordinatorEvent: TypeAlias = (
    interface.Tick
    | interface.MessageArrived
    | events.UrgentTick
    | events.OrdinaryTick
    | events.PlanningDue
    | events.ConfigurationDue
    | events.HeartbeatArrived
    | events.InstanceLeft
    | events.DeparturesSaved
    | events.ReplaceRequested
    | events.ReadRequested
    | orders.OrderAnswered
    | orders.ReportArrived
    | orders.NoticeArrived
)
CoordinatorEffect: TypeAlias = (
    interface.Send
    | consensus_messages.Persist
    | events.AnswerReplace
    | events.AnswerRead
    | events.SaveInstances
    | events.SaveDepartures
    | events.AnswerReport
    | events.SaveCrashes
    | events.SaveGatewayRecord
    | orders.SendOrder
    | orders.RequestReport
    | notes.Note
)


class Coordinator:
    """State of one coordinator."""

    def __init__(
        self,
        identity: identity_module.Identity,
        *,
        decode_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        policy: group_builder_module.StandbyPolicy,
        records: Sequence[consensus_messages.Record],
        rng: random.Random,
        now: float,
        voter_options: options.VoterOptions = options.DEFAULT_OPTIONS,
        defers_work: bool = False,
    ) -> None:
        """Initializes a coordinator that has just started.

        Args:
            identity: Its identity.
            decode_document: Decodes a complete configuration as operators
                submit it.
            policy: Trade-off between downtime and stranded accelerators.
            records: Records of its journal.
            rng: Source of the jitter of elections.
            now: Present time.
            voter_options: Options of its voter, such as how soon a lost voter
                is detected.
            defers_work: Whether work that can wait is only done on events that
                `list_due_work` names.
        """
        self._defers_work = defers_work
        self._identity = identity
        self._zone = nodes.get_zone(identity.node)
        self.registry = registry_module.Registry()
        # Urgent messages are handled before others, so that each lane of the
        # process has pauses of its own.
        self._urgent_pauses = own_pauses.OwnPauses(now)
        self._ordinary_pauses = own_pauses.OwnPauses(now)
        self.peers = peer_directory_module.PeerDirectory(
            node=identity.node,
            seeds=identity.seeds,
            pauses=self._urgent_pauses,
        )
        self.gateways = gateways_module.Gateways(
            zone=self._zone,
            is_first_start=identity.may_bootstrap,
            pauses=self._ordinary_pauses,
        )
        # Public like the registry, as the process restores both from the disk.
        self.crashes = crash_tracker_module.CrashTracker(
            identity.node, self._ordinary_pauses
        )
        self._permit_broker = permit_broker.PermitBroker(
            identity.node,
            registry=self.registry,
            peers=self.peers,
            gateways=self.gateways,
        )
        self._pause_relay = pause_relay.PauseRelay(identity.node)
        self._relay_broker = relay_broker.RelayBroker()
        self._supervisor = supervisor_module.Supervisor(
            identity,
            policy=policy,
            start_id=f"{rng.getrandbits(24):x}",
            registry=self.registry,
            peers=self.peers,
            has_leader=lambda at: self.voter.has_leader(at),
            pauses=self._ordinary_pauses,
            is_deferred=defers_work,
            now=now,
        )
        self._next_hello = now
        self._next_alive = now
        self.reports = server_reports.ServerReports(
            identity.node,
            registry=self.registry,
            peers=self.peers,
            gateways=self.gateways,
            supervisor=self._supervisor,
            pauses=self._ordinary_pauses,
            heartbeat_s=identity.heartbeat_s,
            max_lost_disks=identity.max_lost_disks,
        )
        self.voter_monitor = voter_monitor.VoterMonitor(now)
        self._save_schedule = save_schedule.SaveSchedule(
            self.registry, self.crashes, now
        )
        self.configuration = configuration_module.CoordinatorConfiguration(
            identity,
            decode_document=decode_document,
            peers=self.peers,
            gateways=self.gateways,
            pauses=self._urgent_pauses,
            use_document=self._use_document,
            handle_commit=self._handle_commit,
            records=records,
            rng=rng,
            now=now,
            voter_options=voter_options,
        )
        self._exchange = node_exchange.NodeExchange(
            identity,
            registry=self.registry,
            peers=self.peers,
            gateways=self.gateways,
            crashes=self.crashes,
            supervisor=self._supervisor,
            permits=self._permit_broker,
            pause_relay=self._pause_relay,
            configuration=self.configuration,
            pauses=self._ordinary_pauses,
        )

    @property
    def voter(self) -> voter_module.Voter:
        """Its voter, which is another one after a disk fault."""
        return self.configuration.voter

    @property
    def version(self) -> int:
        """Operators' version of the configuration that this node holds."""
        return self.configuration.version

    @property
    def document(self) -> document_module.Document | None:
        """The configuration that this node has applied."""
        return self.configuration.document

    def is_fresh(self, now: float) -> bool:
        """Returns whether this node's configuration is certain to be recent."""
        return self.voter.is_fresh(now)

    def reduce(
        self, event: CoordinatorEvent, now: float
    ) -> list[CoordinatorEffect]:
        """Handles one event and returns the effects to carry out."""
        match event:
            case interface.Tick():
                return [*self._tick_urgent(now), *self._tick_ordinary(now)]
            case events.UrgentTick():
                return self._tick_urgent(now)
            case events.OrdinaryTick():
                return self._tick_ordinary(now)
            case events.PlanningDue():
                return [
                    *self._apply_configuration(now),
                    *self._supervisor.plan(now),
                ]
            case events.ConfigurationDue():
                return self._apply_configuration(now)
            case interface.MessageArrived(sender, message):
                return self._receive(sender, message, now)
            case events.HeartbeatArrived(instance, token):
                return [
                    *self.reports.handle_heartbeat(instance, now, token=token)
                ]
            case events.InstanceLeft(name, born, token):
                return [
                    *self.reports.handle_departure(name, born, now, token=token)
                ]
            case events.DeparturesSaved():
                return [*self.reports.handle_saved(event)]
            case events.ReplaceRequested(token, version, content):
                return [
                    *self.configuration.replace(token, version, content, now)
                ]
            case events.ReadRequested(token):
                return [*self.configuration.read(token, now)]
            case orders.OrderAnswered():
                return [
                    *self.reports.record_load(event, now),
                    *self._supervisor.handle_response(event),
                ]
            case orders.ReportArrived():
                return [*self._supervisor.handle_report(event, now)]
            case orders.NoticeArrived(name, born, retry_after_s, is_leaving):
                if retry_after_s is not None:
                    self._supervisor.record_pause(
                        name, born, now + retry_after_s
                    )
                if not is_leaving:
                    return []
                return [*self.reports.record_draining(name, born, now)]

    # Periodic work.

    def list_due_work(
        self, now: float
    ) -> list[events.ConfigurationDue | events.PlanningDue]:
        """Returns the events for work that was put off and is due."""
        if not self._defers_work:
            return []
        due: list[events.ConfigurationDue | events.PlanningDue] = []
        if self.configuration.has_unapplied:
            due.append(events.ConfigurationDue())
        if self._supervisor.is_due(now):
            due.append(events.PlanningDue())
        return due

    def _tick_urgent(self, now: float) -> list[CoordinatorEffect]:
        """Does what others judge this coordinator by."""
        return isolation.collect_effects(
            {
                "voter": lambda: self.configuration.tick_voter(now),
                "watch over the voter": lambda: self.voter_monitor.observe(
                    self.voter, self.peers.heard_at, now
                ),
                "requests of operators": lambda: (
                    self.configuration.tick_requests(now)
                ),
                "changes of peers": lambda: self.peers.report_changes(now),
                "hellos": lambda: self._announce(now),
                "gateways": lambda: self._tick_gateways(now),
            }
        )

    def _announce(self, now: float) -> list[CoordinatorEffect]:
        if now < self._next_hello:
            return []
        self._next_hello = now + peer_directory_module.HELLO_PERIOD_S
        return [*self._exchange.send_hellos(now), *self._bootstrap_cluster(now)]

    def _tick_gateways(self, now: float) -> list[CoordinatorEffect]:
        sent = self.gateways.tick(
            is_fresh=self.is_fresh(now),
            other_gateways=self.peers.count_gateways(now),
            member=self.voter.member,
            voters=self.voter.voters,
            now=now,
        )
        return [
            *self.gateways.save(self._identity.node, now),
            *self._send_all(sent),
        ]

    def _tick_ordinary(self, now: float) -> list[CoordinatorEffect]:
        self._ordinary_pauses.record_listening(now)
        return isolation.collect_effects(
            {
                "sync of coordinators": lambda: (
                    self._exchange.sync_coordinators(now)
                ),
                "heartbeats": lambda: self._send_alive(now),
                "probes": lambda: self._supervisor.probe_silent(now),
                "departures": lambda: self.reports.departures.tick(now),
                "new services": lambda: self.reports.admit_named(now),
                "lost servers": lambda: self.reports.mark_lost(now),
                "reused addresses": lambda: self.reports.end_superseded(now),
                "changed servers": lambda: self.reports.update_gateways(now),
                "blocks": lambda: self._exchange.update_blocks(now),
                "permits": lambda: self._send_all(
                    self._permit_broker.tick(now)
                ),
                "pauses": lambda: self._exchange.send_pauses(now),
                "planning": lambda: self._plan_if_due(now),
                "saving": lambda: self._save_schedule.tick(now),
            }
        )

    def _plan_if_due(self, now: float) -> list[CoordinatorEffect]:
        if self._defers_work or not self._supervisor.is_due(now):
            return []
        return [*self._supervisor.plan(now)]

    def _send_alive(self, now: float) -> list[CoordinatorEffect]:
        """Sends which servers sent heartbeats, as often as hellos are sent."""
        if now < self._next_alive:
            return []
        self._next_alive = now + peer_directory_module.HELLO_PERIOD_S
        self.registry.prune(now, INSTANCE_RETENTION_S)
        self._pause_relay.prune(now)
        return [*self.reports.send_alive(now)]

    def _bootstrap_cluster(self, now: float) -> list[CoordinatorEffect]:
        """Bootstraps the configuration log at the cluster's first start."""
        members = announcements.find_founders(
            self._identity, voter=self.voter, peers=self.peers
        )
        if members is None:
            return []
        effects = self.voter.bootstrap(
            f"cluster-{self.voter.member}", tuple(sorted(members))
        )
        return [
            *self.configuration.convert_effects(effects, now),
            notes.note("cluster_founded", voters=members),
        ]

    # Messages.

    def _receive(
        self, sender: str, message: interface.Message, now: float
    ) -> list[CoordinatorEffect]:
        match message:
            case (
                consensus_messages.VoteRequest()
                | consensus_messages.VoteReply()
                | consensus_messages.AppendRequest()
                | consensus_messages.AppendReply()
                | consensus_messages.SnapshotRequest()
                | consensus_messages.JoinRequest()
            ):
                return [*self.configuration.receive(message, now)]
            case messages.CoordinatorHello():
                return [*self._exchange.handle_hello(message, now)]
            case messages.InstanceNews(_, received, is_full):
                if is_full and received:
                    self._supervisor.record_full_sync(now)
                return [*self.reports.merge_updates(sender, received, now)]
            case messages.DeparturesKept(node, names):
                return [
                    *self.reports.departures.handle_confirmation(node, names)
                ]
            case messages.Alive():
                return [*self.reports.handle_alive(message, now)]
            case messages.GatewayHello():
                return [*self._exchange.handle_gateway_hello(message, now)]
            case crash_messages.CrashNews():
                return [*self._exchange.handle_crash_update(message, now)]
            case notice_messages.PauseNews():
                return [*self._exchange.handle_pause_update(message, now)]
            case notice_messages.LeaveNews(_, leaves):
                left: list[CoordinatorEffect] = []
                for leave in leaves:
                    left += self.reports.record_draining(
                        leave.server, leave.born, now
                    )
                return left
            case limit_messages.LimitNews():
                return self._send_all(
                    self._permit_broker.merge_limits(message, now)
                )
            case limit_messages.PermitRequest():
                return self._send_all(
                    self._permit_broker.handle_request(
                        message,
                        sender,
                        has_recent_leader=self.is_fresh(now),
                        now=now,
                    )
                )
            case limit_messages.PermitReply(gateway):
                return [interface.Send(gateway, message)]
            case relay_messages.RelayRequest(origin) if origin == sender:
                return self._send_all(
                    self._relay_broker.handle_request(
                        message, self.gateways.list_all(now), now
                    )
                )
            case relay_messages.RelayOffer(origin):
                self._relay_broker.record_offer(message, now)
                return [interface.Send(origin, message)]
            case messages.StallNews(sender, heads):
                stalls = self._exchange.forward_stalls(message, now)
                for head in heads:
                    stalls += self._supervisor.suspect_group(head, sender, now)
                return [*stalls]
            case messages.ReplaceRequest(node, token, version, content):
                return [
                    *self.configuration.replace(
                        token, version, content, now, requester=node
                    )
                ]
            case messages.ReadRequest(node, token, version):
                return [
                    *self.configuration.read(
                        token, now, held_version=version, requester=node
                    )
                ]
            case messages.ReplaceReply() | messages.ReadReply():
                return [*self.configuration.receive_reply(message, now)]
            case _:
                return []

    # The configuration.

    def _handle_commit(self, now: float) -> list[CoordinatorEffect]:
        """Applies a committed configuration, unless that is put off."""
        return [] if self._defers_work else self._apply_configuration(now)

    def _apply_configuration(self, now: float) -> list[CoordinatorEffect]:
        """Decodes a new configuration, and plans by it."""
        if not self.configuration.has_unapplied:
            return []
        problems = self.configuration.apply()
        if problems:
            return [*problems]
        return [
            *self.reports.admit_named(now),
            *self._supervisor.plan_soon(now),
        ]

    def _use_document(self, document: document_module.Document) -> None:
        self._supervisor.services = document.services
        self.reports.services = frozenset(s.name for s in document.services)

    def _send_all(
        self, sent: Iterable[tuple[str, interface.Message]]
    ) -> list[CoordinatorEffect]:
        return [interface.Send(node, message) for node, message in sent]
