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
from hickorylead.roles import nodes
from hickorylead.wire import codec


def acknowledge(world, node, version, limit_s=6.0):
    """Sends a configuration again and again, as operators do."""
    token = world.replace(node, version)
    state = {"token": token, "at": world.now}

    def is_done():
        if world.answers.get(state["token"]) is True:
            return True
        if world.now - state["at"] > 1.0:
            state["token"] = world.replace(node, version)
            state["at"] = world.now
        return False

    return world.run_until(is_done, limit_s)


@given("three coordinators with gateways")
def _(context):
    context.world = fleet_simulation.FleetSimulation()
    context.world.bootstrap()


# Whole configurations.


@when("versions 7 and 9 are sent at once and version 8 later")
def _(context):
    world = context.world
    context.tokens = [
        world.replace(world.coordinator_names[1], 7),
        world.replace(world.coordinator_names[2], 9),
    ]
    world.run(0.3)
    context.tokens.append(world.replace(world.coordinator_names[0], 8))
    world.run(1.0)


@then("all three are acknowledged")
def _(context):
    answers = [context.world.answers.get(t) for t in context.tokens]
    assert answers == [True] * 3, answers


@then("every node holds version 9 within 1 second")
def _(context):
    world = context.world
    everyone = [*world.coordinators.values(), *world.gateways.values()]
    world.run_until(
        lambda: all(node.document.version == 9 for node in everyone), 1.0
    )


@when("version 5 is in force and sent again with a key taken away")
def _(context):
    world = context.world
    acknowledge(world, world.coordinator_names[0], 5)
    revoked = fleet_simulation.make_document(5, workspaces=())
    content = fleet_simulation.write_content(revoked)
    world.apply(
        world.coordinator_names[1], events.ReplaceRequested("again", 5, content)
    )
    world.run(1.0)


@then("it is acknowledged")
def _(context):
    assert context.world.answers.get("again") is True


@then("the key is still valid at every gateway")
def _(context):
    for gateway in context.world.gateways.values():
        assert gateway.document.workspaces[0].keys == ("key",)


@when("two operators send different content as version 11 at once")
def _(context):
    world = context.world
    for number, node in enumerate(world.coordinator_names[1:]):
        key = (f"key{number}",)
        workspace = fleet_simulation.document.Workspace("crew", key, 1)
        found = fleet_simulation.make_document(11, workspaces=(workspace,))
        content = fleet_simulation.write_content(found)
        token = f"race{number}"
        world.apply(node, events.ReplaceRequested(token, 11, content))


@then("what the first acknowledgement put in force stays")
def _(context):
    world = context.world
    world.run_until(lambda: any(map(world.answers.get, ("race0", "race1"))))
    leader = world.coordinators[world.find_leader()]
    first = leader.voter.configuration.content
    world.run(2.0)
    assert world.answers["race0"] and world.answers["race1"]
    for role in world.coordinators.values():
        assert role.voter.configuration.content == first
    for gateway in world.gateways.values():
        found = fleet_simulation.read_content(first).unwrap()
        assert gateway.document == found


@when("version 6 is acknowledged and its leader is killed")
def _(context):
    world = context.world
    acknowledge(world, world.coordinator_names[0], 6)
    world.kill(world.find_leader())


@then("another coordinator acknowledges version 6 within 3 seconds")
def _(context):
    world = context.world
    other = next(n for n in world.coordinator_names if n in world.coordinators)
    acknowledge(world, other, 6, 3.0)


@when("the leader is cut off and version 4 is acknowledged by the others")
def _(context):
    world = context.world
    context.old = world.find_leader()
    others = [n for n in world.coordinator_names if n != context.old]
    for other in others:
        world.partition(context.old, other)
    acknowledge(world, others[0], 4)


@then("a read at the old leader gives no version")
def _(context):
    world = context.world
    token = world.read(context.old)
    world.run_until(lambda: token in world.answers, 2.0)
    assert world.answers[token] is None, world.answers[token]


