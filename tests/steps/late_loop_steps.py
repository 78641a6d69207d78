"""Steps about coordinators whose event loops are late."""

from __future__ import annotations

from behave import given, then, when
from support import late_loops

from hickorylead.consensus import messages as consensus_messages
from hickorylead.fleet import events, peer_directory
from hickorylead.roles import coordinator, interface

# Messages from the expiry of an election timer until followers know the leader:
# trial votes, votes and the first entry.
MESSAGES_PER_ELECTION = 5
CRASH_PERIOD_S = 4.0


def prepare(context, seed=1):
    context.fleet = late_loops.LateFleet(seed)
    context.fleet.settle()
    mark(context)


def mark(context):
    fleet = context.fleet
    context.leader = fleet.find_leading()
    assert context.leader, fleet.role_changes
    context.term = fleet.find_term()
    context.since = fleet.now
    context.late_s = 0.0


def list_followers(context):
    return [n for n in context.fleet.coordinators if n != context.leader]


def describe(context):
    fleet = context.fleet
    return (
        f"leader {context.leader}, now {fleet.find_leader()};"
        f" {fleet.find_term() - context.term} terms;"
        f" elections {fleet.list_elections(context.since)};"
        f" lost {fleet.list_lost_leaders(context.since)}"
    )


@given("six coordinators with event loops")
def _(context):
    prepare(context)


@when(
    "the leader's loop is late {times:d} times by {low:g} to {high:g} seconds"
)
def _(context, times, low, high):
    fleet = context.fleet
    for _ in range(times):
        seconds = fleet.rng.uniform(low, high)
        fleet.stop_loop(context.leader, seconds)
        fleet.run(seconds + fleet.rng.uniform(0.3, 1.0))
    fleet.run(2.0)


@when("the leader's loop is late by {seconds:g} seconds")
def _(context, seconds):
    context.fleet.stop_loop(context.leader, seconds)
    context.fleet.run(seconds + 3.0)


@when("all loops are late by {seconds:g} seconds at once")
def _(context, seconds):
    for node in context.fleet.coordinators:
        context.fleet.stop_loop(node, seconds)
    context.fleet.run(seconds + 3.0)


@when(
    "the leader's loop is late by {seconds:g} seconds while the others stop too"
)
def _(context, seconds):
    fleet = context.fleet
    context.voters = set(fleet.coordinators[context.leader].voter.voters)
    for node in fleet.coordinators:
        fleet.stop_loop(node, seconds + (node == context.leader) * 0.01)
    context.removed = set()
    for _ in range(300):
        fleet.run((seconds + 3.0) / 300)
        for role in fleet.coordinators.values():
            context.removed |= context.voters - set(role.voter.voters)


@then("all voters of before were voters all the time")
def _(context):
    assert context.voters
    assert not context.removed, context.removed


@then("the leader is the same and no term has passed")
def _(context):
    fleet = context.fleet
    assert fleet.find_leader() == context.leader, describe(context)
    assert fleet.find_term() == context.term, describe(context)
    assert not fleet.list_lost_leaders(context.since), describe(context)


@when("a follower's loop is late by {seconds:g} seconds")
def _(context, seconds):
    fleet = context.fleet
    context.late = list_followers(context)[0]
    fleet.stop_loop(context.late, seconds)
    fleet.run(seconds)


@then("it holds all its peers for alive right after")
def _(context):
    fleet = context.fleet
    peers = fleet.coordinators[context.late].peers
    counts = []
    for _ in range(200):
        fleet.run(0.01)
        counts.append(len(peers.list_alive(fleet.now)))
    lost = [
        note.fields["peer"]
        for at, node, note in fleet.notes
        if at >= context.since
        and node == context.late
        and getattr(note, "event", "") == "peer_lost"
    ]
    assert min(counts) == len(fleet.coordinators) - 1, (counts[:20], lost)
    assert not lost, lost


@then("no voter has started an election")
def _(context):
    assert not context.fleet.list_elections(context.since), describe(context)


@when(
    "with seed {seed:d} all loops are late by {low:g} to {high:g} seconds for"
    " {span:g} seconds"
)
def _(context, seed, low, high, span):
    prepare(context, seed)
    fleet = context.fleet
    until = fleet.now + span
    for node in fleet.coordinators:
        fleet.call_at(
            fleet.rng.uniform(0.0, 1.0),
            lambda node=node: fleet.stop_at_random(
                node, shortest_s=low, longest_s=high, until=until
            ),
        )
    # Crashes give the coordinators a reason to give orders.
    crashed = fleet.rng.sample(sorted(fleet.servers), int(span / 5))
    for number, name in enumerate(crashed):
        fleet.call_at(
            CRASH_PERIOD_S * (number + 0.5), lambda name=name: fleet.crash(name)
        )
    fleet.run(span)


