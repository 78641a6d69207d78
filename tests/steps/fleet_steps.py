"""Steps about coordinators, gateways and replica groups."""

from __future__ import annotations

import collections
from unittest import mock

import attrs
from behave import given, then, when
from support import fleet_simulation, planning, traffic_simulation

from hickorylead import notes
from hickorylead.consensus import messages as consensus_messages
from hickorylead.fleet import (
    events,
    group_builder,
    groups,
    instances,
    layout,
    messages,
    order_tracker,
    orders,
    planner,
)
from hickorylead.forwarding import model
from hickorylead.roles import interface, nodes
from hickorylead.wire import codec


def replace_until_acknowledged(simulation, node, version, limit_s=6.0):
    """Resubmits a configuration until it is acknowledged, as operators do."""
    token = simulation.replace(node, version)
    state = {"token": token, "at": simulation.now}

    def is_done():
        if simulation.outcomes.get(state["token"]) is True:
            return True
        if simulation.now - state["at"] > 1.0:
            state["token"] = simulation.replace(node, version)
            state["at"] = simulation.now
        return False

    return simulation.run_until(is_done, limit_s)


@given("three coordinators with gateways")
def _(context):
    context.simulation = fleet_simulation.FleetSimulation()
    context.simulation.bootstrap()


# Complete configurations.


@when("versions 7 and 9 are sent at once and version 8 later")
def _(context):
    simulation = context.simulation
    context.tokens = [
        simulation.replace(simulation.coordinator_names[1], 7),
        simulation.replace(simulation.coordinator_names[2], 9),
    ]
    simulation.run(0.3)
    context.tokens.append(
        simulation.replace(simulation.coordinator_names[0], 8)
    )
    simulation.run(1.0)


@then("all three versions are acknowledged")
def _(context):
    outcomes = [context.simulation.outcomes.get(t) for t in context.tokens]
    assert outcomes == [True] * 3, outcomes


@then("every node holds version 9 within 1 second")
def _(context):
    simulation = context.simulation
    everyone = [
        *simulation.coordinators.values(),
        *simulation.gateways.values(),
    ]
    simulation.run_until(
        lambda: all(node.document.version == 9 for node in everyone), 1.0
    )


@when("version 5 is in force and sent again with a key removed")
def _(context):
    simulation = context.simulation
    replace_until_acknowledged(simulation, simulation.coordinator_names[0], 5)
    revoked = fleet_simulation.make_document(5, workspaces=())
    content = fleet_simulation.encode_content(revoked)
    simulation.apply(
        simulation.coordinator_names[1],
        events.ReplaceRequested("again", 5, content),
    )
    simulation.run(1.0)


@then("the request with different content is acknowledged")
def _(context):
    assert context.simulation.outcomes.get("again") is True


@then("the key is still valid at every gateway")
def _(context):
    for gateway in context.simulation.gateways.values():
        assert gateway.document.workspaces[0].keys == ("key",)


@when("two operators send different content as version 11 at once")
def _(context):
    simulation = context.simulation
    for number, node in enumerate(simulation.coordinator_names[1:]):
        key = (f"key{number}",)
        workspace = fleet_simulation.document.Workspace("crew", key, 1)
        found = fleet_simulation.make_document(11, workspaces=(workspace,))
        content = fleet_simulation.encode_content(found)
        token = f"race{number}"
        simulation.apply(node, events.ReplaceRequested(token, 11, content))


@then("the content acknowledged first stays in force")
def _(context):
    simulation = context.simulation
    simulation.run_until(
        lambda: any(map(simulation.outcomes.get, ("race0", "race1")))
    )
    leader = simulation.coordinators[simulation.find_leader()]
    first = leader.voter.configuration.content
    simulation.run(2.0)
    assert simulation.outcomes["race0"] and simulation.outcomes["race1"]
    for role in simulation.coordinators.values():
        assert role.voter.configuration.content == first
    for gateway in simulation.gateways.values():
        found = fleet_simulation.decode_content(first).unwrap()
        assert gateway.document == found


