"""Control costs at several sizes, from the real reducers and real frames.

A complete deployment runs in one process, in simulated time. What each node
sends is encoded by the real codec and counted; the processor time of each
reducer is measured around the call.
"""

from __future__ import annotations

import collections
import gc
import pathlib
import sys
import time
import tracemalloc
from typing import Any

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from support import operator_actions, servers, simulation as simulation_module

from hickorylead.claims import claim_holder, messages as claim_messages
from hickorylead.configuration import changes, model
from hickorylead.membership import announcements, registry
from hickorylead.placement import planner
from hickorylead.routing import publisher, table
from hickorylead.wire import codec, frame
from hickorylead_standins import batch

MEASURED_S = 10.0
CLAIMS = 5000
FRAME_OVERHEAD = frame.HEADER.size


@attrs.frozen
class Size:
    """One size of a deployment.

    Attributes:
        zones: Availability zones.
        entries: Entries in each zone.
        replicas: Replicas in each zone.
        group_size: VMs of a replica.
    """

    zones: int
    entries: int
    replicas: int
    group_size: int


SIZES = (
    Size(3, 3, 17, 2),
    Size(3, 12, 17, 2),
    Size(5, 18, 30, 2),
    Size(5, 18, 30, 8),
    Size(5, 36, 60, 8),
    Size(5, 72, 120, 2),
    Size(5, 72, 120, 8),
)


@attrs.define
class Cost:
    """What one node sent, received and computed in the measured time."""

    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0
    processor_s: float = 0.0


class CountingSimulation(simulation_module.Simulation):
    """A simulation that counts bytes and processor time of every node."""

    def __init__(self, **options: Any) -> None:
        self.costs: dict[str, Cost] = collections.defaultdict(Cost)
        self.bytes_by_message: collections.Counter[str] = collections.Counter()
        self.is_counting = False
        super().__init__(**options)

    def send(self, source: str, target: str, message: Any) -> None:
        """Counts a message, then sends it."""
        if self.is_counting and source != target:
            envelope = codec.Envelope(source, "10.0.0.10:7000", message)
            size = len(codec.encode_envelope(envelope)) + FRAME_OVERHEAD
            self.costs[source].sent_bytes += size
            self.costs[source].messages += 1
            self.costs[target].received_bytes += size
            self.bytes_by_message[type(message).__name__] += size
        super().send(source, target, message)

    def deliver(self, node: str, event: Any) -> None:
        """Measures a node's reducer and applies its effects."""
        role = self.roles.get(node)
        if role is None:
            return
        start = time.process_time()
        effects = role.reduce(event, self.now)
        if self.is_counting:
            self.costs[node].processor_s += time.process_time() - start
        for effect in effects:
            self._apply_effect(node, effect)


def build(size: Size) -> CountingSimulation:
    """Returns a deployment that serves and has counted nothing yet."""
    zones = tuple(f"zone{z}" for z in range(size.zones))
    simulation = CountingSimulation(zones=zones, vms=size.entries)
    for zone in zones:
        for number in range(size.replicas * size.group_size):
            simulation.add_server(_make_member(zone, number, size.group_size))
    operator_actions.bootstrap_cluster(simulation)
    service = model.Service(
        "assistant", model="lead", version="1", group_size=size.group_size
    )
    operator_actions.apply(simulation, changes.ApplyService(service))
    shares = tuple(model.Share("assistant", z, size.replicas) for z in zones)
    operator_actions.apply(
        simulation, changes.ApplyPreset(model.Preset("p", shares))
    )
    operator_actions.apply(simulation, changes.SwitchPreset("p"))
    simulation.run(12)
    return simulation


def _make_member(zone: str, number: int, size: int) -> servers.Server:
    """Returns a server that is already a member of a group."""
    server = servers.make_engine(zone, number, domain=f"{zone}-d{number // 64}")
    vm = f"{zone}-vm{number:05}"
    group = f"assistant/{zone}/1-{number // size}"
    if number % size == 0:
        # Cap'n Proto packs a table with varied loads less well than one of
        # idle replicas.
        for request in range(1 + number % 7):
            server.batch.submit(batch.Work(f"r{request}", "d", 3, 1, 10**6))
    server.member.state = attrs.evolve(
        server.state,
        vm=vm,
        address=f"10.1.{number // 250}.{number % 250}:8000",
        phase=announcements.PHASE_READY,
        service="assistant",
        group=group,
        generation=1,
        rank=number % size,
        size=size,
        weights="lead@1",
    )
    return server