@when("the leader is frozen while version 8 is acknowledged, and then read")
def _(context):
    world = context.world
    old = world.find_leader()
    # It has just asked its voters something when it stands still.
    world.read(old)
    world.frozen.add(old)
    others = [n for n in world.coordinator_names if n != old]
    acknowledge(world, others[0], 8)
    world.run(2.0)
    # The answers of its voters were first in its buffers; the read comes
    # right behind them, before the news that another one leads.
    waiting = world.buffers[old]
    replies = [
        event
        for event in waiting
        if isinstance(event, fleet_simulation.interface.MessageArrived)
        and isinstance(event.message, consensus_messages.AppendReply)
    ]
    assert replies
    world.buffers[old] = [e for e in waiting if e not in replies]
    world.frozen.discard(old)
    for event in replies:
        world.apply(old, event)
    context.token = world.read(old)
    world.unfreeze(old)
    world.run_until(lambda: context.token in world.answers, 2.0)


@then("the read gives version 8 or none")
def _(context):
    assert context.world.answers[context.token] in (8, None), (
        context.world.answers[context.token]
    )


@when("version 9 is acknowledged, its leader wiped and all others restarted")
def _(context):
    world = context.world
    acknowledge(world, world.coordinator_names[0], 9)
    context.wiped = world.find_leader()
    for node in world.coordinator_names:
        world.kill(node)
    world.wipe(context.wiped)
    for node in world.coordinator_names:
        world.start(node)


@when("all coordinators are killed and started again")
def _(context):
    world = context.world
    context.wiped = ""
    for node in world.coordinator_names:
        world.kill(node)
    for node in world.coordinator_names:
        world.start(node)


@then("a read gives version {version:d} within {limit:g} seconds")
def _(context, version, limit):
    world = context.world
    tokens = []

    def is_read():
        tokens.extend(
            world.read(n) for n in world.coordinator_names if n != context.wiped
        )
        found = [world.answers.get(t) for t in tokens]
        assert set(found) <= {version, None}, found
        return version in found

    world.run_until(is_read, limit)


@then("the wiped coordinator votes again within 10 seconds")
def _(context):
    world = context.world
    role = world.coordinators[context.wiped]
    world.run_until(lambda: role.voter.member in role.voter.voters, 10.0)


@when("a coordinator is replaced by an empty one with another name")
def _(context):
    world = context.world
    gone = next(n for n in world.coordinator_names if n != world.find_leader())
    world.kill(gone)
    zone = nodes.get_zone(gone)
    new = nodes.make_node_name(zone, "core-new", nodes.COORDINATOR)
    world.disks[new] = fleet_simulation.Disk("new")
    world.start(new)
    context.expected = {n for n in (*world.coordinator_names, new) if n != gone}


@then("the voters are the three that live within 20 seconds")
def _(context):
    world = context.world

    def has_replaced():
        leader = world.find_leader()
        if not leader:
            return False
        voters = world.coordinators[leader].voter.voters
        found = {voter.partition("#")[0] for voter in voters}
        return found == context.expected

    world.run_until(has_replaced, 20.0)


@then("changes are still acknowledged with one of them lost")
def _(context):
    world = context.world
    lost, other, *_ = sorted(context.expected)
    world.kill(lost)
    acknowledge(world, other, 30, 6.0)


@when("a gateway starts while its zone's coordinator is behind")
def _(context):
    world = context.world
    behind = world.coordinator_names[0]
    zone = nodes.get_zone(behind)
    for other in world.coordinator_names[1:]:
        world.partition(behind, other)
    world.run(3.0)
    acknowledge(world, world.coordinator_names[1], 12)
    node = nodes.make_node_name(zone, "front9", nodes.GATEWAY)
    for other in world.coordinator_names[1:]:
        world.partition(node, other)
    world.start_gateway(node)
    # What is near answers first, the others half a second later.
    world.run(0.5)
    for other in world.coordinator_names[1:]:
        world.partitions.discard(frozenset((node, other)))
    context.gateway = world.gateways[node]


