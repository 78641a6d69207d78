"""Steps about work that fails."""

from __future__ import annotations

from unittest import mock

import attrs
from behave import given, then, when
from support import (
    forwarder_harness,
    lost_silence_schedules,
)

from hickorylead import isolation, notes
from hickorylead.fleet import events as fleet_events, messages
from hickorylead.forwarding import events, model, stalls
from hickorylead.roles import interface
from hickorylead.runtime import peers
from hickorylead.verdict import Verdict
from hickorylead.wire import codec

FAILURE = RuntimeError("a fault of the test")
ROUTES = {"stream": "drafts", "call": "notices"}


@given("a gateway with 2 replicas of each service")
def _(context):
    context.harness = forwarder_harness.ForwarderHarness(plain=2, models=2)


def refuse(harness, name):
    """Refuses the latest attempt of a request."""
    harness.send_head(
        name,
        model.ResponseHead(503, not_run=True, echoed_attempt_id=f"try-{name}"),
    )


@when(
    "the replica of a {request} falls silent, the next one refuses the request,"
    " and the first one is lost"
)
def _(context, request):
    harness = context.harness
    context.other = harness.send_request("alerts", body=b"other")
    context.name = name = harness.send_request(ROUTES[request])
    first = harness.list_attempts(name)[0]
    if request == "stream":
        stall = stalls.Stall(first.replica, stalls.Basis.RUNNING)
        for effect in harness.forwarder.mover.move_streams(stall, harness.now):
            harness.effects.append((harness.now, effect))
    else:
        harness.advance(0.25)
    assert len(harness.list_attempts(name)) == 2, harness.list_attempts(name)
    refuse(harness, name)
    if request == "call":
        # A call waits for a relay while no server can be connected to.
        for replica in harness.list_replicas("plain"):
            harness.reachability.record_failure(
                replica, model.CONNECT_TIMEOUT, present=2, now=harness.now
            )
    harness.deliver(
        events.AttemptFailed(name, first.attempt, Verdict.MAY_HAVE_RUN, "reset")
    )


@then("the gateway's ticks do not fail")
def _(context):
    # The harness fails with each piece of work that has failed.
    context.harness.advance(0.2)


def find_final(harness, name):
    """Returns the final effects of a request, with their times."""
    return [
        found
        for kind in (
            events.FinishResponse,
            events.AbortResponse,
            events.Refuse,
        )
        for found in harness.list_effects(name, kind)
    ]


@then(
    "another request that waits for a response gets its final effect at its"
    " deadline"
)
def _(context):
    harness = context.harness
    harness.advance(1.5)
    ((at, _),) = find_final(harness, context.other)
    assert abs(at - harness.ends_at[context.other]) < 0.05, at


@then("the {request} gets its final effect")
def _(context, request):
    context.harness.advance(10.0)
    assert len(find_final(context.harness, context.name)) == 1


@then("the lost silence schedules 92, 111, 113 and 138 violate no promise")
def _(_):
    for seed in (92, 111, 113, 138):
        found = lost_silence_schedules.run_schedules(seed, 1)
        assert not found[seed], found


@then("{count:d} lost silence schedules violate no promise")
def _(_, count):
    found = lost_silence_schedules.run_schedules(0, count)
    violations = {seed: lines for seed, lines in found.items() if lines}
    assert not violations, violations


# One request.


@when("{work} of one of two requests fails")
def _(context, work):
    harness = context.harness
    harness.may_fail = True
    context.other = harness.send_request("alerts", body=b"other")
    context.name = harness.send_request("notices")
    forwarder = harness.forwarder
    handle_overdue = forwarder.mover.handle_overdue

    def fail_for_one(pending, *arguments):
        if pending.request.request_id == context.name:
            raise FAILURE
        return handle_overdue(pending, *arguments)

    if work == "a check":
        with mock.patch.object(
            forwarder.mover, "handle_overdue", side_effect=fail_for_one
        ):
            harness.advance(0.3)
    else:
        with mock.patch.object(
            forwarder._heads, "find_problem", side_effect=FAILURE
        ):
            harness.send_head(context.name)