def measure(size: Size) -> dict[str, Any]:
    """Returns the costs of each role at one size, per node and second."""
    simulation = build(size)
    simulation.is_counting = True
    simulation.run(MEASURED_S)
    holders = {
        node
        for zone in simulation.zones
        for node in operator_actions.list_lease_holders(simulation, zone)
    }
    leader = operator_actions.find_leader(simulation)
    roles = {
        "entry": list(simulation.entries),
        "control": [n for n in simulation.controls if n not in holders],
        "holder": sorted(holders),
        "leader": [leader],
    }
    serving = [
        operator_actions.count_replicas(simulation, n)
        for n in simulation.entries
    ]
    expected = size.zones * size.replicas
    assert min(serving) == expected, (min(serving), expected)
    result: dict[str, Any] = {"size": size}
    for role, names in roles.items():
        costs = [simulation.costs[name] for name in names]
        result[role] = {
            "sent": sum(c.sent_bytes for c in costs) / len(costs) / MEASURED_S,
            "received": sum(c.received_bytes for c in costs)
            / len(costs)
            / MEASURED_S,
            "messages": sum(c.messages for c in costs)
            / len(costs)
            / MEASURED_S,
            "core": sum(c.processor_s for c in costs) / len(costs) / MEASURED_S,
        }
    result["kinds"] = simulation.bytes_by_message.most_common(4)
    return result


def measure_memory(members: int, group_size: int) -> dict[str, float]:
    """Returns sizes in bytes of parts of a holder's and an entry's state."""
    gc.collect()
    tracemalloc.start()
    membership = registry.MembershipRegistry()
    for number in range(members):
        state = _make_member("zone0", number, group_size).state
        membership.members[state.vm] = registry.Member(state, "zone0/vm1/entry")
    registry_bytes = tracemalloc.get_traced_memory()[0]
    plan = planner.Planner(zone="zone0", policy=planner.Policy())
    plan.adopt(membership.members)
    plan.plan(
        members=membership.members,
        configuration=None,
        shares=[],
        fence=1,
        now=0.0,
    )
    replicas = publisher.build_table(membership.members, plan)
    holder_bytes = tracemalloc.get_traced_memory()[0]
    replica_table = table.ReplicaTable()
    table_publisher = publisher.Publisher(zone="zone0")
    table_publisher.publish(
        replicas=replicas,
        members=membership.members,
        recipients=[],
        fence=1,
        now=0.0,
    )
    replica_table.apply_update(
        table_publisher.make_full_update(membership.members), 0.0
    )
    replica_table.list_replicas("assistant")
    table_bytes = tracemalloc.get_traced_memory()[0] - holder_bytes
    before = tracemalloc.get_traced_memory()[0]
    claims = claim_holder.ClaimHolder(node="zone0/vm1/control", started_at=0.0)
    for number in range(CLAIMS):
        key = f"work-orders\nkahikatea\n01J{number:023}"
        request = claim_messages.ClaimRequest(
            "zone0/vm1/entry", key, f"zone0.vm1.{number:x}", "f" * 32, 1e6, 1e6
        )
        claims.receive(request, 1e6)
        response = claim_messages.FinalAnswer(
            "ran", 200, "text/plain", b"x" * 100
        )
        claims.receive(
            claim_messages.ClaimFinish(key, request.owner, response), 1e6
        )
    assert len(claims) == CLAIMS
    claim_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(replicas) == members // group_size
    return {
        "registry per server": registry_bytes / members,
        "groups per server": (holder_bytes - registry_bytes) / members,
        "table per replica": table_bytes / max(1, len(replicas)),
        "claim with an answer of 100 bytes": claim_bytes / CLAIMS,
    }


def run() -> str:
    """Measures all sizes and returns the tables in Markdown."""
    lines = [
        "| zones | entries | replicas | VMs of a replica | role | sent B/s |"
        " received B/s | messages/s | % of a core |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for size in SIZES:
        costs = measure(size)
        for role in ("entry", "control", "holder", "leader"):
            cost = costs[role]
            lines.append(
                f"| {size.zones} | {size.zones * size.entries} |"
                f" {size.zones * size.replicas} | {size.group_size} | {role} |"
                f" {cost['sent']:.0f} | {cost['received']:.0f} |"
                f" {cost['messages']:.1f} | {100 * cost['core']:.2f} |"
            )
        sys.stderr.write(f"{size}: {costs['kinds']}\n")
    lines += ["", "| state | 500 servers | 3,840 servers |", "|---|---|---|"]
    small, large = measure_memory(500, 8), measure_memory(3840, 32)
    lines += [
        f"| bytes, {name} | {small[name]:.0f} | {large[name]:.0f} |"
        for name in small
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.stdout.write(run())