@then("the first version it holds is the newest")
def _(context):
    world, gateway = context.world, context.gateway
    world.run_until(lambda: gateway.document is not None, 3.0)
    assert gateway.document.version == 12, gateway.document.version


# Groups.


def pick_member(world, *, rank=1, zone="z1"):
    """Returns a member of a serving group of a zone."""
    head = next(s for s in world.list_open() if s.zone == zone)
    return world.servers[head.members[rank]], head


@when("a member of a group dies")
def _(context):
    world = context.world
    context.before = len(world.list_open())
    member, _ = pick_member(world)
    world.crash(member.name)
    assert len(world.list_open()) < context.before


@when("a member of a group dies and a gateway tells of the stall at once")
def _(context):
    world = context.world
    context.before = len(world.list_open())
    member, head = pick_member(world)
    world.crash(member.name)
    world.run(0.2)
    gateway = next(iter(world.gateways))
    for node in world.coordinator_names:
        hello = messages.GatewayHello(
            gateway, 1, 1, 0, is_home=False, stalled=(head.name,)
        )
        world.apply(
            node, fleet_simulation.interface.MessageArrived(gateway, hello, 0.0)
        )


@when("a member of a group dies and its head names it in a refusal")
def _(context):
    world = context.world
    context.before = len(world.list_open())
    member, head = pick_member(world)
    world.crash(member.name)
    world.run(0.2)
    node = min(world.gateways)
    refusal = model.ResponseHead(503, not_run=True, faulty_server=member.name)
    play = traffic_simulation.TrafficSimulation(world)
    for number in range(20):
        submission = play.submit(node, b"%d" % number)
        if submission.sent and submission.sent[-1][1] == head.name:
            play.refuse_submission(submission, refusal)
            break
    else:
        raise AssertionError("no request reached the head")


@then("as many groups serve as before within {limit:g} seconds")
def _(context, limit):
    world = context.world
    world.run_until(lambda: len(world.list_open()) >= context.before, limit)


@when("a head is cut off from the coordinators while its streams go on")
def _(context):
    world = context.world
    _, context.head = pick_member(world)
    for node in world.coordinator_names:
        world.partition(node, context.head.name)
    gateway = next(iter(world.gateways))
    flow = messages.HeadFlow(context.head.name, 20)
    for _ in range(50):
        for node in world.coordinator_names:
            hello = messages.GatewayHello(gateway, 1, 1, 0, flowing=(flow,))
            world.apply(
                node,
                fleet_simulation.interface.MessageArrived(gateway, hello, 0.0),
            )
        world.run(0.1)


@then("its group still serves after 5 seconds")
def _(context):
    assert context.head.member.state == instances.GROUP_OPEN
    assert context.head in context.world.list_open()


@when("a member of a group says that it drains")
def _(context):
    world = context.world
    member, context.head = pick_member(world)
    member.phase = instances.PHASE_DRAINING
    world.send_heartbeat(member)


@then("no gateway offers its group after {limit:g} seconds")
def _(context, limit):
    world = context.world
    world.run(limit)
    for gateway in world.gateways.values():
        assert gateway._view.find(context.head.name) is None


@when("the coordinator of a zone is killed and then a member there dies")
def _(context):
    world = context.world
    context.before = len(world.list_open())
    world.kill(world.coordinator_names[0])
    world.run(2.0)
    member, _ = pick_member(world, zone="z1")
    world.crash(member.name)


@when("the coordinator of a zone restarts and then a member there dies")
def _(context):
    world = context.world
    context.before = len(world.list_open())
    world.kill(world.coordinator_names[0])
    world.start(world.coordinator_names[0])
    world.run(4.0)
    member, _ = pick_member(world, zone="z1")
    world.crash(member.name)


@when("all coordinators and gateways lose power and are back")
def _(context):
    world = context.world
    context.heads = {s.name for s in world.list_open()}
    gateways = list(world.gateways)
    for node in (*world.coordinator_names, *gateways):
        world.kill(node)
    world.run(1.5)
    for node in world.coordinator_names:
        world.start(node)
    for node in gateways:
        world.start_gateway(node)


