"""Steps about what runs say about the parts of their prompts."""

from __future__ import annotations

import random
import tracemalloc

import attrs
from behave import given, then, when
from support import forwarder_harness

from hickorylead.crashes import messages, trait_history
from hickorylead.forwarding import events, model
from hickorylead.verdict import Verdict
from hickorylead.wire import codec, schema

HOME_COORDINATOR = "z1/core1/coordinator"
PARTS = ("common", "subject")
PART = 77


def start(context, *, parts=PARTS, has_output=True):
    """Sends a stream; returns its name."""
    harness = context.harness
    name = harness.send_request("drafts", parts=parts)
    context.name = name
    if has_output:
        attempt = harness.send_head(name)
        harness.send_events(name, [1], attempt=attempt)
    return name


def get_replica(harness, name):
    """Returns the replica of the latest attempt."""
    return harness.list_attempts(name)[-1].replica


def complete(context, name, *, is_framed=True):
    """Ends the response to a stream."""
    attempt = context.harness.list_attempts(name)[-1].attempt
    context.harness.deliver(events.ResponseCompleted(name, attempt, is_framed))


def lose_server(harness, name):
    """Makes coordinators miss the heartbeats of a server."""
    known = harness.registry.instances[name]
    harness.registry.merge(attrs.evolve(known, silent=True), harness.now)


def decide(harness):
    """Decides about ended runs, as a gateway does with its ticks."""
    harness.guard.decide_ended_runs(
        lambda server, born: harness.registry.has_ended(
            server, born, harness.now
        ),
        harness.now,
        pauses=harness.pauses,
    )


def is_sound(context):
    """Returns whether each part of the stream is sound now."""
    evidence = context.harness.guard.evidence
    return [
        evidence.find_sound_time(part) is not None
        for part in forwarder_harness.hash_parts("model", PARTS)
    ]


@when("a stream with shared parts has output for {seconds:g} seconds")
def _(context, seconds):
    send_output(context, start(context), seconds)


def send_output(context, name, seconds):
    """Sends an event of a stream each 0.1 seconds."""
    attempt = context.harness.list_attempts(name)[-1].attempt
    for number in range(round(seconds / 0.1)):
        context.harness.advance(0.1)
        context.harness.send_events(name, [number + 2], attempt=attempt)


@when("a stream with shared parts has its first output")
def _(context):
    start(context)
    context.harness.advance(0.3)


@when(
    "a stream with shared parts completes, and its server lives on for "
    "{seconds:g} seconds"
)
def _(context, seconds):
    complete(context, start(context))
    context.harness.advance(seconds)
    decide(context.harness)


@when(
    "a stream with shared parts completes, and the gateway is then "
    "{seconds:g} seconds late"
)
def _(context, seconds):
    harness = context.harness
    complete(context, start(context))
    harness.now += seconds
    harness.pauses.record_listening(harness.now)
    decide(harness)
    harness.advance(0.1)
    decide(harness)


@when(
    "a stream with shared parts completes without framing, and its server "
    "lives on for {seconds:g} seconds"
)
def _(context, seconds):
    complete(context, start(context), is_framed=False)
    context.harness.advance(seconds)
    decide(context.harness)


@when(
    "a stream with shared parts completes without framing, and its server is "
    "lost after {seconds:g} seconds"
)
def _(context, seconds):
    harness = context.harness
    name = start(context)
    complete(context, name, is_framed=False)
    harness.advance(seconds)
    decide(harness)
    lose_server(harness, get_replica(harness, name).name)
    decide(harness)
    harness.advance(5.0)
    decide(harness)


@when(
    "a stream with shared parts completes without framing, and its server "
    "refuses connections"
)
def _(context):
    harness = context.harness
    name = start(context)
    complete(context, name, is_framed=False)
    replica = get_replica(harness, name)
    for _ in range(20):
        other = harness.send_request("drafts")
        if get_replica(harness, other).name == replica.name:
            harness.fail(other, Verdict.NOT_RUN, model.CONNECT_REFUSED)
            return
    raise AssertionError("no other request was sent to the replica")


@when("a stream with shared parts loses its caller after the first output")
def _(context):
    name = start(context)
    context.harness.deliver(events.CallerDisconnected(name))
    context.harness.advance(6.0)
    decide(context.harness)


@when(
    "a stream with shared parts loses its caller after the first output, and "
    "its server is lost"
)
def _(context):
    harness = context.harness
    name = start(context)
    replica = get_replica(harness, name)
    harness.deliver(events.CallerDisconnected(name))
    harness.advance(0.5)
    lose_server(harness, replica.name)
    decide(harness)