@when("version 6 is acknowledged and its leader is killed")
def _(context):
    simulation = context.simulation
    replace_until_acknowledged(simulation, simulation.coordinator_names[0], 6)
    simulation.kill(simulation.find_leader())


@then("another coordinator acknowledges version 6 within 3 seconds")
def _(context):
    simulation = context.simulation
    other = next(
        n for n in simulation.coordinator_names if n in simulation.coordinators
    )
    replace_until_acknowledged(simulation, other, 6, 3.0)


@when("the leader is partitioned and version 4 is acknowledged by the others")
def _(context):
    simulation = context.simulation
    context.old_leader = simulation.find_leader()
    others = [
        n for n in simulation.coordinator_names if n != context.old_leader
    ]
    for other in others:
        simulation.partition(context.old_leader, other)
    replace_until_acknowledged(simulation, others[0], 4)


@then("a read at the old leader returns no version")
def _(context):
    simulation = context.simulation
    token = simulation.read(context.old_leader)
    simulation.run_until(lambda: token in simulation.outcomes, 2.0)
    assert simulation.outcomes[token] is None, simulation.outcomes[token]


@when(
    "a read reaches the leader that was frozen while version 8 was acknowledged"
)
def _(context):
    simulation = context.simulation
    old = simulation.find_leader()
    # The leader has just sent messages to its voters when it is frozen.
    simulation.read(old)
    simulation.frozen.add(old)
    others = [n for n in simulation.coordinator_names if n != old]
    replace_until_acknowledged(simulation, others[0], 8)
    simulation.run(2.0)
    # The voters' replies are first in the leader's buffers. The read follows
    # the replies directly, before the messages that show that another
    # coordinator leads.
    buffered = simulation.buffers[old]
    replies = [
        event
        for event in buffered
        if isinstance(event, fleet_simulation.interface.MessageArrived)
        and isinstance(event.message, consensus_messages.AppendReply)
    ]
    assert replies
    simulation.buffers[old] = [e for e in buffered if e not in replies]
    simulation.frozen.discard(old)
    for event in replies:
        simulation.apply(old, event)
    context.token = simulation.read(old)
    simulation.unfreeze(old)
    simulation.run_until(lambda: context.token in simulation.outcomes, 2.0)


@then("the read returns version 8 or none")
def _(context):
    assert context.simulation.outcomes[context.token] in (8, None), (
        context.simulation.outcomes[context.token]
    )


@when("version 9 is acknowledged, its leader wiped and all others restarted")
def _(context):
    simulation = context.simulation
    replace_until_acknowledged(simulation, simulation.coordinator_names[0], 9)
    context.wiped_node = simulation.find_leader()
    for node in simulation.coordinator_names:
        simulation.kill(node)
    simulation.wipe(context.wiped_node)
    for node in simulation.coordinator_names:
        simulation.start(node)


@when("all coordinators are killed and started again")
def _(context):
    simulation = context.simulation
    context.wiped_node = ""
    for node in simulation.coordinator_names:
        simulation.kill(node)
    for node in simulation.coordinator_names:
        simulation.start(node)


@then("a read returns version {version:d} within {limit:g} seconds")
def _(context, version, limit):
    simulation = context.simulation
    tokens = []

    def is_read():
        tokens.extend(
            simulation.read(n)
            for n in simulation.coordinator_names
            if n != context.wiped_node
        )
        found = [simulation.outcomes.get(t) for t in tokens]
        assert set(found) <= {version, None}, found
        return version in found

    simulation.run_until(is_read, limit)


@then("the wiped coordinator votes again within 10 seconds")
def _(context):
    simulation = context.simulation
    role = simulation.coordinators[context.wiped_node]
    simulation.run_until(lambda: role.voter.member in role.voter.voters, 10.0)


