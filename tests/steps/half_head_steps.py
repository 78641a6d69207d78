"""Steps about responses that a replica cuts off in their head or body."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import then
from steps import platform_steps
from support import cut_gateway, cut_responses, relay_path

from hickorylead import verdict as verdict_module
from hickorylead.fleet import server_codec
from hickorylead.relaying import messages
from hickorylead.requests import (
    events as request_events,
    model as request_model,
)
from hickorylead.routing import messages as routing_messages
from hickorylead.runtime import backends, calls, relay_connections, upstream
from hickorylead.telemetry import traces


@then(
    "a response with {name} that is cut off at each byte by a {end} is "
    "complete only if it is whole, {path}"
)
def _(_, name, end, path):
    answer = cut_responses.ANSWERS[name]
    with platform_steps.allow_slow_connections():
        seen = asyncio.run(cut_responses.run_all_cuts(path, answer, end))
    assert len(seen) == len(answer.data) + 1
    problems = [
        (problem, item)
        for item in seen
        if (problem := cut_responses.find_problem(answer, end, item))
    ]
    assert not problems, (len(problems), problems[:3])


@then("two responses to HEAD with a length use one connection, {path}")
def _(_, path):
    with platform_steps.allow_slow_connections():
        replica = asyncio.run(cut_responses.run_two_heads(path))
    counts = (replica.connection_count, replica.first_count)
    assert counts == (1, 2), counts


@then(
    "a part of a head that arrives unasked ends a connection that is kept, "
    "{path}"
)
def _(_, path):
    with platform_steps.allow_slow_connections():
        seen = asyncio.run(cut_responses.run_late_heads(path))
    wrong = [
        item
        for item in seen
        if (item.result, item.body) != ("complete", b"body")
        or (item.next_result, item.next_body) != ("complete", b"whole")
        or item.reused_count
    ]
    assert not wrong, (len(wrong), wrong[:3])


class EagerRelay(relay_connections.RelayProtocol):
    """A relay that reports what its server does together with its consent."""

    messages: tuple = ()

    def handle_message(self, message) -> None:
        """Accepts an exchange; ignores the request."""
        if isinstance(message, messages.RelayOpen):
            sent: list[bytes] = []
            with mock.patch.object(self.transport, "write", sent.append):
                self.send(messages.RelayAccepted())
                for following in self.messages:
                    self.send(following)
            self.transport.write(b"".join(sent))


EARLY_ENDS = {
    "close": (messages.RelayClosed(False),),
    "reset": (messages.RelayClosed(True),),
    "part of a head": (messages.RelayData(b"HTTP/1.1 200 OK\r\nConte"),),
    "whole response and a close": (
        messages.RelayData(cut_responses.WHOLE),
        messages.RelayClosed(False),
    ),
}


async def run_early_end(name) -> cut_responses.Recorder:
    """Sends a request through a relay whose server ends before it."""

    def make():
        relay = EagerRelay(print)
        relay.messages = EARLY_ENDS[name]
        return relay

    loop = asyncio.get_running_loop()
    server = await loop.create_server(make, "127.0.0.1", 0)
    path = relay_path.RelayPath()
    port = server.sockets[0].getsockname()[1]
    path.relay.address = f"127.0.0.1:{port}"
    recorder = cut_responses.Recorder()
    path.send("127.0.0.1:1", cut_responses.GET, recorder)
    await recorder.wait()
    assert not any(path.pool._idle.values()), "the connection is kept"
    path.close()
    server.close()
    return recorder


@then("a request whose replica sent a {name} before it reached the relay fails")
def _(_, name):
    with platform_steps.allow_slow_connections():
        recorder = asyncio.run(run_early_end(name))
    seen = (recorder.result, recorder.status, recorder.body)
    assert seen == ("not_run", 0, b""), (seen, recorder.reason)


REPLICA_KEEPALIVE_S = 1.0
FRAMES = (
    b'{"request_id":"r","position":1,"tokens":1,"text":"a"}\n'
    b'{"request_id":"r","position":2,"tokens":1,"text":"b",'
    b'"finish_reason":"stop"}\n'
)
STREAMS = {
    "a length": b"Content-Length: %d\r\n\r\n%b" % (len(FRAMES), FRAMES),
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
    % (len(FRAMES), FRAMES),
    "no length": b"\r\n" + FRAMES,
}


async def run_attempt(
    data: bytes, end: str, *, is_whole: bool, streamed: bool = False
) -> list:
    """Runs an attempt of an entry; returns its events."""
    replica = cut_responses.CutReplica(data, end)
    address = await replica.start()
    delivered: list = []
    done = asyncio.Event()

    def deliver(event) -> None:
        delivered.append(event)
        if (
            not isinstance(event, request_events.FrameArrived)
            or event.finish_reason
        ):
            done.set()

    clients = backends.Backends(
        deliver=deliver, tracer=traces.make_tracer("", {})
    )
    if not is_whole:
        replica.may_end.set()
    clients.start(
        request_events.StartAttempt(
            "a",
            1,
            request_model.Request("r", "w", "s", path="p", body=b"{}"),
            routing_messages.Replica(
                "g",
                "s",
                "z1",
                1,
                "vm",
                address,
                slots=6,
                keepalive_s=REPLICA_KEEPALIVE_S if streamed else 0.0,
            ),
        )
    )
    await asyncio.wait_for(done.wait(), cut_responses.LIMIT_S)
    await clients.close()
    replica.close()
    return delivered


async def run_attempts(data: bytes, end: str, ends_at: float, **how) -> list:
    """Runs an attempt for each cut; returns the events of each.

    Args:
        data: The response.
        end: How the connection ends.
        ends_at: Number of bytes after which the attempt ends by itself.
        how: Further arguments of each attempt.
    """
    results: list = []
    cuts = list(range(len(data) + 1))
    for start in range(0, len(cuts), cut_responses.BATCH_SIZE):
        results += await asyncio.gather(
            *(
                run_attempt(data[:cut], end, is_whole=cut >= ends_at, **how)
                for cut in cuts[start : start + cut_responses.BATCH_SIZE]
            )
        )
    return results


@then(
    "an entry takes a call's response with {name} that is cut off at each "
    "byte by a {end} as complete only if it is whole"
)
def _(_, name, end):
    answer = cut_responses.ANSWERS[name]
    results = asyncio.run(run_attempts(answer.data, end, answer.ends_at))
    wrong = []
    for cut, (event,) in enumerate(results):
        is_whole = cut >= answer.complete_at and not (
            answer.ends_with_close and end == "reset"
        )
        match event:
            case request_events.AnswerArrived(body=body):
                is_right = is_whole and body == answer.body[: len(body)]
                if not answer.ends_with_close:
                    is_right = is_right and body == answer.body
            case request_events.AttemptFailed(verdict=verdict):
                may_have_run = verdict is verdict_module.Verdict.MAY_HAVE_RUN
                is_right = not is_whole and may_have_run
            case _:
                is_right = False
        if not is_right:
            wrong.append((cut, event))
    assert not wrong, (len(wrong), wrong[:3])


@then(
    "an entry takes a stream with {name} that is cut off at each byte by a "
    "{end} as complete only with its last frame"
)
def _(_, name, end):
    data = cut_responses.OK + STREAMS[name]
    complete_at = data.index(b'"stop"}') + len(b'"stop"}')
    attempts = run_attempts(data, end, complete_at + 1, streamed=True)
    results = asyncio.run(attempts)
    wrong = []
    for cut, events in enumerate(results):
        *frames, last = events
        is_complete = (
            isinstance(last, request_events.FrameArrived)
            and last.finish_reason == "stop"
        )
        texts = [frame.text for frame in frames]
        has_failed = (
            isinstance(last, request_events.AttemptFailed)
            and last.verdict is verdict_module.Verdict.MAY_HAVE_RUN
        )
        if (
            is_complete == has_failed
            or (is_complete and cut < complete_at)
            or (is_complete and texts != ["a"])
            or (has_failed and cut > complete_at)
            or texts not in ([], ["a"])
        ):
            wrong.append((cut, events))
    assert not wrong, (len(wrong), wrong[:3])


async def make_cut_call(data: bytes, end: str, *, is_whole: bool):
    """Makes a call whose response is cut off; returns what it returned."""
    replica = cut_responses.CutReplica(data, end)
    address = await replica.start()
    if not is_whole:
        replica.may_end.set()
    pool = upstream.Pool()
    call = server_codec.HttpCall("POST", "/order", b"{}")
    response = await calls.make_call(pool, address, call, cut_responses.LIMIT_S)
    pool.close()
    replica.close()
    return response


async def make_cut_calls(answer, end) -> list:
    """Makes a call for each cut."""
    return await asyncio.gather(
        *(
            make_cut_call(
                answer.data[:cut], end, is_whole=cut >= answer.ends_at
            )
            for cut in range(len(answer.data) + 1)
        )
    )


@then(
    "an order or report whose response with {name} is cut off at each byte by "
    "a {end} has a response only if it is whole"
)
def _(_, name, end):
    answer = cut_responses.ANSWERS[name]
    with platform_steps.allow_slow_connections():
        results = asyncio.run(make_cut_calls(answer, end))
    wrong = []
    for cut, response in enumerate(results):
        is_whole = cut >= answer.complete_at and not (
            answer.ends_with_close and end == "reset"
        )
        if isinstance(response, calls.NoResponse):
            is_right = not is_whole and response.reason != "timeout"
        else:
            is_right = is_whole and (
                answer.body.startswith(response.body)
                if answer.ends_with_close
                else response.body == answer.body
            )
        if not is_right:
            wrong.append((cut, response))
    assert not wrong, (len(wrong), wrong[:3])


@then(
    "callers of a gateway get a {kind} that its replicas cut off at each byte "
    "as complete only if it is whole, {path}"
)
def _(_, kind, path):
    problems = cut_gateway.run(
        streamed=kind == "stream", relayed=path == "through a relay"
    )
    assert not problems, problems


@then("callers of a gateway get responses without a body, and no length")
def _(_):
    found = cut_gateway.run_bodiless()
    for name, response in found.items():
        head, _, body = response.partition(b"\r\n\r\n")
        _, status, _ = cut_gateway.BODILESS[name]
        assert head.startswith(f"HTTP/1.1 {status}".encode()), (name, response)
        assert b"server-seal: seal.x" in head.lower(), (name, head)
        assert body == b"", (name, body)
        assert b"content-length" not in head.lower(), (name, head)
        assert b"transfer-encoding" not in head.lower(), (name, head)
