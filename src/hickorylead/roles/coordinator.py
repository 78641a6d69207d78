"""The reducer of a coordinator: a control node that gateways look up to.

It votes on the configuration, hears backend servers, forms and repairs their
groups, and tells gateways what they need.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs
from returns import result

from hickorylead import notes
from hickorylead.consensus import (
    configuration_requests,
    messages as consensus_messages,
    voter as voter_module,
)
from hickorylead.crashes import (
    crash_history as crash_history_module,
    crash_tracker as crash_tracker_module,
    messages as crash_messages,
)
from hickorylead.fleet import (
    descriptions,
    divergence,
    events,
    gateways as gateways_module,
    identity as identity_module,
    instances,
    messages,
    orders,
    peer_directory as peer_directory_module,
    registry as registry_module,
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
from hickorylead.roles import interface, nodes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    import random

    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import group_builder as group_builder_module

TICK_S = 0.05
FORGET_INSTANCE_S = 60.0
# Changes of backend servers are saved at most this often, in seconds: a save
# takes a sync, 2 ms on an ordinary disk, during which the loop waits.
SAVE_PERIOD_S = 1.0

CoordinatorEvent: TypeAlias = (
    interface.Tick
    | interface.MessageArrived
    | events.HeartbeatArrived
    | events.InstanceLeft
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
    | events.SaveCrashes
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
        read_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        policy: group_builder_module.StandbyPolicy,
        records: Sequence[consensus_messages.Record],
        rng: random.Random,
        now: float,
        tuning: voter_module.VoterOptions = voter_module.DEFAULT_OPTIONS,
    ) -> None:
        """Makes a coordinator that has just started.

        Args:
            identity: Who it is.
            read_document: Reads a whole configuration as operators send it.
            policy: The trade between downtime and stranded accelerators.
            records: What its journal holds.
            rng: Source of the spread of elections.
            now: Present time.
            tuning: How fast a lost voter is noticed.
        """
        self._identity = identity
        self._zone = nodes.get_zone(identity.node)
        self._read_document = read_document
        self.document: document_module.Document | None = None
        self.registry = registry_module.Registry()
        self.neighbours = peer_directory_module.PeerDirectory(
            node=identity.node, seeds=identity.seeds
        )
        self.gateways = gateways_module.Gateways(zone=self._zone)
        self._differences = divergence.DivergenceDetector()
        # Beside the registry, as a restart recalls both from the disk.
        self.crashes = crash_tracker_module.CrashTracker(identity.node)
        self._saved_crashes = 0
        self._limits = permit_broker.PermitBroker(
            identity.node,
            registry=self.registry,
            neighbours=self.neighbours,
            gateways=self.gateways,
        )
        self._notices = pause_relay.PauseRelay(identity.node)
        self._supervisor = supervisor_module.Supervisor(
            identity,
            policy=policy,
            start_id=f"{rng.getrandbits(24):x}",
            registry=self.registry,
            peers=self.neighbours,
            has_leader=lambda at: self.voter.has_leader(at),
            now=now,
        )
        self._next_hello = now
        self._alive: dict[str, int] = {}
        # News that gateways are told with the next tick, by server.
        self._untold: dict[str, instances.Instance] = {}
        self._saved_changes = 0
        self._next_save = now + SAVE_PERIOD_S
        self.restart_voter(records, rng, now, tuning)

    def restart_voter(
        self,
        records: Sequence[consensus_messages.Record],
        rng: random.Random,
        now: float,
        tuning: voter_module.VoterOptions,
    ) -> None:
        """Begins to vote with what the disk holds, after a start or a fault."""
        self.voter = voter_module.Voter(
            node=self._identity.node,
            incarnation=self._identity.incarnation,
            peers=tuple(self.neighbours.known),
            rng=rng,
            now=now,
            options=tuning,
        )
        self.voter.restore(records)
        self._whole = configuration_requests.ConfigurationRequests(
            node=self._identity.node, voter=self.voter
        )
        self._take_document()

    @property
    def version(self) -> int:
        """The operator's version that is held here."""
        return self.document.version if self.document else 0

    def is_fresh(self, now: float) -> bool:
        """Says whether the configuration held is surely a recent one."""
        if self.voter.role == "leader":
            return self.voter.is_ready_leader(now)
        return self.voter.is_caught_up and self.voter.has_leader(now)

    def reduce(
        self, event: CoordinatorEvent, now: float
    ) -> list[CoordinatorEffect]:
        """Handles one event and returns what is to be done."""
        match event:
            case interface.Tick():
                return self._tick(now)
            case interface.MessageArrived(sender, message):
                return self._receive(sender, message, now)
            case events.HeartbeatArrived(instance):
                return self._hear(instance, now)
            case events.InstanceLeft(name, born):
                return self._end(name, born, now)
            case events.ReplaceRequested(token, version, content):
                return self._wrap(
                    self._whole.replace(
                        token,
                        version=version,
                        content=content,
                        requester="",
                        now=now,
                    ),
                    now,
                )
            case events.ReadRequested(token):
                return self._wrap(
                    self._whole.read(
                        token, requester="", held_version=0, now=now
                    ),
                    now,
                )
            case orders.OrderAnswered():
                return [
                    *self._note_load(event, now),
                    *self._supervisor.handle_response(event),
                ]
            case orders.ReportArrived():
                return [*self._supervisor.handle_report(event, now)]
            case orders.NoticeArrived(name, born, retry_after_s, is_leaving):
                if retry_after_s is not None:
                    self._supervisor.pause_calls(
                        name, born, now + retry_after_s
                    )
                return self._drain(name, born, now) if is_leaving else []

    # Time.

    def _tick(self, now: float) -> list[CoordinatorEffect]:
        effects: list[CoordinatorEffect] = []
        self.voter.set_peers(tuple(self.neighbours.known))
        effects += self._wrap(self.voter.tick(now), now)
        effects += self._wrap(self._whole.tick(now), now)
        if now >= self._next_hello:
            self._next_hello = now + peer_directory_module.HELLO_PERIOD_S
            effects += self._greet(now)
            effects += self._found(now)
        effects += self._supervisor.probe_silent(now)
        effects += self._mark_lost(now)
        effects += self._tell_gateways(now)
        effects += self._send_all(
            self.gateways.tick(
                is_fresh=self.is_fresh(now),
                homed_elsewhere=self.neighbours.count_gateways(now),
                now=now,
            )
        )
        effects += self._block(now)
        effects += self._send_all(self._limits.tick(now))
        effects += self._tell_pauses(now)
        if self._supervisor.is_due(now):
            effects += self._supervisor.plan(now)
        return effects + self._save(now)

    def _save(self, now: float) -> list[CoordinatorEffect]:
        if now < self._next_save:
            return []
        effects: list[CoordinatorEffect] = []
        if self.registry.changes != self._saved_changes:
            self._saved_changes = self.registry.changes
            known = tuple(self.registry.list_present())
            effects.append(events.SaveInstances(known))
        if self.crashes.digest != self._saved_crashes:
            self._saved_crashes = self.crashes.digest
            effects.append(
                events.SaveCrashes(self.crashes.make_full_update(now))
            )
        if effects:
            self._next_save = now + SAVE_PERIOD_S
        return effects

    # Requests that end servers.

    def _take_crashes(
        self, news: crash_messages.CrashNews, now: float
    ) -> list[CoordinatorEffect]:
        # A gateway that has turned here tells before it is heard as one.
        is_passed = news.sender in self.neighbours.known
        others = [] if is_passed else self.neighbours.list_alive(now)
        # Each lost run is told twice, and again to a new home; a server that
        # answered the first time lives, and was asked for each of them.
        servers = self.crashes.list_new_servers(news)
        effects = self._send_all(self.crashes.merge(news, others, now))
        return [*effects, *self._supervisor.suspect_servers(servers, now)]

    def _block(self, now: float) -> list[CoordinatorEffect]:
        def has_ended(life: crash_history_module.Incarnation) -> bool:
            return self.registry.has_ended(life.server, life.born, now)

        sent, written = self.crashes.tick(
            has_ended,
            self.gateways.list_homed(now),
            now,
            other_home_coordinators=self.neighbours.list_homes(now),
        )
        return [*self._send_all(sent), *written]

    def _greet(self, now: float) -> list[CoordinatorEffect]:
        self.neighbours.prune(now)
        self.registry.prune(now, FORGET_INSTANCE_S)
        self._notices.prune(now)
        known = self.neighbours.known
        hello = messages.CoordinatorHello(
            node=self._identity.node,
            address=self._identity.address,
            incarnation=self.voter.member,
            nodes=tuple(known),
            addresses=tuple(n.address for n in known.values()),
            check=self.registry.digest,
            is_empty=self._identity.may_bootstrap and not self.voter.cluster,
            gateways=len(self.gateways.list_homed(now)),
            has_traffic=self._supervisor.has_traffic,
            crashes=self.crashes.digest,
        )
        targets = self.neighbours.list_hello_targets()
        effects: list[CoordinatorEffect] = [
            interface.Send(node, hello)
            for node in targets
            if node != f"@{self._identity.address}"
        ]
        if self._alive:
            alive = messages.Alive(
                self._identity.node,
                tuple(self._alive),
                tuple(self._alive.values()),
                tuple(
                    self.registry.changed_sequences.get(n, 0)
                    for n in self._alive
                ),
                tuple(self.registry.find_born(n) for n in self._alive),
            )
            self._alive = {}
            effects += [
                interface.Send(n, alive)
                for n in self.neighbours.list_alive(now)
            ]
        return effects

    def _found(self, now: float) -> list[CoordinatorEffect]:
        """Starts the configuration log, at the very first start only.

        All nodes know the same seeds then. The one with the lowest address
        waits until it has heard every other one, so that there is one log.
        """
        seeds = self._identity.seeds
        if (
            not self._identity.may_bootstrap
            or self.voter.cluster
            or not seeds
            or self._identity.address != min(seeds)
        ):
            return []
        by_address = {
            n.address: n
            for n in self.neighbours.known.values()
            if n.incarnation and n.is_empty
        }
        others = [by_address.get(s) for s in seeds[:] if s != min(seeds)]
        if any(other is None for other in others):
            return []
        members = [self.voter.member]
        members += [other.incarnation for other in others if other]
        effects = self.voter.bootstrap(
            f"cluster-{self.voter.member}", tuple(sorted(members))
        )
        return [
            *self._wrap(effects, now),
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
                effects = self._wrap(self.voter.receive(message, now), now)
                if isinstance(message, consensus_messages.AppendReply):
                    effects += self._wrap(self._whole.tick(now), now)
                return effects
            case messages.CoordinatorHello():
                return self._take_hello(message, now)
            case messages.InstanceNews(_, news, is_full):
                if is_full and news:
                    self._supervisor.record_full_sync(now)
                return self._take_news(news, now)
            case messages.Alive():
                return self._take_alive(message, now)
            case messages.GatewayHello():
                return self._take_gateway(message, now)
            case crash_messages.CrashNews():
                return self._take_crashes(message, now)
            case notice_messages.PauseNews():
                return self._take_pauses(message, now)
            case notice_messages.LeaveNews(_, leaves):
                effects = []
                for leave in leaves:
                    effects += self._drain(leave.server, leave.born, now)
                return effects
            case limit_messages.LimitNews():
                return self._send_all(self._limits.merge_limits(message, now))
            case limit_messages.PermitRequest():
                return self._send_all(
                    self._limits.handle_request(
                        message, sender, is_fresh=self.is_fresh(now), now=now
                    )
                )
            case limit_messages.PermitReply(gateway):
                return [interface.Send(gateway, message)]
            case messages.StallNews(sender, heads):
                effects = self._pass_stalls(message, now)
                for head in heads:
                    effects += self._supervisor.suspect_group(head, sender, now)
                return effects
            case messages.ReplaceRequest(node, token, version, content):
                return self._wrap(
                    self._whole.replace(
                        token,
                        version=version,
                        content=content,
                        requester=node,
                        now=now,
                    ),
                    now,
                )
            case messages.ReadRequest(node, token, version):
                return self._wrap(
                    self._whole.read(
                        token, requester=node, held_version=version, now=now
                    ),
                    now,
                )
            case messages.ReplaceReply() | messages.ReadReply():
                return self._wrap(self._whole.receive(message, now), now)
            case _:
                return []

    def _take_pauses(
        self, news: notice_messages.PauseNews, now: float
    ) -> list[CoordinatorEffect]:
        is_passed = news.sender in self.neighbours.known
        self._notices.merge(news, is_forwarded=is_passed, now=now)
        return self._tell_pauses(now)

    def _tell_pauses(self, now: float) -> list[CoordinatorEffect]:
        return self._send_all(
            self._notices.collect_messages(
                gateways=self.gateways.list_homed(now),
                coordinators=self.neighbours.list_alive(now),
                now=now,
            )
        )

    def _take_alive(
        self, alive: messages.Alive, now: float
    ) -> list[CoordinatorEffect]:
        revived = []
        for name, sequence, since, born in zip(
            alive.names, alive.sequences, alive.since, alive.born, strict=False
        ):
            if self.registry.touch(name, sequence, since, now, born=born):
                revived.append(self.registry.instances[name])
            if self.registry.find_born(name) == born:
                self._supervisor.clear_suspicion(name)
        if not revived:
            return []
        self._note_untold(revived)
        return [*self._supervisor.plan_soon(now)]

    def _take_hello(
        self, hello: messages.CoordinatorHello, now: float
    ) -> list[CoordinatorEffect]:
        is_new = hello.node not in self.neighbours.list_alive(now)
        differs = self._differences.needs_full_sync(
            hello.node, hello.check, self.registry.digest, now
        )
        self.neighbours.handle_hello(hello, now)
        if hello.has_traffic:
            # Only homes hear of requests from gateways.
            self._supervisor.record_traffic()
        effects = self._send_all(
            self.crashes.sync_coordinator(
                hello.node, hello.crashes, is_new=is_new, now=now
            )
        )
        if not is_new and not differs:
            return effects
        news = messages.InstanceNews(
            self._identity.node,
            tuple(self.registry.instances.values()),
            is_full=self._supervisor.has_full_view(now),
        )
        return [*effects, interface.Send(hello.node, news)]

    def _take_gateway(
        self, hello: messages.GatewayHello, now: float
    ) -> list[CoordinatorEffect]:
        if hello.loads:
            self._supervisor.record_traffic()
        is_new = not self.gateways.is_home_to(hello.node, hello.boot)
        effects = self._send_all(
            self.crashes.sync_gateway(
                hello.node, hello.blocked, is_new=is_new, now=now
            )
        )
        if is_new:
            effects += self._send_all(
                self._limits.make_initial_update(hello.node, now)
            )
            effects += self._send_all(
                self._notices.make_initial_update(hello.node, now)
            )
        effects += self._send_all(
            self.gateways.handle_hello(
                hello,
                registry=self.registry,
                known=messages.KnownCoordinators(
                    self._identity.node,
                    (self._identity.node, *self.neighbours.known),
                    (
                        self._identity.address,
                        *(n.address for n in self.neighbours.known.values()),
                    ),
                    self.is_fresh(now),
                ),
                sender=self._identity.node,
                now=now,
            )
        )
        for name in hello.stalled:
            effects += self._supervisor.suspect_group(name, hello.node, now)
        for flow in hello.flowing:
            self._supervisor.record_output(
                flow.name, now - flow.age_ms / 1000.0
            )
        if self.gateways.needs_document(hello.node, self.version, now):
            effects.append(interface.Send(hello.node, self._make_update(now)))
        return effects

    def _make_update(self, now: float) -> messages.DocumentUpdate:
        held = self.voter.configuration
        return messages.DocumentUpdate(
            self._identity.node,
            self.version,
            held.content if self.document else b"",
            self.is_fresh(now),
        )

    # Backend servers.

    def _hear(
        self, instance: instances.Instance, now: float
    ) -> list[CoordinatorEffect]:
        known = self.registry.instances.get(instance.name)
        if known is not None and instance.born < known.born:
            # A heartbeat of a former life, held up on its way, says nothing
            # about whether the present one lives.
            return []
        self._supervisor.clear_suspicion(instance.name)
        if not self.registry.merge(instance, now):
            self._alive[instance.name] = instance.sequence
            return []
        return self._spread([instance], known, now)

    def _note_load(
        self, answered: orders.OrderAnswered, now: float
    ) -> list[CoordinatorEffect]:
        """Tells all nodes that a server loads a model; it does not tell so.

        A planner that restarts, or takes over from another one, would start
        more loads than the store serves at full speed.
        """
        known = self.registry.instances.get(answered.name)
        if (
            known is None
            or answered.status != 202
            or not isinstance(answered.order, orders.Stage)
        ):
            return []
        news = attrs.evolve(known, loading=answered.order.model)
        if not self.registry.merge(news, now):
            return []
        return self._spread([news], known, now)

    def _end(self, name: str, born: int, now: float) -> list[CoordinatorEffect]:
        known = self.registry.instances.get(name)
        if known is None or known.phase == instances.PHASE_GONE:
            return []
        if born and born < known.born:
            # A former life under this id ended; the news of it came late.
            return []
        gone = attrs.evolve(known, phase=instances.PHASE_GONE)
        self.registry.merge(gone, now)
        return self._spread([gone], known, now)

    def _drain(
        self, name: str, born: int, now: float
    ) -> list[CoordinatorEffect]:
        """Takes that a server said with an answer that it leaves.

        Its heartbeats may not tell so, or not come here.
        """
        known = self.registry.instances.get(name)
        if (
            known is None
            or known.phase != instances.PHASE_READY
            or known.born != born
        ):
            return []
        news = attrs.evolve(known, phase=instances.PHASE_DRAINING)
        if not self.registry.merge(news, now):
            return []
        return self._spread([news], known, now)

    def _spread(
        self,
        changed: list[instances.Instance],
        known: instances.Instance | None,
        now: float,
    ) -> list[CoordinatorEffect]:
        """Tells all nodes what was heard here first.

        Other coordinators tell the gateways that have them as home; to tell
        those from here as well doubled what each gateway gets.
        """
        news = messages.InstanceNews(self._identity.node, tuple(changed))
        effects: list[CoordinatorEffect] = [
            interface.Send(node, news)
            for node in self.neighbours.list_alive(now)
        ]
        for instance in changed:
            effects.append(descriptions.describe_change(instance, known))
        self._note_untold(changed)
        if any(instances.is_urgent(i, known) for i in changed):
            effects += self._tell_gateways(now)
        return effects + self._supervisor.plan_soon(now)

    def _note_untold(self, changed: Iterable[instances.Instance]) -> None:
        """Keeps what gateways are to be told, as it is known here.

        A server that joined and left a group between two ticks has the model
        of that group; what it told last does not say so.
        """
        for instance in changed:
            known = self.registry.instances[instance.name]
            self._untold[known.name] = known

    def _tell_gateways(self, now: float) -> list[CoordinatorEffect]:
        """Tells the gateways of this home what is new."""
        if not self._untold:
            return []
        update = messages.InstanceNews(
            self._identity.node, tuple(self._untold.values())
        )
        self._untold = {}
        return [
            interface.Send(n, update) for n in self.gateways.list_homed(now)
        ]

    def _take_news(
        self, news: Sequence[instances.Instance], now: float
    ) -> list[CoordinatorEffect]:
        before = {
            item.name: self.registry.instances.get(item.name) for item in news
        }
        changed = registry_module.merge_all(self.registry, news, now)
        if not changed:
            return []
        for instance in changed:
            if not instance.silent:
                self._supervisor.clear_suspicion(instance.name)
        self._note_untold(changed)
        effects: list[CoordinatorEffect] = []
        if any(instances.is_urgent(i, before[i.name]) for i in changed):
            effects += self._tell_gateways(now)
        return effects + self._supervisor.plan_soon(now)

    def _pass_stalls(
        self, news: messages.StallNews, now: float
    ) -> list[CoordinatorEffect]:
        """Tells the other gateways what one of them saw first."""
        own = self.gateways.list_homed(now)
        targets = [node for node in own if node != news.sender]
        if news.sender in own:
            # From a gateway of ours; the other zones have not heard it.
            targets += self.neighbours.list_alive(now)
        passed = messages.StallNews(self._identity.node, news.heads)
        return [interface.Send(node, passed) for node in targets]

    def _mark_lost(self, now: float) -> list[CoordinatorEffect]:
        effects: list[CoordinatorEffect] = []
        for instance in self._supervisor.list_newly_lost(now):
            silent = attrs.evolve(instance, silent=True)
            if self.registry.merge(silent, now):
                effects += self._spread([silent], instance, now)
        return effects

    # The configuration.

    def _wrap(
        self, effects: Iterable[configuration_requests.Effect], now: float
    ) -> list[CoordinatorEffect]:
        wrapped: list[CoordinatorEffect] = []
        for effect in effects:
            match effect:
                case consensus_messages.Send(node, message):
                    wrapped.append(interface.Send(node, message))
                case configuration_requests.SendTo(node, message):
                    wrapped.append(interface.Send(node, message))
                case consensus_messages.Answer(outcome):
                    wrapped += self._wrap(
                        self._whole.handle_committed(outcome.change_id), now
                    )
                case consensus_messages.Abandon(change_id):
                    self._whole.handle_abandoned(change_id)
                case consensus_messages.Apply():
                    wrapped += self._apply(now)
                case _:
                    wrapped.append(effect)
        return wrapped

    def _apply(self, now: float) -> list[CoordinatorEffect]:
        before = self.version
        problem = self._take_document()
        if problem:
            return [
                notes.note(
                    "configuration_unreadable", level="error", why=problem
                )
            ]
        if self.version == before:
            return []
        update = self._make_update(now)
        own = self.gateways.list_homed(now)
        self.gateways.record_document_sent(own, now)
        effects: list[CoordinatorEffect] = [
            interface.Send(node, update) for node in own
        ]
        effects.append(
            notes.note(
                "configuration_applied",
                version_before=before,
                outside_version=self.version,
                leader=self.voter.leader,
            )
        )
        return effects + self._supervisor.plan(now)

    def _take_document(self) -> str:
        """Reads the configuration that the voter holds; returns a problem."""
        held = self.voter.configuration
        if not held.content or held.outside_version <= self.version:
            # A voter that begins anew may hold less than was known here.
            return ""
        match self._read_document(held.content):
            case result.Success(found):
                self.document = found
                self._supervisor.services = found.services
                return ""
            case result.Failure(problem):
                return str(problem)
        raise AssertionError("a result is a success or a failure")

    def _send_all(
        self, sent: Iterable[tuple[str, interface.Message]]
    ) -> list[CoordinatorEffect]:
        return [interface.Send(node, message) for node, message in sent]