@when("a coordinator is replaced by an empty one with another name")
def _(context):
    simulation = context.simulation
    gone = next(
        n for n in simulation.coordinator_names if n != simulation.find_leader()
    )
    simulation.kill(gone)
    zone = nodes.get_zone(gone)
    new = nodes.make_node_name(zone, "core-new", nodes.COORDINATOR)
    simulation.disks[new] = fleet_simulation.Disk("new")
    simulation.start(new)
    context.expected = {
        n for n in (*simulation.coordinator_names, new) if n != gone
    }


@then("the voters are the three live coordinators within 20 seconds")
def _(context):
    simulation = context.simulation

    def has_replaced():
        leader = simulation.find_leader()
        if not leader:
            return False
        voters = simulation.coordinators[leader].voter.voters
        found = {voter.partition("#")[0] for voter in voters}
        return found == context.expected

    simulation.run_until(has_replaced, 20.0)


@then("changes are still acknowledged after the loss of one voter")
def _(context):
    simulation = context.simulation
    lost, other, *_ = sorted(context.expected)
    simulation.kill(lost)
    replace_until_acknowledged(simulation, other, 30, 6.0)


@when("a gateway starts while its zone's coordinator is behind")
def _(context):
    simulation = context.simulation
    behind = simulation.coordinator_names[0]
    zone = nodes.get_zone(behind)
    for other in simulation.coordinator_names[1:]:
        simulation.partition(behind, other)
    simulation.run(3.0)
    replace_until_acknowledged(simulation, simulation.coordinator_names[1], 12)
    node = nodes.make_node_name(zone, "front9", nodes.GATEWAY)
    for other in simulation.coordinator_names[1:]:
        simulation.partition(node, other)
    simulation.start_gateway(node)
    # The coordinator of the gateway's zone replies first, the others 0.5 s
    # later.
    simulation.run(0.5)
    for other in simulation.coordinator_names[1:]:
        simulation.partitions.discard(frozenset((node, other)))
    context.gateway = simulation.gateways[node]


@then("the first version that the gateway holds is the newest")
def _(context):
    simulation, gateway = context.simulation, context.gateway
    simulation.run_until(lambda: gateway.document is not None, 3.0)
    assert gateway.document.version == 12, gateway.document.version


# Groups.


def pick_member(simulation, *, rank=1, zone="z1"):
    """Returns a member of a serving group of a zone."""
    head = next(s for s in simulation.list_open_heads() if s.zone == zone)
    return simulation.servers[head.members[rank]], head


@when("a member of a group crashes")
def _(context):
    simulation = context.simulation
    context.before = len(simulation.list_open_heads())
    member, _ = pick_member(simulation)
    simulation.crash(member.name)
    assert len(simulation.list_open_heads()) < context.before


@when("a member of a group crashes and a gateway reports the stall at once")
def _(context):
    simulation = context.simulation
    context.before = len(simulation.list_open_heads())
    member, head = pick_member(simulation)
    simulation.crash(member.name)
    simulation.run(0.2)
    gateway = next(iter(simulation.gateways))
    for node in simulation.coordinator_names:
        hello = messages.GatewayHello(
            gateway, 1, 1, 0, is_home=False, stalled=(head.name,)
        )
        simulation.apply(
            node, fleet_simulation.interface.MessageArrived(gateway, hello, 0.0)
        )


@when("a member of a group crashes and its head names it in a refusal")
def _(context):
    simulation = context.simulation
    context.before = len(simulation.list_open_heads())
    member, head = pick_member(simulation)
    simulation.crash(member.name)
    simulation.run(0.2)
    node = min(simulation.gateways)
    refusal = model.ResponseHead(503, not_run=True, faulty_server=member.name)
    traffic = traffic_simulation.TrafficSimulation(simulation)
    for number in range(20):
        submission = traffic.submit(node, b"%d" % number)
        if submission.sent and submission.sent[-1][1] == head.name:
            traffic.refuse_submission(submission, refusal)
            break
    else:
        raise AssertionError("no request reached the head")