@when("the dispatch of a request fails")
def _(context):
    context.harness.may_fail = True
    with mock.patch.object(
        context.harness.forwarder._selector, "choose", side_effect=FAILURE
    ):
        context.name = context.harness.send_request("alerts")


@then(
    "that request is answered with status {status:d} and a log line that names"
    " it"
)
def _(context, status):
    harness = context.harness
    ((_, refusal),) = find_final(harness, context.name)
    assert refusal.status == status, refusal
    assert not harness.forwarder._pending.get(context.name)
    failures = [
        effect
        for _, effect in harness.effects
        if isinstance(effect, notes.Note) and effect.event == "work_failed"
    ]
    assert [f.request_id for f in failures] == [context.name], failures
    assert repr(FAILURE) == failures[0].fields["why"]


# One step of a tick.


STEPS = {
    "heartbeats": lambda role: (role.reports, "send_alive"),
    "probes": lambda role: (role._supervisor, "probe_silent"),
    "hellos": lambda role: (role._exchange, "send_hellos"),
    "reports": lambda role: (role._reports, "tick"),
    "cleanup": lambda role: (role, "_clean_up"),
}


@when('the step "{step}" of a {node} fails in each tick')
def _(context, step, node):
    simulation = context.simulation
    simulation.may_fail = True
    nodes = (
        simulation.coordinators
        if node == "coordinator"
        else simulation.gateways
    )
    context.node, role = next(iter(nodes.items()))
    context.effects = []
    with mock.patch.object(*STEPS[step](role), side_effect=FAILURE):
        role.reduce(
            fleet_events.HeartbeatArrived(
                attrs.evolve(
                    next(iter(simulation.servers.values())).make_heartbeat(),
                    slots=3,
                )
            ),
            simulation.now,
        ) if node == "coordinator" else None
        for number in range(40):
            now = simulation.now + 0.05 * number
            context.effects += role.reduce(interface.Tick(0.0), now)
    context.step = step


@then("the other steps of the {node} are still carried out")
def _(context, node):
    kinds = {
        type(e.message) if isinstance(e, interface.Send) else type(e)
        for e in context.effects
    }
    expected = {
        "coordinator": {messages.ZoneLoads, fleet_events.SaveInstances},
        "gateway": {messages.GatewayHello},
    }[node]
    if context.step == "reports":
        # The hellos are a part of this step.
        expected = set()
    assert expected <= kinds, kinds


@then("each failure is in its log")
def _(context):
    failures = [
        e.fields["reason"]
        for e in context.effects
        if isinstance(e, notes.Note) and e.event == "work_failed"
    ]
    assert failures and set(failures) == {context.step}, failures


# One effect or message.


@when("the second of three effects cannot be carried out")
def _(context):
    context.carried_out, context.log = [], []

    def carry_out(effect):
        if effect == "second":
            raise FAILURE
        context.carried_out.append(effect)

    isolation.carry_out_all(
        ["first", "second", "third"], carry_out, context.log.append
    )


@then("the first and the third are carried out and the second is in the log")
def _(context):
    assert context.carried_out == ["first", "third"]
    (note,) = context.log
    assert (note.event, note.level) == ("work_failed", "error")


@when("the first of two messages of a node cannot be handled")
def _(context):
    context.handled, context.log = [], mock.Mock()

    def deliver(_, message):
        if message.sender == "first":
            raise FAILURE
        context.handled.append(message.sender)

    receiver = peers.Peers(
        node="z1/vm1/gateway",
        address="127.0.0.1:1",
        addresses={},
        deliver=deliver,
        log=context.log,
    )
    for sender in ("first", "second"):
        receiver._receive(
            codec.encode_envelope(
                codec.Envelope("n", "a:1", messages.StallNews(sender, ()))
            )
        )


@then("the second one is handled and the first is in the log")
def _(context):
    assert context.handled == ["second"]
    context.log.warn.assert_called_once()
