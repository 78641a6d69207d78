"""Steps about gateways that cannot connect to servers."""

from __future__ import annotations

import collections
from unittest import mock

from behave import then, when
from support import isolation_schedules, limit_schedules, notice_schedules

from hickorylead.fleet import messages
from hickorylead.forwarding import events
from hickorylead.relaying import messages as relay_messages
from hickorylead.roles import interface


def isolate(context, names, seconds):
    """Isolates gateways from all servers for some time."""
    traffic = context.traffic
    context.isolated = set(names)
    context.started_at = traffic.simulation.now
    context.sent = []
    traffic.simulation.on_send = lambda sender, _, message: context.sent.append(
        (traffic.simulation.now, sender, message)
    )
    traffic.isolated |= context.isolated
    notice_schedules.send(traffic, seconds)
    context.ended_at = traffic.simulation.now
    context.relayed = [*traffic.relayed]
    traffic.isolated.clear()
    notice_schedules.send(traffic, 1.0)


@when(
    "{count:d} gateways lose their connections to all servers "
    "for {seconds:g} seconds"
)
def _(context, count, seconds):
    names = sorted(context.traffic.simulation.gateways)
    isolate(context, names[:count], seconds)


@when(
    "{count:d} gateways keep open connections while new ones are refused "
    "for {seconds:g} seconds"
)
def _(context, count, seconds):
    context.traffic.keeps_connections = True
    names = sorted(context.traffic.simulation.gateways)
    isolate(context, names[:count], seconds)


@when(
    "all gateways of a zone lose their connections to all servers "
    "for {seconds:g} seconds"
)
def _(context, seconds):
    names = context.traffic.simulation.gateways
    # Enough requests that each relay gets several of them.
    with mock.patch.object(limit_schedules, "DEMAND_PER_S", 60.0):
        isolate(context, [n for n in names if n.startswith("z1/")], seconds)


@when(
    "{count:d} gateways lose their connections and after {delay:g} seconds "
    "all coordinators stop"
)
def _(context, count, delay):
    traffic = context.traffic
    simulation = traffic.simulation

    def stop():
        for name in simulation.coordinator_names:
            simulation.kill(name)

    simulation.call_at(delay, stop)
    isolate(context, sorted(simulation.gateways)[:count], 8.0)


@when("a node asks for relays in the name of another gateway")
def _(context):
    simulation = context.traffic.simulation
    sender, origin, *_ = sorted(simulation.gateways)
    request = relay_messages.RelayRequest(origin)
    for node in simulation.coordinator_names:
        arrived = interface.MessageArrived(sender, request, 0.0)
        simulation.call_at(
            0.5, lambda n=node, a=arrived: simulation.apply(n, a)
        )
    isolate(context, (), 2.0)


@when("{seconds:g} seconds pass without a fault")
def _(context, seconds):
    isolate(context, (), seconds)


@then(
    "from {since_s:g} seconds on their callers are served at the first attempt "
    "{share:g} times as often as the others"
)
def _(context, since_s, share):
    found = {True: [], False: []}
    for submission in context.traffic.submissions.values():
        since = submission.submitted_at - context.started_at
        if since_s <= since and submission.submitted_at < context.ended_at:
            is_isolated = submission.gateway in context.isolated
            found[is_isolated].append(submission.status == 200)
    served = {k: sum(v) / len(v) for k, v in found.items()}
    assert served[False] > 0.9, served
    assert served[True] >= share * served[False], served


@then("the relays of other zones share their requests")
def _(context):
    counts = collections.Counter(r for _, r, _ in context.relayed)
    assert not any(name.startswith("z1/") for name in counts), counts
    assert len(counts) == 16, counts
    assert max(counts.values()) < 4 * min(counts.values()) + 8, counts


@then("after {since_s:g} second isolated gateways report no stalls")
def _(context, since_s):
    until = context.ended_at
    reports = [
        (at, sender, message)
        for at, sender, message in context.sent
        if sender in context.isolated
        and context.started_at + since_s < at < until
        and isinstance(message, messages.StallNews)
    ]
    assert not reports, reports


@then("no message about relays was sent and no server was probed")
def _(context):
    assert context.sent
    assert not [m for _, _, m in context.sent if is_about_relays(m)]
    assert not [
        effect
        for at, _, effect in context.traffic.simulation.gateway_effects
        if isinstance(effect, events.ProbeServer) and at > context.started_at
    ]


def is_about_relays(message):
    """Returns whether a message asks for or offers a relay."""
    return isinstance(
        message, relay_messages.RelayRequest | relay_messages.RelayOffer
    )


@then("each of them causes at most {most:d} messages about relays a second")
def _(context, most):
    origins = collections.Counter(
        message.origin
        for _, _, message in context.sent
        if is_about_relays(message)
    )
    seconds = context.ended_at - context.started_at + 1.0
    assert origins and max(origins.values()) <= most * seconds, origins


@then(
    "isolated gateways are served in the random fault schedules {first:d} to "
    "{last:d}"
)
def _(_, first, last):
    isolated, others = [0, 0], [0, 0]
    for seed in range(first, last + 1):
        found = isolation_schedules.run_schedule(seed)
        assert not found.violations, (seed, found.violations[:3])
        assert found.relayed_count, (seed, found)
        for total, counts in (
            (isolated, found.isolated),
            (others, found.others),
        ):
            total[0] += counts[0]
            total[1] += counts[1]
    shares = [served / count for served, count in (isolated, others)]
    assert shares[0] >= 0.95 * shares[1], (isolated, others)