@then("as many groups serve as before within {limit:g} seconds")
def _(context, limit):
    simulation = context.simulation
    simulation.run_until(
        lambda: len(simulation.list_open_heads()) >= context.before, limit
    )


@when("a head is partitioned from the coordinators while its streams progress")
def _(context):
    simulation = context.simulation
    _, context.head = pick_member(simulation)
    for node in simulation.coordinator_names:
        simulation.partition(node, context.head.name)
    gateway = next(iter(simulation.gateways))
    progress = messages.HeadFlow(context.head.name, 20)
    for _ in range(50):
        for node in simulation.coordinator_names:
            hello = messages.GatewayHello(gateway, 1, 1, 0, flowing=(progress,))
            simulation.apply(
                node,
                fleet_simulation.interface.MessageArrived(gateway, hello, 0.0),
            )
        simulation.run(0.1)


@then("its group still serves after 5 seconds")
def _(context):
    assert context.head.member.state == instances.GROUP_OPEN
    assert context.head in context.simulation.list_open_heads()


@when("a member of a group reports that it is draining")
def _(context):
    simulation = context.simulation
    member, context.head = pick_member(simulation)
    member.phase = instances.PHASE_DRAINING
    simulation.send_heartbeat(member)


@then("no gateway uses its group for requests after {limit:g} seconds")
def _(context, limit):
    simulation = context.simulation
    simulation.run(limit)
    for gateway in simulation.gateways.values():
        assert gateway._directory.find(context.head.name) is None


@when("the coordinator of a zone is killed and then a member there crashes")
def _(context):
    simulation = context.simulation
    context.before = len(simulation.list_open_heads())
    simulation.kill(simulation.coordinator_names[0])
    simulation.run(2.0)
    member, _ = pick_member(simulation, zone="z1")
    simulation.crash(member.name)


@when("the coordinator of a zone restarts and then a member there crashes")
def _(context):
    simulation = context.simulation
    context.before = len(simulation.list_open_heads())
    simulation.kill(simulation.coordinator_names[0])
    simulation.start(simulation.coordinator_names[0])
    simulation.run(4.0)
    member, _ = pick_member(simulation, zone="z1")
    simulation.crash(member.name)


@when("all coordinators and gateways lose power and restart")
def _(context):
    simulation = context.simulation
    context.heads = {s.name for s in simulation.list_open_heads()}
    gateways = list(simulation.gateways)
    for node in (*simulation.coordinator_names, *gateways):
        simulation.kill(node)
    simulation.run(1.5)
    for node in simulation.coordinator_names:
        simulation.start(node)
    for node in gateways:
        simulation.start_gateway(node)


@then("every gateway offers all replicas within {limit:g} seconds")
def _(context, limit):
    simulation = context.simulation
    simulation.run_until(
        lambda: all(
            gateway.is_ready()
            and all(gateway._directory.find(name) for name in context.heads)
            for gateway in simulation.gateways.values()
        ),
        limit,
    )


@then("every group serves all the time for 5 seconds")
def _(context):
    simulation = context.simulation
    before = {s.name: s.member.group for s in simulation.list_open_heads()}
    for _ in range(100):
        simulation.run(0.05)
        now = {s.name: s.member.group for s in simulation.list_open_heads()}
        assert before.items() <= now.items(), (before, now)
    assert not any(
        isinstance(note, notes.Note)
        and note.event == "order_given"
        and note.fields["order"] == "join"
        and not note.fields["group"].startswith(group_builder.WARM_UP_PREFIX)
        for at, _, note in simulation.notes
        if at > simulation.now - 5.0
    )


@when("a server's address is taken over and a heartbeat of that server is late")
def _(context):
    simulation = context.simulation
    previous, _ = pick_member(simulation)
    late = attrs.evolve(
        previous.make_heartbeat(), sequence=previous.sequence + 1
    )
    simulation.crash(previous.name)
    simulation.run(4.0)
    new = simulation.add_server("newcomer", "z2")
    new.address = previous.address
    simulation.run(1.0)
    simulation.apply(
        simulation.coordinator_names[2], events.HeartbeatArrived(late)
    )
    simulation.run(1.0)
    context.previous_name = previous.name