@when("a stream with shared parts is reset before its first output")
def _(context):
    name = start(context, has_output=False)
    context.harness.fail(name, Verdict.MAY_HAVE_RUN, "reset")


@when("a stream with shared parts is reset after its first output")
def _(context):
    name = start(context)
    context.harness.fail(name, Verdict.MAY_HAVE_RUN, "reset")


@when("a stream with shared parts is reset together with another")
def _(context):
    harness = context.harness
    name = start(context)
    replica = get_replica(harness, name)
    for _ in range(20):
        other = harness.send_request("drafts")
        if get_replica(harness, other).name == replica.name:
            harness.fail(other, Verdict.MAY_HAVE_RUN, "reset")
            return
    raise AssertionError("no other request was sent to the replica")


@then("its parts are sound")
def _(context):
    assert is_sound(context) == [True, True]


@then("its parts are not sound")
def _(context):
    assert is_sound(context) == [False, False]


def list_accused(harness):
    """Returns the parts in what the gateway reports, by server."""
    return {
        accusation.server: {t for run in accusation.runs for t in run.traits}
        for _, update in harness.guard.collect_messages(
            HOME_COORDINATOR, harness.now
        )
        for accusation in update.accusations
    }


@then("the gateway reports that its server may have ended under its parts")
def _(context):
    harness = context.harness
    first = harness.list_attempts(context.name)[0].replica.name
    accused = list_accused(harness)
    parts = set(forwarder_harness.hash_parts("model", PARTS))
    assert parts <= accused.get(first, set()), accused


@when(
    "a stream has output for {seconds:g} seconds and another one with its "
    "parts is reset"
)
def _(context, seconds):
    send_output(context, start(context), seconds)
    other = context.harness.send_request("drafts", parts=PARTS)
    context.harness.fail(other, Verdict.MAY_HAVE_RUN, "reset")


@then("the gateway reports no server that may have ended under these parts")
def _(context):
    assert list_accused(context.harness) == {}


# Bounds.


@when(
    "{runs:d} runs with {parts:d} parts each are lost at each of {servers:d} "
    "servers"
)
def _(context, runs, parts, servers):
    evidence = context.harness.guard.evidence
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    for server in range(servers):
        traits = tuple(range(parts))
        lost = [
            evidence.start_run((-number, *traits), f"i{server}", 0, 50.0)
            for number in range(runs)
        ]
        for run in lost:
            evidence.lose_run(run, 50.0)


@then(
    "the gateway keeps lost runs of {servers:d} servers, {runs:d} each, in less"
    " than {size:d} MB"
)
def _(context, servers, runs, size):
    used, _ = tracemalloc.get_traced_memory()
    assert used < size * 1e6, used
    found = context.harness.guard.evidence.collect_accusations(
        has_new_home_coordinator=False, now=50.0
    )
    assert len(found) == servers, len(found)
    assert {len(accusation.runs) for accusation in found} == {runs}


def accuse(server, *traits, age_s=0.0, sent_s=0.1, has_ended=True):
    """Returns the report of one lost run."""
    run = messages.AccusedRun(traits, round((age_s + sent_s) * 1000))
    return messages.Accusation(
        server, 0, round(age_s * 1000), (run,), has_ended
    )


@given("a trait history in which a part crashed {count:d} servers")
def _(context, count):
    context.history = trait_history.TraitHistory()
    for number in range(count):
        context.history.merge(
            accuse(f"bad{number}", 1000 + number, PART, age_s=count - number),
            100.0,
        )
    assert list(context.history.find_blocked(100.0)) == [frozenset({PART})]


@given("an empty trait history")
def _(context):
    context.history = trait_history.TraitHistory()


@when("{runs:d} runs with new parts are lost at {servers:d} other servers")
def _(context, runs, servers):
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    for number in range(runs):
        accused = accuse(f"i{number % servers}", 10**6 + number, 10**7 + number)
        context.history.merge(accused, 100.0)


@then("the part is still blocked")
def _(context):
    assert frozenset({PART}) in context.history.find_blocked(100.0)


@then("the history takes less than {size:d} MB")
def _(context, size):
    used, _ = tracemalloc.get_traced_memory()
    assert used < size * 1e6, used


@when("{count:d} servers end at the same moment under runs with a part")
def _(context, count):
    for number in range(count):
        context.history.merge(
            accuse(f"i{number}", 1000 + number, PART, sent_s=0.5), 100.0
        )


