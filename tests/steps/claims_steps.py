"""Steps about requests that may run at most once."""

from __future__ import annotations

from behave import given, then, when
from returns import result

from hickorylead.claims import claim_holder, idempotency_keys, messages
from hickorylead.requests import events
from hickorylead.roles import nodes
from hickorylead.verdict import Verdict

KEY = "key-1"
BODY = b"crew 7 to span 14"


def send(context, node, *, body=BODY, **fields):
    answer = context.simulation.submit(
        node, "dispatch", key=KEY, body=body, **fields
    )
    context.last = answer
    return answer


def find_entry(context, zone, skip=()):
    return next(
        n
        for n in context.simulation.entries
        if nodes.get_zone(n) == zone
        and n not in skip
        and n in context.simulation.roles
    )


@when("one key is sent to all entries at once")
def _(context):
    context.answers = [
        send(context, node) for node in context.simulation.entries
    ]


@then("the servers ran the request once and one caller has the response")
def _(context):
    assert context.simulation.key_runs[KEY] == 1
    verdicts = [a.verdict for a in context.answers]
    assert verdicts.count(Verdict.RAN) >= 1, verdicts
    assert Verdict.NOT_RUN not in verdicts, [a.code for a in context.answers]


@when('a request with a key has run through "{zone}"')
def _(context, zone):
    first = send(context, find_entry(context, zone))
    context.simulation.run(2)
    assert first.verdict == Verdict.RAN, first


@when('the same key is sent through "{zone}"')
def _(context, zone):
    age_s = context.simulation.now - context.last.submitted_at
    send(context, find_entry(context, zone), key_age_s=age_s)


@then("the resend gets the first response, marked as replayed")
def _(context):
    final = context.last.final_effect
    assert isinstance(final, events.SendResponse) and final.replayed, final
    assert final.body == b"run for " + BODY
    assert context.simulation.key_runs[KEY] == 1


@when("the entry is killed while its request runs")
def _(context):
    simulation = context.simulation
    for server in simulation.servers.values():
        server.service_s = 5.0
    context.node = simulation.entries[0]
    send(context, context.node)
    simulation.run_until(lambda: simulation.key_runs[KEY])
    simulation.kill(context.node)


@when("the entry is killed right after its request was answered")
def _(context):
    simulation = context.simulation
    context.node = simulation.entries[0]
    answer = send(context, context.node)
    simulation.run_until(lambda: answer.final_effect)
    simulation.kill(context.node)


@when("the same key is sent through another entry")
def _(context):
    node = find_entry(context, context.simulation.zones[2])
    send(
        context,
        node,
        key_age_s=context.simulation.now - context.last.submitted_at,
    )


@then("the resend is refused as may_have_run, and the request ran once")
def _(context):
    assert context.last.verdict == Verdict.MAY_HAVE_RUN, (
        context.last.final_effect
    )
    assert context.last.final_effect.problem.retry_after_s is not None
    assert context.simulation.key_runs[KEY] == 1


@when('a new key is sent through "{zone}"')
def _(context, zone):
    send(context, find_entry(context, zone))


@then('the call is refused as not run with code "{code}"')
def _(context, code):
    assert context.last.verdict == Verdict.NOT_RUN, context.last.final_effect
    assert context.last.code == code, context.last.code


@then('the call is refused as {verdict} with code "{code}"')
def _(context, verdict, code):
    assert context.last.code == code, context.last.final_effect
    assert context.last.verdict == Verdict(verdict)


@then("the refusal has a retry delay")
def _(context):
    assert context.last.final_effect.problem.retry_after_s >= 1
    waited_s = context.last.ended_at - context.last.submitted_at
    assert waited_s <= 1.0, waited_s


@when("a key that is {seconds:d} s old is sent")
def _(context, seconds):
    send(context, context.simulation.entries[0], key_age_s=seconds)


@when('every control process outside "{zone}" restarts')
def _(context, zone):
    for node in context.simulation.controls:
        if nodes.get_zone(node) != zone:
            context.simulation.start(node)


@then("the servers ran the request once")
def _(context):
    assert context.simulation.key_runs[KEY] == 1
    assert context.last.verdict != Verdict.NOT_RUN or (
        context.last.code == "claim_unavailable"
    )


@when('the clocks of all control processes of "{zone}" jump by {seconds:d} s')
def _(context, zone, seconds):
    for node in context.simulation.controls:
        if nodes.get_zone(node) == zone:
            context.simulation.skew[node] = seconds


@when("no plain server can be reached and a key is sent")
def _(context):
    simulation = context.simulation
    for vm, server in simulation.servers.items():
        if server.is_plain:
            simulation.kill_server(vm)
    context.first = send(context, simulation.entries[0])
    simulation.run(3)


@when("the servers are back and the same key is sent again")
def _(context):
    simulation = context.simulation
    for server in simulation.servers.values():
        server.alive = True
    simulation.run(8)
    age_s = simulation.now - context.first.submitted_at
    context.second = send(context, simulation.entries[4], key_age_s=age_s)
    simulation.run(3)


@then("the first request was refused as not run and the second one ran")
def _(context):
    assert context.first.verdict == Verdict.NOT_RUN, context.first.final_effect
    assert context.second.verdict == Verdict.RAN, context.second.final_effect


@when("the same key is sent with another body")
def _(context):
    send(context, context.simulation.entries[4], body=b"crew 8")


@then('the key "{key}" is {read}')
def _(_, key, read):
    is_accepted = isinstance(idempotency_keys.parse_key(key), result.Success)
    assert is_accepted == (read == "taken")


def request_claim(holder, number, owner):
    request = messages.ClaimRequest(
        "z/v/entry", f"key-{number}", owner, "f", 5000.0, 5000.0
    )
    return holder.receive(request, 5000.0)[0].message


@given(
    "a holder that receives {count:d} claims with responses of {size:d} bytes"
)
def _(context, count, size):
    context.holder = claim_holder.ClaimHolder(
        node="z/v/control", started_at=0.0
    )
    answer = messages.FinalAnswer("ran", 200, "", b"x" * size, True)
    context.granted = []
    for number in range(count):
        owner = f"owner-{number}"
        reply = request_claim(context.holder, number, owner)
        if reply.state == messages.GRANTED:
            context.granted.append(number)
            finish = messages.ClaimFinish(f"key-{number}", owner, answer)
            context.holder.receive(finish, 5000.0)


@then("the holder stores {count:d} claims and at most {mib:d} MiB of responses")
def _(context, count, mib):
    assert len(context.holder) == count == len(context.granted)
    context.replies = [
        request_claim(context.holder, number, "another")
        for number in context.granted
    ]
    stored_bytes = sum(len(reply.answer.body) for reply in context.replies)
    assert 0 < stored_bytes <= mib * 1024 * 1024, stored_bytes


@then("each claim that the holder granted is still stored")
def _(context):
    states = {reply.state for reply in context.replies}
    assert states == {messages.FINISHED}, states