@then("the ended incarnation is gone at every gateway")
def _(context):
    for gateway in context.simulation.gateways.values():
        found = gateway._registry.instances.get(context.previous_name)
        assert found is None or found.phase == instances.PHASE_GONE, found


# The planner without the other parts of a coordinator.


@then("{count:d} random schedules of two planners violate no invariant")
def _(context, count):
    opened = planning.run_schedules(0, count)
    assert opened > count / 2, opened


@then("{count:d} random schedules with server restarts violate no invariant")
def _(context, count):
    opened = planning.run_schedules(0, count, server_restarts=True)
    assert opened > count, opened


@then("the schedule {seed:d} with server restarts violates no invariant")
def _(_, seed):
    planning.run_schedules(seed, 1, server_restarts=True)


def violates_invariant():
    """Returns whether one of the first schedules violates an invariant."""
    try:
        planning.run_schedules(0, 120)
    except planning.InvariantViolation:
        return True
    return False


@then("the schedules violate an invariant if joins carry no number")
def _(context):
    end_round = order_tracker.OrderTracker.end_round

    def end_round_without_counts(self):
        return [
            attrs.evolve(effect, expected=None)
            if isinstance(effect, orders.SendOrder)
            else effect
            for effect in end_round(self)
        ]

    with mock.patch.object(
        order_tracker.OrderTracker, "end_round", end_round_without_counts
    ):
        assert violates_invariant()


@then(
    "the schedules violate an invariant if heads open before their members are "
    "ready"
)
def _(context):
    with mock.patch.object(groups, "is_complete", lambda *_: True):
        assert violates_invariant()


@given("a domain of {alive:d} servers in which {scarce} is scarce")
def _(context, alive, scarce):
    models = (
        fleet_simulation.document.ModelProfile(
            "large", 4, 0.67, 1.0, 16.0, 1.6
        ),
        fleet_simulation.document.ModelProfile(
            "small", 2, 0.33, 0.6, 12.0, 1.1
        ),
    )
    engine = attrs.evolve(fleet_simulation.ENGINE, models=models)
    supply = {m.name: 0.4 if m.name == scarce else 1.0 for m in models}
    context.layout = layout.choose_layout(
        engine, alive=alive, serving={}, supply=supply, spare_share=0.25
    )


@then("its layout has {large:d} large and {small:d} small groups")
def _(context, large, small):
    found = (context.layout["large"], context.layout["small"])
    assert found == (large, small), found


@given(
    "a domain with 3 servers with the large model in memory, 1 with the small "
    "one and 2 empty servers"
)
def _(context):
    models = (
        fleet_simulation.document.ModelProfile(
            "large", 4, 0.67, 1.0, 16.0, 1.6
        ),
        fleet_simulation.document.ModelProfile(
            "small", 2, 0.33, 0.6, 12.0, 1.1
        ),
    )
    engine = attrs.evolve(fleet_simulation.ENGINE, models=models)
    context.service = fleet_simulation.document.Service("model", engine=engine)

    def make(name, last_model, staged):
        return instances.Instance(
            name,
            "model",
            f"{name}:1",
            "z1",
            "d1",
            sequence=9,
            staged=staged,
            last_model=last_model,
        )

    context.present = [
        *(make(f"l{n}", "large", ("large",)) for n in range(3)),
        make("s0", "small", ("large",)),
        make("e0", "", ()),
        make("e1", "", ()),
    ]
    # In another domain the large model has all servers that it needs, the small
    # model has none.
    for number in range(8):
        member = instances.Membership("g1", 1, number % 4, "open")
        context.present.append(
            instances.Instance(
                f"o{number}",
                "model",
                f"o{number}:1",
                "z2",
                "d2",
                sequence=9,
                models=("large",),
                member=member,
            )
        )


