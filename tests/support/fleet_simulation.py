"""Coordinators, gateways and backend servers in simulated time.

All run in one process. The network delays messages and can be partitioned;
disks keep what was persisted. The nodes run the reducers of the product.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from typing import TYPE_CHECKING, Any

import attrs
from returns import result

from hickorylead import notes
from hickorylead.admission import budget
from hickorylead.configuration import document
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
)
from hickorylead.roles import (
    coordinator,
    gateway,
    gateway_parts,
    interface,
    nodes,
)
from support import simulated_servers

if TYPE_CHECKING:
    from collections.abc import Mapping

ZONES = ("z1", "z2", "z3")
LATENCY_S = 0.001
HEARTBEAT_S = 1.2
VOTER_OPTIONS = options.derive_options(catch_up_s=4.0, max_lost_disks=1)
MODELS = (
    document.ModelProfile("large", 3, 0.6, 1.0, 1.5, 0.5),
    document.ModelProfile("small", 2, 0.4, 0.6, 1.5, 0.5),
)
ENGINE = document.EngineProfile(
    slots=8,
    kv_cache_tokens=100_000,
    decode_step_s=0.006,
    decode_step_per_request_s=0.0005,
    decode_step_per_context_token_s=0.0,
    prefill_per_token_s=1 / 46000,
    prefill_chunk_tokens=2048,
    steps_per_event=5,
    models=MODELS,
    max_load_starts_per_s=4.0,
)


def make_document(version: int, **changes: Any) -> document.Document:
    """Returns a configuration with one model route and one plain route."""
    return attrs.evolve(
        document.Document(
            version=version,
            routes=(
                document.Route(
                    "drafts",
                    "host",
                    "/drafts/",
                    document.RouteKind.STREAM,
                    (document.Target("model", 1.0),),
                    8.0,
                    0.3,
                    0.2,
                    max_attempts=2,
                    has_prompts=True,
                    resumable=True,
                ),
                document.Route(
                    "alerts",
                    "host",
                    "/alerts/",
                    document.RouteKind.NON_IDEMPOTENT,
                    (document.Target("plain", 1.0),),
                    1.0,
                    0.1,
                ),
                document.Route(
                    "notices",
                    "host",
                    "/notices/",
                    document.RouteKind.IDEMPOTENT,
                    (document.Target("plain", 1.0),),
                    1.0,
                    0.1,
                    max_attempts=2,
                ),
            ),
            services=(
                document.Service("model", engine=ENGINE),
                document.Service("plain"),
            ),
            workspaces=(document.Workspace("crew", ("key",), 1),),
        ),
        **changes,
    )


def encode_content(found: document.Document) -> bytes:
    """Returns content for `decode_content`, in a format of the tests only."""
    fields = {
        "keys": [w.keys for w in found.workspaces],
        "plain": [s.name for s in found.services if s.engine is None],
    }
    return document.compress_content(
        f"{found.version} {json.dumps(fields)}".encode()
    )


def decode_content(packed: bytes) -> result.Result[document.Document, str]:
    """Returns the configuration that `encode_content` has encoded."""
    version, _, fields = (
        document.decompress_content(packed).decode().partition(" ")
    )
    decoded = json.loads(fields)
    workspaces = tuple(
        document.Workspace("crew", tuple(keys), 1) for keys in decoded["keys"]
    )
    services = (
        document.Service("model", engine=ENGINE),
        *(document.Service(name) for name in decoded["plain"]),
    )
    return result.Success(
        make_document(int(version), workspaces=workspaces, services=services)
    )


@attrs.define
class Disk:
    """What a coordinator has persisted."""

    incarnation: str
    records: list[consensus_messages.Record] = attrs.field(factory=list)
    servers: tuple[instances.Instance, ...] = ()
    departures: list[instances.Instance] = attrs.field(factory=list)
    crashes: crash_messages.CrashNews | None = None
    gateways: fleet_messages.GatewayRecord | None = None


class FleetSimulation:
    """All nodes of a small deployment."""

    # Further arguments of each coordinator.
    coordinator_arguments: Mapping[str, Any] = {}

    def __init__(
        self,
        *,
        seed: int = 1,
        servers_per_zone: int = 6,
        domain_size: int = 6,
        gateways_per_zone: int = 2,
        coordinators_per_zone: int = 1,
        retry_limits: budget.RetryLimits = budget.DEFAULT_RETRY_LIMITS,
        zones: tuple[str, ...] = ZONES,
        voter_options: options.VoterOptions = VOTER_OPTIONS,
    ) -> None:
        self.now = 100.0
        self._zones = zones
        self._voter_options = voter_options
        self._retry_limits = retry_limits
        self.rng = random.Random(seed)
        self._queue: list[tuple[float, int, Any]] = []
        self._sequence = itertools.count()
        self.coordinators: dict[str, coordinator.Coordinator] = {}
        self.gateways: dict[str, gateway.Gateway] = {}
        self.disks: dict[str, Disk] = {}
        self.servers: dict[str, simulated_servers.SimulatedServer] = {}
        self.frozen: set[str] = set()
        # Events that arrived while a node was frozen, in order.
        self.buffers: dict[str, list[Any]] = {}
        # Nodes whose messages each node has received since it started.
        self.known_senders: dict[str, set[str]] = {}
        self.partitions: set[frozenset[str]] = set()
        # (sender, target) pairs whose messages are dropped.
        self.one_way_partitions: set[tuple[str, str]] = set()
        # Accepted joins that removed a server from a group with an open head.
        self.conflicting_joins: list[str] = []
        self.outcomes: dict[str, Any] = {}
        # Time that a sync takes, in seconds.
        self.disk_delay_s = 0.002
        # Coordinators whose disk accepts no departures.
        self.failed_disks: set[str] = set()
        # Whether the test makes work fail.
        self.may_fail = False
        self.notes: list[tuple[float, str, Any]] = []
        self.gateway_effects: list[tuple[float, str, Any]] = []
        # Called with sender, target and message for each message sent.
        self.on_send = None
        # Called with coordinator and effect for each order and probe.
        self.on_server_call = None
        self._start_count = 0
        # Start times and names of gateways.
        self.starts: list[tuple[float, str]] = []
        self.coordinator_names = [
            nodes.make_node_name(zone, f"core{number or ''}", nodes.COORDINATOR)
            for number in range(coordinators_per_zone)
            for zone in zones
        ]
        # Operators list at most three coordinators as seeds.
        self.seeds = tuple(self.coordinator_names[:3])
        for node in self.coordinator_names:
            self.disks[node] = Disk(f"d{len(self.disks)}")
            self.start(node, first=True)
        for zone in zones:
            for number in range(1, gateways_per_zone + 1):
                vm = f"front{number}"
                self.start_gateway(
                    nodes.make_node_name(zone, vm, nodes.GATEWAY)
                )
            for number in range(servers_per_zone):
                self.add_server(
                    f"{zone}-s{number}", zone, number // domain_size
                )
        self.call_at(HEARTBEAT_S, self._schedule_heartbeats)

    # Nodes.

    def start(self, node: str, *, first: bool = False) -> None:
        """Starts a coordinator with what its disk holds."""
        disk = self.disks[node]
        self.known_senders.pop(node, None)
        self.coordinators[node] = coordinator.Coordinator(
            identity.Identity(
                node=node,
                address=node,
                incarnation=disk.incarnation,
                seeds=self.seeds,
                may_bootstrap=first,
                heartbeat_s=HEARTBEAT_S,
                zones=self._zones,
            ),
            decode_document=decode_content,
            policy=group_builder_module.StandbyPolicy(),
            records=list(disk.records),
            rng=random.Random(f"{node}{self.rng.random()}"),
            now=self.now,
            voter_options=self._voter_options,
            **self.coordinator_arguments,
        )
        role = self.coordinators[node]
        role.registry.restore(disk.servers, self.now)
        role.registry.restore(disk.departures, self.now)
        if disk.crashes is not None:
            role.crashes.restore(disk.crashes, self.now)
        if disk.gateways is not None:
            role.gateways.restore(disk.gateways, self.now)
        self.call_at(0.0, lambda: self._tick(node, role, coordinator.TICK_S))

    def start_gateway(self, node: str) -> None:
        """Starts a gateway without any state."""
        self._start_count += 1
        self.starts.append((self.now, node))
        self.known_senders.pop(node, None)
        self.gateways[node] = gateway.Gateway(
            gateway_parts.Identity(
                node,
                self._start_count,
                self.seeds,
                retry_limits=self._retry_limits,
                relay_address=f"{node}:relay",
                relay_token=f"token {self._start_count}",
            ),
            decode_document=decode_content,
            rng=random.Random(f"{node}{self.rng.random()}"),
            now=self.now,
        )
        role = self.gateways[node]
        self.call_at(0.0, lambda: self._tick(node, role, gateway.TICK_S))

    def kill(self, node: str) -> None:
        """Kills a process; its disk stays."""
        self.coordinators.pop(node, None)
        self.gateways.pop(node, None)

    def wipe(self, node: str) -> None:
        """Empties a disk."""
        self.disks[node] = Disk(f"w{next(self._sequence)}")

    def add_server(
        self, name: str, zone: str, domain: int = 0
    ) -> simulated_servers.SimulatedServer:
        """Adds an empty backend server."""
        server = simulated_servers.SimulatedServer(
            name, zone, f"{zone}-d{domain}", address=f"{name}:80"
        )
        self.servers[name] = server
        self.call_at(0.05, lambda: self.send_heartbeat(server))
        return server

    def unfreeze(self, node: str) -> None:
        """Unfreezes a node; it handles its buffered events first."""
        self.frozen.discard(node)
        for event in self.buffers.pop(node, []):
            self.apply(node, event)

    def partition(self, first: str, second: str) -> None:
        """Partitions the network between two nodes in both directions."""
        self.partitions.add(frozenset((first, second)))

    def heal(self) -> None:
        """Removes all partitions."""
        self.partitions.clear()
        self.one_way_partitions.clear()

    # Time.

    def run(self, seconds: float) -> None:
        """Advances the simulated time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def run_until(self, condition, limit_s: float = 20.0) -> float:
        """Advances the time until a condition holds; returns the time taken."""
        started_at = self.now
        while not condition():
            if self.now - started_at > limit_s:
                raise AssertionError(f"condition not met within {limit_s} s")
            self.run(0.02)
        return self.now - started_at

    def call_at(self, delay_s: float, action) -> None:
        entry = (self.now + delay_s, next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def _tick(self, node: str, role: Any, period_s: float) -> None:
        if self._find_role(node) is not role:
            return
        if node not in self.frozen:
            self.apply(node, interface.Tick(0.0))
        self.call_at(period_s, lambda: self._tick(node, role, period_s))

    def _find_role(self, node: str) -> Any:
        return self.coordinators.get(node) or self.gateways.get(node)

    # Events and effects.

    def apply(self, node: str, event: Any) -> None:
        """Delivers an event to a node and carries out its effects."""
        role = self._find_role(node)
        if role is None:
            return
        if node in self.frozen:
            self.buffers.setdefault(node, []).append(event)
            return
        for effect in role.reduce(event, self.now):
            self._carry_out(node, effect)

    def _carry_out(self, node: str, effect: Any) -> None:
        match effect:
            case notes.Note("work_failed") if not self.may_fail:
                raise AssertionError(f"{node}: {effect}")
            case interface.Send(target, message):
                # As on real connections, a name can be sent to only after a
                # message from that node arrived; "@" precedes an address.
                if (
                    not target.startswith("@")
                    and target != node
                    and target not in self.known_senders.get(node, ())
                ):
                    return
                target = target.removeprefix("@")
                if self.on_send is not None:
                    self.on_send(node, target, message)
                if (
                    frozenset((node, target)) in self.partitions
                    or (node, target) in self.one_way_partitions
                ):
                    return
                arrived = interface.MessageArrived(node, message, 0.0)
                self.call_at(LATENCY_S, lambda: self._arrive(target, arrived))
            case consensus_messages.Persist(record):
                self.disks[node].records.append(record)
            case events.SaveInstances(known):
                self.disks[node].servers = known
                self.disks[node].departures.clear()
            case events.SaveDepartures():
                self.call_at(
                    self.disk_delay_s,
                    lambda: self._save_departures(node, effect),
                )
            case events.AnswerReport(token, accepted):
                self.outcomes[token] = accepted
            case events.SaveCrashes(known):
                self.disks[node].crashes = known
            case events.SaveGatewayRecord(record):
                self.disks[node].gateways = record
            case events.AnswerReplace(token, accepted):
                self.outcomes[token] = accepted
            case events.AnswerRead(token, version, content):
                self.outcomes[token] = None if content is None else version
            case orders.SendOrder():
                self.call_at(LATENCY_S, lambda: self._send_order(node, effect))
            case orders.RequestReport():
                self.call_at(
                    LATENCY_S, lambda: self._handle_probe(node, effect)
                )
            case _ if node in self.gateways:
                self.gateway_effects.append((self.now, node, effect))
            case _:
                self.notes.append((self.now, node, effect))

    def _save_departures(
        self, node: str, effect: events.SaveDepartures
    ) -> None:
        if node not in self.coordinators:
            return
        is_saved = node not in self.failed_disks
        if is_saved:
            self.disks[node].departures += effect.servers
        self.apply(node, events.DeparturesSaved(effect, is_saved))

    def _arrive(self, target: str, arrived: interface.MessageArrived) -> None:
        if self._find_role(target) is not None and target not in self.frozen:
            self.known_senders.setdefault(target, set()).add(arrived.sender)
        self.apply(target, arrived)

    def _send_order(self, node: str, effect: orders.SendOrder) -> None:
        if self.on_server_call is not None:
            self.on_server_call(node, effect)
        server = self.servers.get(effect.name)
        if server is None or frozenset((node, effect.name)) in self.partitions:
            no_response = orders.OrderAnswered(effect.name, effect.order, 0)
            self.call_at(0.4, lambda: self.apply(node, no_response))
            return
        previous_group = server.member.group
        had_open_head = self._has_open_head(server)
        status = server.apply_order(effect.order, effect.expected, self.now)
        is_join = isinstance(effect.order, orders.Join)
        if status == 202 and had_open_head and is_join:
            self.conflicting_joins.append(
                f"{self.now:.3f}: {node} moved {effect.name} from serving group"
                f" {previous_group} to {effect.order.group}"
            )
        self.send_heartbeat(server)
        self.call_at(0.51, lambda: self._advance(server))
        self.call_at(0.21, lambda: self._advance(server))
        self.call_at(0.31, lambda: self._advance(server))
        self.call_at(
            simulated_servers.LOAD_S + 0.01, lambda: self._advance(server)
        )
        response = orders.OrderAnswered(effect.name, effect.order, status)
        self.call_at(LATENCY_S, lambda: self.apply(node, response))

    def _handle_probe(self, node: str, probe: orders.RequestReport) -> None:
        if self.on_server_call is not None:
            self.on_server_call(node, probe)
        server = self.servers.get(probe.name)
        is_reachable = (
            server is not None
            and frozenset((node, probe.name)) not in self.partitions
        )
        arrived = orders.ReportArrived(
            probe.name,
            server.accepted if server and is_reachable else None,
            member=server.member if server else instances.Membership(),
        )
        wait_s = LATENCY_S if is_reachable else 0.25
        self.call_at(wait_s, lambda: self.apply(node, arrived))

    def _advance(self, server: simulated_servers.SimulatedServer) -> None:
        if server.alive and server.advance(self.now):
            self.send_heartbeat(server)

    def send_heartbeat(self, server: simulated_servers.SimulatedServer) -> None:
        if not server.alive:
            return
        heartbeat = server.make_heartbeat()
        reachable = [
            node
            for node in self.coordinators
            if frozenset((node, server.name)) not in self.partitions
            and node not in self.frozen
        ]
        own = [n for n in reachable if nodes.get_zone(n) == server.zone]
        if own or reachable:
            node = self.rng.choice(own or reachable)
            event = events.HeartbeatArrived(heartbeat)
            self.call_at(LATENCY_S, lambda: self.apply(node, event))

    def _schedule_heartbeats(self) -> None:
        for server in list(self.servers.values()):
            # Each server sends at a random time within the period.
            delay_s = self.rng.uniform(0.0, 0.9 * HEARTBEAT_S)
            self.call_at(delay_s, lambda s=server: self.send_heartbeat(s))
        self.call_at(HEARTBEAT_S, self._schedule_heartbeats)

    # Faults, requests and state for tests.

    def crash(self, name: str) -> None:
        """Crashes a backend server without a message."""
        self.servers.pop(name).alive = False

    def replace(self, node: str, version: int, token: str = "") -> str:
        """Sends a configuration to a coordinator; returns the token."""
        token = token or f"t{next(self._sequence)}"
        content = encode_content(make_document(version))
        self.apply(node, events.ReplaceRequested(token, version, content))
        return token

    def read(self, node: str) -> str:
        """Reads the newest configuration; returns the token of the request."""
        token = f"r{next(self._sequence)}"
        self.apply(node, events.ReadRequested(token))
        return token

    def find_leader(self) -> str:
        """Returns the coordinator that leads; empty if none does."""
        for node, role in self.coordinators.items():
            if role.voter.is_ready_leader(self.now):
                return node
        return ""

    def list_open_heads(self) -> list[simulated_servers.SimulatedServer]:
        """Returns the heads that serve, with all members alive."""
        return [
            server
            for server in self.servers.values()
            if server.member.state == instances.GROUP_OPEN
            and all(self._is_in_group(name, server) for name in server.members)
        ]

    def _is_in_group(
        self, name: str, head: simulated_servers.SimulatedServer
    ) -> bool:
        member = self.servers.get(name)
        return member is not None and (member.member.group == head.member.group)

    def _has_open_head(self, server: simulated_servers.SimulatedServer) -> bool:
        """Returns whether the head of the server's group is open."""
        if not server.member.group:
            return False
        head = self.servers.get(server.members[0])
        return (
            head is not None
            and head.member.state == instances.GROUP_OPEN
            and head.member.group == server.member.group
            and head.member.epoch == server.member.epoch
        )

    def bootstrap(self, version: int = 1) -> None:
        """Puts a first configuration in force and waits for groups."""
        self.run(2.0)
        token = self.replace(self.coordinator_names[0], version)
        self.run_until(lambda: self.outcomes.get(token) is True, 5.0)
        self.run_until(lambda: len(self.list_open_heads()) >= 2 * len(ZONES))
        self.run(1.0)