@then("no server was ordered by two coordinators within {within_s:g} second")
def _(context, within_s):
    fleet = context.fleet
    assert any(at >= context.since for at, _, _ in fleet.orders)
    found = fleet.list_ordered_by_two(context.since, within_s)
    assert not found, (len(found), found[:5], describe(context))


@when("they are on time for {seconds:g} seconds")
def _(context, seconds):
    context.fleet.run(seconds)
    mark(context)


@then("a leader is ready and keeps its role for {seconds:g} seconds")
def _(context, seconds):
    fleet = context.fleet
    assert context.leader, describe(context)
    fleet.run(seconds)
    assert fleet.find_leader() == context.leader, describe(context)
    assert not fleet.list_changes(context.since), describe(context)


@when("each turn is late by {seconds:g} seconds")
def _(context, seconds):
    context.fleet.delay_turns(seconds)
    context.fleet.run(5.0)
    mark(context)
    context.late_s = seconds


@when("the leading coordinator dies")
def _(context):
    context.killed = context.leader
    context.fleet.kill(context.killed)


@when("a following coordinator dies")
def _(context):
    context.killed = list_followers(context)[0]
    context.fleet.kill(context.killed)


def derive_limit(late_s):
    """Returns within which time a dead coordinator is replaced.

    Of the time between two ticks, at most the longest gap counts as a silence.
    """
    silence_s = (
        late_loops.VOTER_OPTIONS.election_max_s + peer_directory.PEER_TIMEOUT_S
    )
    if not late_s:
        return silence_s
    tick_s = late_s + coordinator.TICK_S + late_loops.FULL_TABLE_S
    stretch = max(1.0, tick_s / late_loops.MAX_GAP_S)
    return stretch * silence_s + MESSAGES_PER_ELECTION * tick_s


@then("another leader is ready and no one holds it for alive in time")
def _(context):
    fleet = context.fleet

    def is_replaced():
        return fleet.find_leader() != "" and not any(
            context.killed in role.peers.list_alive(fleet.now)
            for role in fleet.coordinators.values()
        )

    fleet.run_until(is_replaced, derive_limit(context.late_s))


@when("a vote and a read arrive behind {count:d} reports")
def _(context, count):
    fleet = context.fleet
    node, other = list_followers(context)[:2]
    servers = list(fleet.servers.values())
    for number in range(count):
        report = servers[number % len(servers)].make_heartbeat()
        fleet.apply(node, events.HeartbeatArrived(report))
    voter = fleet.coordinators[node].voter
    candidate = fleet.coordinators[other].voter
    vote = consensus_messages.VoteRequest(
        cluster=voter.cluster,
        recipient=voter.member,
        candidate=candidate.member,
        term=voter.term + 1,
        last_index=candidate.log.last_index,
        last_term=candidate.log.last_term,
        trial=True,
    )
    context.urgent = [
        interface.MessageArrived(other, vote, 0.0),
        events.ReadRequested("read behind reports"),
    ]
    context.arrived_at = fleet.now
    for event in context.urgent:
        fleet.apply(node, event)
    fleet.run(10.0)


@then("each of them is handled within {limit_ms:g} ms")
def _(context, limit_ms):
    waits_ms = [
        1000.0 * (at - context.arrived_at)
        for event in context.urgent
        for at, _, handled in context.fleet.handled
        if handled is event
    ]
    assert len(waits_ms) == len(context.urgent), waits_ms
    assert max(waits_ms) <= limit_ms, waits_ms


@when("only one follower reaches the leader")
def _(context):
    fleet = context.fleet
    context.follower, *others = list_followers(context)
    for node in others:
        for other in fleet.coordinators:
            if other != node:
                fleet.partition(node, other)
    context.since = fleet.now


@then("the leader keeps its role between {start:g} and {end:g} seconds")
def _(context, start, end):
    fleet = context.fleet
    leader = fleet.coordinators[context.leader]
    follower = fleet.coordinators[context.follower]
    fleet.run(start)
    context.roles, context.fresh = [], []
    context.reads = []
    while fleet.now < context.since + end:
        context.reads.append(fleet.read(context.leader))
        fleet.run(0.02)
        context.roles.append(leader.voter.role)
        context.fresh.append(follower.is_fresh(fleet.now))
    assert set(context.roles) == {"leader"}, context.roles


@then("its follower is not up to date meanwhile")
def _(context):
    assert not any(context.fresh), context.fresh


@then("reads at the leader are not answered meanwhile")
def _(context):
    outcomes = context.fleet.outcomes
    context.fleet.run(10.0)
    assert {outcomes.get(token) for token in context.reads} == {None}