@then("every gateway offers all replicas within {limit:g} seconds")
def _(context, limit):
    world = context.world
    world.run_until(
        lambda: all(
            gateway.is_ready()
            and all(gateway._view.find(name) for name in context.heads)
            for gateway in world.gateways.values()
        ),
        limit,
    )


@then("every group serves all the time for 5 seconds")
def _(context):
    world = context.world
    before = {s.name: s.member.group for s in world.list_open()}
    for _ in range(100):
        world.run(0.05)
        now = {s.name: s.member.group for s in world.list_open()}
        assert before.items() <= now.items(), (before, now)
    assert not any(
        isinstance(note, notes.Note)
        and note.event == "order_given"
        and note.fields["order"] == "join"
        and not note.fields["group"].startswith(group_builder.WARM_UP_PREFIX)
        for at, _, note in world.notes
        if at > world.now - 5.0
    )


@when("a server's address is taken over and its old heartbeat comes late")
def _(context):
    world = context.world
    old, _ = pick_member(world)
    late = attrs.evolve(old.make_heartbeat(), sequence=old.sequence + 1)
    world.crash(old.name)
    world.run(4.0)
    new = world.add_server("newcomer", "z2")
    new.address = old.address
    world.run(1.0)
    world.apply(world.coordinator_names[2], events.HeartbeatArrived(late))
    world.run(1.0)
    context.old = old.name


@then("the old life is gone at every gateway")
def _(context):
    for gateway in context.world.gateways.values():
        found = gateway._registry.instances.get(context.old)
        assert found is None or found.phase == instances.PHASE_GONE, found


# The planner alone.


@then("{count:d} random schedules of two planners break no promise")
def _(context, count):
    opened = planning.run_schedules(0, count)
    assert opened > count / 2, opened


@then("{count:d} random schedules with rebirths break no promise")
def _(context, count):
    opened = planning.run_schedules(0, count, rebirths=True)
    assert opened > count, opened


@then("the schedule {seed:d} with rebirths breaks no promise")
def _(_, seed):
    planning.run_schedules(seed, 1, rebirths=True)


def shows_broken_promise():
    """Says whether the first schedules break a promise."""
    try:
        planning.run_schedules(0, 120)
    except planning.InvariantViolation:
        return True
    return False


@then("the schedules show a broken promise if joins name no number")
def _(context):
    close = order_tracker.OrderTracker.end_round

    def forget(self):
        return [
            attrs.evolve(effect, expected=None)
            if isinstance(effect, orders.SendOrder)
            else effect
            for effect in close(self)
        ]

    with mock.patch.object(order_tracker.OrderTracker, "end_round", forget):
        assert shows_broken_promise()


@then("the schedules show a broken promise if heads open unchecked")
def _(context):
    with mock.patch.object(groups, "is_complete", lambda *_: True):
        assert shows_broken_promise()


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


@given("a domain with 3 servers warm with large, 1 warm with small, 2 empty")
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
    # Elsewhere the large model has all that it needs, the small one nothing.
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
    given = subject.plan(
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
        for g in given
        if isinstance(g, orders.SendOrder) and isinstance(g.order, orders.Join)
    ]
    assert sorted(joins) == ["l0", "l1", "l2", "s0"], given


def plan_once(subject, present, service):
    """Returns the joins of one round."""
    given = subject.plan(
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
        for g in given
        if isinstance(g, orders.SendOrder) and isinstance(g.order, orders.Join)
    ]


@given("a planner that formed a group, lost it and restarted")
def _(context):
    service = fleet_simulation.document.Service(
        "model", engine=fleet_simulation.ENGINE
    )
    context.joins = []
    for life in ("a1", "b2"):
        # All servers are other lives by the time of the second round.
        present = [
            instances.Instance(
                f"{life}{n}", "model", f"{life}{n}:1", "z1", "d1", sequence=1
            )
            for n in range(2)
        ]
        subject = planner.Planner(
            number=5, policy=group_builder.StandbyPolicy(), start_id=life
        )
        context.joins.append(plan_once(subject, present, service)[0])