@then("no trait is blocked or suspected")
def _(context):
    assert not context.history.find_blocked(100.0)
    assert not context.history.find_suspected(100.0)


@when("{count:d} random reports are merged in {orders:d} random orders")
def _(context, count, orders):
    rng = random.Random(3)
    reports = [
        accuse(
            f"i{rng.randrange(20)}",
            rng.randrange(1000),
            rng.choice((PART, rng.randrange(30))),
            age_s=rng.uniform(0.0, 20.0),
            has_ended=rng.random() < 0.7,
        )
        for _ in range(count)
    ]
    context.histories = []
    for _ in range(orders):
        rng.shuffle(reports)
        history = trait_history.TraitHistory()
        for report in reports:
            history.merge(report, 100.0)
        context.histories.append(history)


@then("all these histories have the same digest and block the same traits")
def _(context):
    assert len({history.digest for history in context.histories}) == 1
    blocked = [h.find_blocked(100.0) for h in context.histories]
    assert blocked[0]
    assert all(found == blocked[0] for found in blocked), blocked


@when("a node reports the saved lost runs each {period_s:d} seconds")
def _(context, period_s):
    history = context.history
    saved = history.list_accusations(100.0)
    context.states = []
    for number in range(1, 13):
        now = 99.0 + number * period_s
        for accusation in saved:
            history.merge(accusation, now)
        history.prune(now)
        context.states.append(
            (now, bool(history.find_blocked(now)), history.find_suspected(now))
        )


@then("the part is blocked for another {seconds:d} seconds")
def _(context, seconds):
    (limit,) = context.history.find_blocked(100.0).values()
    assert abs(limit.until - 99.0 - seconds) < 0.1, limit


@then(
    "the part is blocked for {block_s:d} seconds and suspected until {end_s:d}"
)
def _(context, block_s, end_s):
    for now, is_blocked, suspected in context.states:
        age_s = now - 99.0
        assert is_blocked == (age_s < block_s), (age_s, is_blocked)
        is_suspected = PART in suspected
        assert is_suspected == (block_s <= age_s < end_s), (age_s, suspected)


# Mixed versions.


@given("a message with blocked requests and blocked parts")
def _(context):
    context.sent = messages.BlockNews(
        HOME_COORDINATOR,
        (messages.Block(5, 1000),),
        trait_blocks=(messages.TraitBlock((PART,), 1000, 10),),
        trait_suspicions=(messages.TraitSuspicion(8, 1000, 10, "g"),),
    )


@when("a node without parts decodes the message")
def _(context):
    new_fields = ("trait_blocks", "trait_suspicions", "released")
    names = [field.name for field in attrs.fields(messages.BlockNews)]
    # Fields are numbered in this order, so older nodes know the first ones.
    assert tuple(names[-len(new_fields) :]) == new_fields, names
    data = codec.encode_envelope(
        codec.Envelope(HOME_COORDINATOR, "", context.sent)
    )
    context.message = codec.decode_envelope(data).unwrap().message
    assert schema.render_schema() == schema.SCHEMA_FILE.read_text()


@then("it has the blocked requests of that message")
def _(context):
    assert context.message.blocks == context.sent.blocks
    assert context.message.suspicions == ()


# Streams without framing.


@when("a stream ends with its connection {place}")
def _(context, place):
    harness = context.harness
    name = context.name = harness.send_request("drafts")
    for number in (1, 2) if place == "inside each event" else (1,):
        attempt = harness.send_head(name)
        harness.send_events(name, [number], attempt=attempt)
        if place != "between two events":
            half = forwarder_harness.encode_event(number + 1)[:9]
            harness.deliver(events.ChunkArrived(name, attempt, half))
        harness.deliver(events.ResponseCompleted(name, attempt, False))


@then("its response is complete")
def _(context):
    harness = context.harness
    assert harness.list_effects(context.name, events.FinishResponse)
    assert len(harness.list_attempts(context.name)) == 1


@then("its response continues on another replica")
def _(context):
    harness = context.harness
    assert not harness.list_effects(context.name, events.FinishResponse)
    first, second = harness.list_attempts(context.name)
    assert first.replica != second.replica
    assert second.last_event_id == 1


@then("its response is aborted and not complete")
def _(context):
    harness = context.harness
    assert not harness.list_effects(context.name, events.FinishResponse)
    assert harness.list_effects(context.name, events.AbortResponse)