@then("a group of the large model is formed at once")
def _(context):
    subject = planner.Planner(
        number=1, policy=group_builder.StandbyPolicy(), start_id="a1"
    )
    effects = subject.plan(
        present=context.present,
        services=[context.service],
        domains=frozenset({"d1"}),
        lost=frozenset(),
        planners=3,
        has_traffic=True,
        now=10.0,
    )
    joins = [
        g.name
        for g in effects
        if isinstance(g, orders.SendOrder) and isinstance(g.order, orders.Join)
    ]
    assert sorted(joins) == ["l0", "l1", "l2", "s0"], effects


def plan_once(subject, present, service):
    """Returns the joins of one planning round."""
    effects = subject.plan(
        present=present,
        services=[service],
        domains=frozenset({"d1"}),
        lost=frozenset(),
        planners=3,
        has_traffic=False,
        now=10.0,
    )
    return [
        g.order
        for g in effects
        if isinstance(g, orders.SendOrder) and isinstance(g.order, orders.Join)
    ]


@given("a planner that formed a group, lost it and restarted")
def _(context):
    service = fleet_simulation.document.Service(
        "model", engine=fleet_simulation.ENGINE
    )
    context.joins = []
    for start_id in ("a1", "b2"):
        # All servers have been replaced by the second round.
        present = [
            instances.Instance(
                f"{start_id}{n}",
                "model",
                f"{start_id}{n}:1",
                "z1",
                "d1",
                sequence=1,
            )
            for n in range(2)
        ]
        subject = planner.Planner(
            number=5, policy=group_builder.StandbyPolicy(), start_id=start_id
        )
        context.joins.append(plan_once(subject, present, service)[0])


@then("the planner's next group has another name and a higher epoch")
def _(context):
    first, second = context.joins
    assert first.group != second.group, first
    assert second.epoch >= first.epoch, (first, second)


@when("an Alive message overtakes the update of a server's state")
def _(context):
    simulation = context.simulation
    member, _ = pick_member(simulation)
    role = simulation.coordinators[simulation.coordinator_names[1]]
    known = role.registry.instances[member.name]
    changed = attrs.evolve(
        known,
        sequence=known.sequence + 1,
        member=instances.Membership(),
    )
    alive = messages.Alive(
        simulation.coordinator_names[0],
        (member.name,),
        (known.sequence + 2,),
        (known.sequence + 1,),
    )
    update = messages.InstanceNews(simulation.coordinator_names[0], (changed,))
    for message in (alive, update):
        simulation.apply(
            simulation.coordinator_names[1],
            fleet_simulation.interface.MessageArrived(
                simulation.coordinator_names[0], message, 0.0
            ),
        )
    context.found = role.registry.instances[member.name]


@then("the change of group is applied")
def _(context):
    assert not context.found.has_group, context.found


@then("a zone with 12 empty servers starts at most 6 loads in 5 seconds")
def _(context):
    service = fleet_simulation.document.Service(
        "model", engine=fleet_simulation.ENGINE
    )
    empty = [
        instances.Instance(f"i{n}", "model", f"a{n}:1", "z1", "d1", sequence=1)
        for n in range(12)
    ]
    subject = planner.Planner(
        number=1, policy=group_builder.StandbyPolicy(), start_id="a1"
    )
    started = []
    now = 10.0
    while now < 15.0:
        effects = subject.plan(
            present=empty,
            services=[service],
            domains=frozenset({"d1"}),
            lost=frozenset(),
            planners=3,
            has_traffic=True,
            now=now,
        )
        started += [
            g
            for g in effects
            if isinstance(g, orders.SendOrder)
            and isinstance(g.order, orders.Join | orders.Stage)
        ]
        now += 0.25
    names = {g.name for g in started}
    assert 0 < len(names) <= 6, names


# Gateways and their home coordinators.


@when(
    "the first tick of a gateway after a pause of {seconds:g} seconds precedes"
    " all messages"
)
def _(context, seconds):
    simulation = context.simulation
    simulation.run(3.0)
    node = min(simulation.gateways)
    context.gateway = simulation.gateways[node]
    context.home = context.gateway._coordinators.home
    assert context.home
    tick = interface.Tick(0.0, late_s=seconds)
    context.gateway.reduce(tick, simulation.now + seconds)


