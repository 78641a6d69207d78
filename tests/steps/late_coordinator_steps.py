"""Steps about orders and probes of a coordinator whose turns are late."""

from __future__ import annotations

import itertools

import attrs
from behave import given, then, when
from support import planning

from hickorylead.fleet import (
    group_builder,
    identity,
    instances,
    orders,
    peer_directory,
    registry,
    supervisor,
)
from hickorylead.turns import own_pauses

NODE = "z1/core"
GROUP = ("g1", 64)
HEARTBEAT_S = 1.0
TURN_S = 0.05
START_S = 100.0


class CoordinatorFixture:
    """The supervisor of one coordinator, with the servers of one group."""

    def __init__(self):
        self.now = START_S
        self.pauses = own_pauses.OwnPauses(self.now)
        self.registry = registry.Registry()
        self.supervisor = supervisor.Supervisor(
            identity.Identity(
                node=NODE,
                address="10.0.0.1:80",
                incarnation="a",
                seeds=(),
                may_bootstrap=True,
                heartbeat_s=HEARTBEAT_S,
                zones=("z1",),
            ),
            policy=group_builder.StandbyPolicy(),
            start_id="a",
            registry=self.registry,
            peers=peer_directory.PeerDirectory(
                node=NODE, seeds=(), pauses=self.pauses
            ),
            has_leader=lambda _: True,
            pauses=self.pauses,
            is_deferred=True,
            now=self.now,
        )
        self.supervisor.services = (planning.SERVICE,)
        self.members = [
            instances.Instance(
                f"i{rank}",
                "model",
                f"10.0.1.{rank}:80",
                "z1",
                "z1-d0",
                sequence=1,
                models=("large",),
                staged=("small",),
                member=instances.Membership(*GROUP, rank, instances.GROUP_OPEN),
            )
            for rank in range(3)
        ]
        # Members whose heartbeats are handled as soon as they are due.
        self.heard = {"i0", "i1", "i2"}
        self.sent = []
        self.probed = set()

    def add(self, members):
        """Handles the first heartbeats of servers."""
        for member in members:
            self.registry.merge(member, self.now)

    def plan(self):
        """Runs a planning round; records the orders to the head."""
        for effect in self.supervisor.plan(self.now):
            if isinstance(effect, orders.SendOrder) and effect.name == "i0":
                self.sent.append((self.now, effect.order))

    def run_turn(self, seconds):
        """Lets time pass, handles heartbeats, and plans before the rest."""
        self.now += seconds
        for name in self.heard & self.registry.instances.keys():
            known = self.registry.instances[name]
            if not known.silent:
                self.registry.touch(
                    name, known.sequence + 1, 1, self.now, born=known.born
                )
        self.plan()

    def run_on_time(self, seconds):
        """Runs turns that are on time."""
        for _ in range(round(seconds / TURN_S)):
            self.run_turn(TURN_S)
            self.pauses.record_listening(self.now)
            self.probe()

    def probe(self):
        """Probes silent servers."""
        self.probed.update(
            effect.name for effect in self.supervisor.probe_silent(self.now)
        )

    def list_lost(self):
        """Returns the servers that are lost from now on."""
        return {i.name for i in self.supervisor.list_newly_lost(self.now)}


@given("a planner that closes a group with a draining member")
def _(context):
    fixture = context.fixture = CoordinatorFixture()
    draining = attrs.evolve(fixture.members[2], phase=instances.PHASE_DRAINING)
    fixture.add([*fixture.members[:2], draining])
    fixture.plan()
    assert [order for _, order in fixture.sent] == [
        orders.Close(*GROUP, cut=False)
    ], fixture.sent


@given("a planner that has heard only of the head of a group that serves")
def _(context):
    fixture = context.fixture = CoordinatorFixture()
    fixture.add(fixture.members[:1])
    fixture.plan()
    assert not fixture.sent, fixture.sent
    fixture.sent.append((fixture.now, None))


@given(
    "a planner that restored a group from the disk and has heard of its head"
)
def _(context):
    fixture = context.fixture = CoordinatorFixture()
    fixture.registry.restore(fixture.members, fixture.now)
    fixture.add(fixture.members[:1])
    fixture.plan()
    assert not fixture.sent, fixture.sent
    fixture.sent.append((fixture.now, None))


@given("the head asks for a pause of {seconds:g} seconds")
def _(context, seconds):
    fixture = context.fixture
    fixture.supervisor.record_pause("i0", 0, fixture.now + seconds)


@given(
    "a head that does not respond to probes and whose output a gateway receives"
)
def _(context):
    fixture = context.fixture = CoordinatorFixture()
    fixture.add(fixture.members)
    fixture.supervisor.suspect_group("i0", "z1/gateway", fixture.now)
    fixture.supervisor.handle_report(
        orders.ReportArrived("i0", None), fixture.now
    )
    fixture.supervisor.record_output("i0", fixture.now)
    assert not fixture.list_lost(), fixture.list_lost()


@given("a head whose heartbeats end")
def _(context):
    fixture = context.fixture = CoordinatorFixture()
    fixture.add(fixture.members)
    fixture.heard.discard("i0")


@when("the planner's next turn is {seconds:g} seconds late")
def _(context, seconds):
    context.fixture.run_turn(seconds)


@when("the planner is on time for {seconds:g} seconds")
def _(context, seconds):
    context.fixture.run_on_time(seconds)


@when("the head leaves each order without a response for {seconds:g} seconds")
def _(context, seconds):
    context.fixture.run_on_time(seconds)


@when("the head refuses an order")
def _(context):
    fixture = context.fixture
    fixture.supervisor.handle_response(
        orders.OrderAnswered("i0", fixture.sent[-1][1], 503)
    )
    fixture.sent.clear()
    fixture.plan()


@then("the head gets no order again")
def _(context):
    assert len(context.fixture.sent) == 1, context.fixture.sent


@then("the head gets the order once more")
def _(context):
    assert len(context.fixture.sent) == 2, context.fixture.sent


@then("it gets the order again after {intervals} seconds")
def _(context, intervals):
    expected = [
        float(text) for text in intervals.replace(" and ", ", ").split(", ")
    ]
    times = [at for at, _ in context.fixture.sent]
    found = [b - a for a, b in itertools.pairwise(times)]
    assert len(found) == len(expected), found
    for interval, wanted in zip(found, expected, strict=True):
        assert wanted - 0.001 <= interval <= wanted + 1.5 * TURN_S, found


@then("no server is lost")
def _(context):
    assert not context.fixture.list_lost(), context.fixture.list_lost()


@then("the head is lost")
def _(context):
    assert context.fixture.list_lost() == {"i0"}, context.fixture.list_lost()


@then("the head is probed and lost once the probe gets no response")
def _(context):
    fixture = context.fixture
    assert fixture.probed == {"i0"}, fixture.probed
    assert not fixture.list_lost(), fixture.list_lost()
    fixture.supervisor.handle_report(
        orders.ReportArrived("i0", None), fixture.now
    )
    assert fixture.list_lost() == {"i0"}, fixture.list_lost()