@then("its next group has another name and a higher epoch")
def _(context):
    first, second = context.joins
    assert first.group != second.group, first
    assert second.epoch >= first.epoch, (first, second)


@when("a sign of life overtakes the change of a server's state")
def _(context):
    world = context.world
    member, _ = pick_member(world)
    role = world.coordinators[world.coordinator_names[1]]
    known = role.registry.instances[member.name]
    changed = attrs.evolve(
        known,
        sequence=known.sequence + 1,
        member=instances.Membership(),
    )
    alive = messages.Alive(
        world.coordinator_names[0],
        (member.name,),
        (known.sequence + 2,),
        (known.sequence + 1,),
    )
    news = messages.InstanceNews(world.coordinator_names[0], (changed,))
    for message in (alive, news):
        world.apply(
            world.coordinator_names[1],
            fleet_simulation.interface.MessageArrived(
                world.coordinator_names[0], message, 0.0
            ),
        )
    context.found = role.registry.instances[member.name]


@then("the change is taken")
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
        given = subject.plan(
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
            for g in given
            if isinstance(g, orders.SendOrder)
            and isinstance(g.order, orders.Join | orders.Stage)
        ]
        now += 0.25
    names = {g.name for g in started}
    assert 0 < len(names) <= 6, names


# Gateways and their homes.


@when("the home of a gateway is killed and then a member elsewhere drains")
def _(context):
    world = context.world
    world.kill(world.coordinator_names[0])
    member, context.head = pick_member(world, zone="z2")
    context.epoch = context.head.member.epoch
    member.phase = instances.PHASE_DRAINING
    world.send_heartbeat(member)


@then("no gateway offers the group with it after {limit:g} seconds")
def _(context, limit):
    world = context.world
    world.run(limit)
    for gateway in world.gateways.values():
        offered = gateway._view.find(context.head.name)
        # Its head may serve in a new group by then.
        assert offered is None or offered.epoch != context.epoch, offered


@when("a coordinator is cut off from the others and they acknowledge version 4")
def _(context):
    world = context.world
    for other in world.coordinator_names[1:]:
        world.partition(world.coordinator_names[0], other)
    acknowledge(world, world.coordinator_names[1], 4)


@then("every gateway holds version {version:d} within {limit:g} seconds")
def _(context, version, limit):
    world = context.world
    world.run_until(
        lambda: all(
            gateway.document.version == version
            for gateway in world.gateways.values()
        ),
        limit,
    )


@given("six coordinators with 24 gateways")
def _(context):
    context.world = fleet_simulation.FleetSimulation(
        servers_per_zone=16,
        domain_size=8,
        gateways_per_zone=8,
        coordinators_per_zone=2,
    )
    context.world.bootstrap()
    context.world.run(10.0)