@then("the gateway keeps its home coordinator")
def _(context):
    assert context.gateway._coordinators.home == context.home


@when(
    "a gateway's home coordinator is killed, then a server in another zone "
    "drains"
)
def _(context):
    simulation = context.simulation
    simulation.kill(simulation.coordinator_names[0])
    member, context.head = pick_member(simulation, zone="z2")
    context.epoch = context.head.member.epoch
    member.phase = instances.PHASE_DRAINING
    simulation.send_heartbeat(member)


@then(
    "no gateway sends requests to the draining server's group after {limit:g} "
    "seconds"
)
def _(context, limit):
    simulation = context.simulation
    simulation.run(limit)
    for gateway in simulation.gateways.values():
        offered = gateway._directory.find(context.head.name)
        # The head may serve in a new group by then.
        assert offered is None or offered.epoch != context.epoch, offered


@when("a coordinator is partitioned and the others acknowledge version 4")
def _(context):
    simulation = context.simulation
    for other in simulation.coordinator_names[1:]:
        simulation.partition(simulation.coordinator_names[0], other)
    replace_until_acknowledged(simulation, simulation.coordinator_names[1], 4)


@then("every gateway holds version {version:d} within {limit:g} seconds")
def _(context, version, limit):
    simulation = context.simulation
    simulation.run_until(
        lambda: all(
            gateway.document.version == version
            for gateway in simulation.gateways.values()
        ),
        limit,
    )


@given("six coordinators with 24 gateways")
def _(context):
    context.simulation = fleet_simulation.FleetSimulation(
        servers_per_zone=16,
        domain_size=8,
        gateways_per_zone=8,
        coordinators_per_zone=2,
    )
    context.simulation.bootstrap()
    context.simulation.run(10.0)


