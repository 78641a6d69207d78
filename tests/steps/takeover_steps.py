"""Steps about coordinators that take over the zones of other coordinators."""

from __future__ import annotations

import attrs
from behave import given, then, when
from support import fleet_simulation, planning, simulated_servers, takeovers

from hickorylead.fleet import group_builder, orders, planner
from hickorylead.roles import nodes


def list_open_in_zone(simulation, zone):
    """Returns the heads that serve in a zone."""
    return [s for s in simulation.list_open_heads() if s.zone == zone]


@given("three coordinators with {count:d} servers in each zone")
def _(context, count):
    context.simulation = fleet_simulation.FleetSimulation(
        servers_per_zone=count, domain_size=count
    )
    context.simulation.bootstrap()


@when("messages from a coordinator no longer reach any other coordinator")
def _(context):
    simulation = context.simulation
    simulation.run(3.0)
    context.node = simulation.coordinator_names[0]
    simulation.one_way_partitions |= {
        (context.node, other) for other in simulation.coordinator_names
    }


@when("members of two groups in its zone crash one after the other")
def _(context):
    simulation = context.simulation
    zone = nodes.get_zone(context.node)
    heads = sorted(
        list_open_in_zone(simulation, zone), key=lambda s: -len(s.members)
    )
    assert len(heads) > 1, heads
    # No simulated time has passed since the partition began.
    partitioned_at = simulation.now
    context.orders_by_others = []

    def record_order(node, effect):
        if (
            node != context.node
            and effect.name.startswith(zone)
            and isinstance(effect, orders.SendOrder)
        ):
            delay = simulation.now - partitioned_at
            context.orders_by_others.append((delay, node, effect))

    simulation.on_server_call = record_order
    for head in heads[:2]:
        simulation.crash(head.members[1])
        simulation.run(5.0)


@then("no server was moved out of a serving group")
def _(context):
    assert not context.simulation.conflicting_joins, (
        context.simulation.conflicting_joins
    )


@then(
    "no other coordinator sent orders in its zone more than {delay:g} s after"
    " the partition"
)
def _(context, delay):
    late = [entry for entry in context.orders_by_others if entry[0] > delay]
    assert not late, late


class PlannerFixture:
    """A planner that gets reports of three servers but no new heartbeats."""

    def __init__(self):
        self.now = 100.0
        self.planner = planner.Planner(
            number=1, policy=group_builder.StandbyPolicy(), start_id="a"
        )
        self.servers = [
            simulated_servers.SimulatedServer(f"i{n}", staged=["large"])
            for n in range(3)
        ]
        for server in self.servers:
            server.last_model = "large"
        self.known = [
            attrs.evolve(server.make_heartbeat(), last_model="large")
            for server in self.servers
        ]

    def plan(self):
        """Runs a planning round and returns its joins."""
        self.now += 0.5
        effects = self.planner.plan(
            present=self.known,
            services=[planning.SERVICE],
            domains=frozenset({"d1"}),
            lost=frozenset(),
            planners=1,
            has_traffic=True,
            now=self.now,
        )
        return [
            effect
            for effect in effects
            if isinstance(effect, orders.SendOrder)
            and isinstance(effect.order, orders.Join)
        ]

    def deliver_reports(self):
        """Delivers a report of each server's order count and group."""
        for server in self.servers:
            self.planner.handle_report(
                orders.ReportArrived(
                    server.name, server.accepted, member=server.member
                )
            )


@given("a planner with reports of 3 free servers")
def _(context):
    context.fixture = PlannerFixture()


@when("the servers report that another planner joined them to a group")
def _(context):
    fixture = context.fixture
    members = tuple(s.name for s in fixture.servers)
    for server in fixture.servers:
        join = orders.Join("other", 64, "large", members)
        assert server.apply_order(join, 0, fixture.now) == 202
    fixture.deliver_reports()


@when("the planner joins them, then receives older heartbeats and new reports")
def _(context):
    fixture = context.fixture
    joins = fixture.plan()
    assert len(joins) == 3, joins
    for server, join in zip(fixture.servers, joins, strict=True):
        assert server.apply_order(join.order, join.expected, fixture.now) == 202
        fixture.planner.handle_response(
            orders.OrderAnswered(server.name, join.order, 202)
        )
    fixture.plan()
    fixture.known = [attrs.evolve(i, sequence=2) for i in fixture.known]
    fixture.plan()
    fixture.deliver_reports()


@then("the planner joins none of the servers")
def _(context):
    for _ in range(10):
        assert not context.fixture.plan()


@then("the planner joins the servers once they report that they left the group")
def _(context):
    fixture = context.fixture
    for server in fixture.servers:
        assert (
            server.apply_order(orders.Leave("other", 64), None, fixture.now)
            == 200
        )
    fixture.deliver_reports()
    joins = fixture.plan()
    assert {join.expected for join in joins} == {2}, joins
    assert len(joins) == 3


@then("takeover schedules 0 to 3 and 28 move no server out of a serving group")
def _(_):
    conflicts = [
        *takeovers.run_schedules(0, 4),
        *takeovers.run_schedules(28, 1),
    ]
    assert not conflicts, conflicts