class Traffic:
    """Counts what gateways send and get, and how often each is told."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.sent_bytes = collections.Counter()
        self.told = collections.Counter()

    def watch(self, sender, target, message):
        """Counts one message."""
        envelope = codec.Envelope(sender, "10.0.0.10:7000", message)
        size = len(codec.encode_envelope(envelope))
        for node in (sender, target):
            if node in self.gateways:
                self.sent_bytes[node] += size
        if isinstance(message, messages.InstanceNews):
            for item in message.news:
                self.told[target, item.name, item.sequence, item.silent] += 1


@when("10 seconds pass, the last 5 with a lost member each")
def _(context):
    world = context.world
    context.quiet, context.busy = (
        Traffic(world.gateways),
        Traffic(world.gateways),
    )
    world.on_send = context.quiet.watch
    world.run(5.0)
    world.on_send = context.busy.watch
    for _ in range(5):
        world.crash(world.list_open()[0].name)
        world.run(1.0)


def check_traffic(traffic, limit_kb):
    most = max(traffic.sent_bytes.values()) / 5.0 / 1000.0
    assert most < limit_kb, most


@then(
    "a gateway sends and gets less than {limit:g} KB a second in the quiet ones"
)
def _(context, limit):
    check_traffic(context.quiet, limit)


@then("less than {limit:g} KB a second in the others")
def _(context, limit):
    check_traffic(context.busy, limit)


@then("each change reaches a gateway at most once")
def _(context):
    told = {k: n for k, n in context.busy.told.items() if k[0].endswith("way")}
    assert told
    assert max(told.values()) == 1, max(told.items(), key=lambda kv: kv[1])


@when("a gateway has requests")
def _(context):
    world = context.world
    name = next(iter(world.gateways))
    head = world.list_open()[0].name
    loads = (messages.HeadLoad(head, 3),)
    hello = messages.GatewayHello(name, 1, 1, 0, is_home=True, loads=loads)
    world.apply(
        world.coordinator_names[0],
        fleet_simulation.interface.MessageArrived(name, hello, 0.0),
    )


@then("all six coordinators count loads within {limit:g} second, a sixth each")
def _(context, limit):
    world = context.world
    supervisors = [c._supervisor for c in world.coordinators.values()]
    assert len(supervisors) == 6
    world.run_until(lambda: all(s.has_traffic for s in supervisors), limit)
    assert {s._count_planners() for s in supervisors} == {6}


@then("the schedules 7, 621, 986 and 35024 break no promise")
def _(_):
    for seed in (7, 621, 986, 35024):
        planning.run_schedules(seed, 1)


@when("a coordinator is removed while it is frozen, and wakes")
def _(context):
    world = context.world
    leader = world.find_leader()
    zone = nodes.get_zone(leader)
    context.victim = next(
        n for n in world.coordinator_names if nodes.get_zone(n) != zone
    )
    role = world.coordinators[context.victim]
    for other in world.coordinators.values():
        # Two disks may be lost at once: five voters always stay.
        other.voter._options = attrs.evolve(other.voter._options, min_voters=5)
    world.frozen.add(context.victim)
    for version in range(2, 12):
        acknowledge(world, leader, version)
        world.run(0.8)
    voters = world.coordinators[world.find_leader()].voter.voters
    assert role.voter.member not in voters, voters
    # What waited for it is lost: its connections were reset meanwhile.
    world.buffers.pop(context.victim, None)
    world.unfreeze(context.victim)


@then("it votes again and holds the newest version within {limit:g} seconds")
def _(context, limit):
    world = context.world
    role = world.coordinators[context.victim]

    def is_back():
        leader = world.coordinators.get(world.find_leader())
        return (
            leader is not None
            and role.voter.member in leader.voter.voters
            and role.version == leader.version
        )

    world.run_until(is_back, limit)


@then("every coordinator hears all five others")
def _(context):
    world = context.world
    for role in world.coordinators.values():
        assert len(role.neighbours.list_alive(world.now)) == 5


@when("a gateway starts and the first answers but one are lost")
def _(context):
    world = context.world
    context.node = nodes.make_node_name("z1", "front99", nodes.GATEWAY)
    for other in world.coordinator_names[1:]:
        world.partition(context.node, other)
    world.start_gateway(context.node)
    world.run(0.1)
    world.heal()


@then("it hears all six coordinators within {limit:g} second")
def _(context, limit):
    world = context.world
    # It starts without knowing of a leader, so it greets all of them.
    gateway = world.gateways[context.node]
    gateway._next_far = world.now
    world.run_until(lambda: len(gateway._heard_at) == 6, limit)


@when("a home is cut off for 3 seconds and then a member elsewhere drains")
def _(context):
    world = context.world
    for other in world.coordinator_names[1:]:
        world.partition(world.coordinator_names[0], other)
    world.run(3.0)
    member, context.head = pick_member(world, zone="z2")
    context.epoch = context.head.member.epoch
    for node in (world.coordinator_names[0],):
        # Its heartbeats reach the others only.
        world.partition(node, member.name)
    member.phase = instances.PHASE_DRAINING
    world.send_heartbeat(member)