class TrafficCounter:
    """Counts bytes of gateways and how often each of them gets an update."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.transferred_bytes = collections.Counter()
        self.update_counts = collections.Counter()

    def record(self, sender, target, message):
        """Records one message."""
        envelope = codec.Envelope(sender, "10.0.0.10:7000", message)
        size = len(codec.encode_envelope(envelope))
        for node in (sender, target):
            if node in self.gateways:
                self.transferred_bytes[node] += size
        if isinstance(message, messages.InstanceNews):
            for item in message.news:
                self.update_counts[
                    target, item.name, item.sequence, item.silent
                ] += 1


@when("10 seconds pass and a member is lost in each of the last 5")
def _(context):
    simulation = context.simulation
    context.quiet, context.busy = (
        TrafficCounter(simulation.gateways),
        TrafficCounter(simulation.gateways),
    )
    simulation.on_send = context.quiet.record
    simulation.run(5.0)
    simulation.on_send = context.busy.record
    for _ in range(5):
        simulation.crash(simulation.list_open_heads()[0].name)
        simulation.run(1.0)


def check_traffic(traffic, limit_kb):
    rate_kb = max(traffic.transferred_bytes.values()) / 5.0 / 1000.0
    assert rate_kb < limit_kb, rate_kb


@then(
    "a gateway transfers less than {limit:g} KB a second in the quiet seconds"
)
def _(context, limit):
    check_traffic(context.quiet, limit)


@then(
    "a gateway transfers less than {limit:g} KB a second in the other seconds"
)
def _(context, limit):
    check_traffic(context.busy, limit)


@then("each change reaches a gateway at most once")
def _(context):
    counts = {
        k: n
        for k, n in context.busy.update_counts.items()
        if k[0].endswith("way")
    }
    assert counts
    assert max(counts.values()) == 1, max(counts.items(), key=lambda kv: kv[1])


@when("a gateway reports requests to its home coordinator")
def _(context):
    simulation = context.simulation
    name = next(iter(simulation.gateways))
    head = simulation.list_open_heads()[0].name
    loads = (messages.HeadLoad(head, 3),)
    hello = messages.GatewayHello(name, 1, 1, 0, is_home=True, loads=loads)
    simulation.apply(
        simulation.coordinator_names[0],
        fleet_simulation.interface.MessageArrived(name, hello, 0.0),
    )


@then(
    "all six coordinators limit loads within {limit:g} second, each to a sixth "
    "of the limit"
)
def _(context, limit):
    simulation = context.simulation
    supervisors = [c._supervisor for c in simulation.coordinators.values()]
    assert len(supervisors) == 6
    simulation.run_until(lambda: all(s.has_traffic for s in supervisors), limit)
    assert {s._count_planners() for s in supervisors} == {6}


@then("the schedules 7, 621, 986 and 35024 violate no invariant")
def _(_):
    for seed in (7, 621, 986, 35024):
        planning.run_schedules(seed, 1)


@when("a coordinator is removed while it is frozen and then unfrozen")
def _(context):
    simulation = context.simulation
    leader = simulation.find_leader()
    zone = nodes.get_zone(leader)
    context.removed_node = next(
        n for n in simulation.coordinator_names if nodes.get_zone(n) != zone
    )
    role = simulation.coordinators[context.removed_node]
    for other in simulation.coordinators.values():
        # Two disks may be lost at once: five voters always stay.
        state = other.voter._state
        state.options = attrs.evolve(state.options, min_voters=5)
    simulation.frozen.add(context.removed_node)
    for version in range(2, 12):
        replace_until_acknowledged(simulation, leader, version)
        simulation.run(0.8)
    voters = simulation.coordinators[simulation.find_leader()].voter.voters
    assert role.voter.member not in voters, voters
    # The coordinator's buffered messages are lost: its connections were reset
    # meanwhile.
    simulation.buffers.pop(context.removed_node, None)
    simulation.unfreeze(context.removed_node)


@then(
    "the coordinator votes again with the newest version within {limit:g}"
    " seconds"
)
def _(context, limit):
    simulation = context.simulation
    role = simulation.coordinators[context.removed_node]

    def is_back():
        leader = simulation.coordinators.get(simulation.find_leader())
        return (
            leader is not None
            and role.voter.member in leader.voter.voters
            and role.version == leader.version
        )

    simulation.run_until(is_back, limit)


@then("every coordinator lists all five others as alive")
def _(context):
    simulation = context.simulation
    for role in simulation.coordinators.values():
        assert len(role.peers.list_alive(simulation.now)) == 5


@when("a gateway starts and all first replies but one are lost")
def _(context):
    simulation = context.simulation
    context.node = nodes.make_node_name("z1", "front99", nodes.GATEWAY)
    for other in simulation.coordinator_names[1:]:
        simulation.partition(context.node, other)
    simulation.start_gateway(context.node)
    simulation.run(0.1)
    simulation.heal()


@then(
    "the gateway receives messages from all six coordinators within {limit:g} "
    "second"
)
def _(context, limit):
    simulation = context.simulation
    # The gateway starts without a known leader, so it sends hellos to all
    # coordinators.
    gateway = simulation.gateways[context.node]
    gateway._reports._next_other_hello = simulation.now
    simulation.run_until(
        lambda: len(gateway._coordinators.list_heard()) == 6, limit
    )


@when(
    "a home coordinator is partitioned for 3 s, then a server in another zone "
    "drains"
)
def _(context):
    simulation = context.simulation
    for other in simulation.coordinator_names[1:]:
        simulation.partition(simulation.coordinator_names[0], other)
    simulation.run(3.0)
    member, context.head = pick_member(simulation, zone="z2")
    context.epoch = context.head.member.epoch
    for node in (simulation.coordinator_names[0],):
        # The member's heartbeats reach the other coordinators only.
        simulation.partition(node, member.name)
    member.phase = instances.PHASE_DRAINING
    simulation.send_heartbeat(member)
