"""Steps about planned stops of real coordinators, as operators see them."""

from __future__ import annotations

import asyncio
import os
import signal

from behave import then, when
import orjson
from support import platform_cluster, stopped_servers

from hickorylead.runtime import clock

GRACE_S = 2.0
# Shorter than the time after which a call is undecided by itself.
SHORT_GRACE_S = 0.8
VERSION = 9
READ = b"GET /config/read HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


def render_post(path: str, body: bytes) -> bytes:
    """Returns a POST of a JSON document on a connection that may be kept."""
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
    return f"{head}\r\n\r\n".encode() + body


def render_change() -> bytes:
    """Returns an operator's change."""
    body = orjson.dumps(platform_cluster.make_configuration(VERSION))
    return render_post("/config/replace", body).replace(
        b"Host: x", b"Host: x\r\nConnection: close"
    )


class Stop:
    """A stop of the third coordinator, which takes the signals."""

    def __init__(self, cluster: platform_cluster.PlatformCluster) -> None:
        """Prepares the stop."""
        self.cluster = cluster
        self.process = cluster.coordinators[2]
        self.address = cluster.controls[2]
        self.ip = self.process.settings.ip
        self.ended_s = 0.0
        self.others: list[stopped_servers.Answer] = []

    async def connect(self, address: str = "") -> stopped_servers.Caller:
        """Opens a connection to the coordinator."""
        return await stopped_servers.Caller(address or self.address).connect()

    def lose_messages(self, limit_s: float) -> None:
        """Loses what the coordinator sends to the others for a time."""
        peers = self.process._peers
        send, until = peers.send, clock.read_boottime() + limit_s

        def send_later(node, message):
            if clock.read_boottime() >= until:
                send(node, message)

        peers.send = send_later

    async def run(self) -> None:
        """Sends SIGTERM and waits for the end of the process."""
        began = clock.read_boottime()
        os.kill(os.getpid(), signal.SIGTERM)
        await stopped_servers.wait_for_end(self.cluster._tasks[2], self.ip)
        self.ended_s = clock.read_boottime() - began


def run_stop(context, session, grace_s=GRACE_S):
    async def run(cluster):
        await cluster.wait_for(
            lambda: all(c.role.version == 3 for c in cluster.coordinators)
        )
        context.stop = Stop(cluster)
        context.grace_s = grace_s
        context.answer = await session(context.stop)
        context.log = cluster.log_path.read_text()

    with stopped_servers.record():
        asyncio.run(
            platform_cluster.run_session(run, gateways=0, grace_s=grace_s)
        )


async def stop_while_waiting(stop, request, loss_s=0.25):
    """Stops the coordinator while a call waits for lost messages."""
    caller = await stop.connect()
    stop.lose_messages(loss_s)
    caller.send(request)
    receiving = asyncio.ensure_future(caller.receive())
    await asyncio.sleep(0.1)
    await stop.run()
    return await receiving


async def stop_within_body(stop, pause_s):
    """Stops the coordinator while the body of a change still comes."""
    caller = await stop.connect()
    request = render_change()
    caller.send(request[:-100])
    receiving = asyncio.ensure_future(caller.receive())
    await asyncio.sleep(0.1)
    stopping = asyncio.ensure_future(stop.run())
    await asyncio.sleep(pause_s)
    caller.send(request[-100:])
    await stopping
    return await receiving


@when("a coordinator stops while a change waits for lost messages")
def _(context):
    run_stop(context, lambda s: stop_while_waiting(s, render_change()))


@when("a coordinator stops while a read waits for lost messages")
def _(context):
    run_stop(context, lambda s: stop_while_waiting(s, READ))


@when("a coordinator stops while the body of a change still comes")
def _(context):
    run_stop(context, lambda s: stop_within_body(s, 0.4))


@when("a coordinator stops while the body of a change stands still")
def _(context):
    run_stop(context, lambda s: stop_within_body(s, GRACE_S))


@when("a coordinator stops while a change waits for messages that never come")
def _(context):
    run_stop(
        context,
        lambda s: stop_while_waiting(s, render_change(), loss_s=60),
        SHORT_GRACE_S,
    )


@when("calls come to a coordinator that stops while a change waits")
def _(context):
    heartbeat = render_post("/instances/m0/heartbeat", b"{}")

    async def session(stop):
        callers = [await stop.connect() for _ in range(3)]
        stopping = asyncio.ensure_future(
            stop_while_waiting(stop, render_change())
        )
        await asyncio.sleep(0.15)
        callers.append(await stop.connect())
        requests = (heartbeat, READ, render_change(), heartbeat)
        receiving = []
        for caller, request in zip(callers, requests, strict=True):
            caller.send(request)
            receiving.append(caller.receive())
        stop.others = await asyncio.gather(*receiving)
        return await stopping

    run_stop(context, session)


@when("a coordinator stops while a caller of its metrics port does not read")
def _(context):
    async def session(stop):
        address = f"{stop.ip}:{platform_cluster.METRICS_PORT}"
        caller = await stop.connect(address)
        caller.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 5000)
        await asyncio.sleep(0.5)
        await stop.run()
        return await caller.receive()

    run_stop(context, session)


@when("a coordinator gets SIGTERM twice while a change waits")
def _(context):
    async def session(stop):
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, os.kill, os.getpid(), signal.SIGTERM)
        return await stop_while_waiting(stop, render_change())

    run_stop(context, session)


@then("the call is answered with 200")
def _(context):
    answer = context.answer
    assert answer.status == 200 and answer.is_complete, (
        answer,
        context.stop.ended_s,
    )


def check_refusal(answer):
    assert answer.status == 503 and answer.is_complete, answer
    assert float(answer.read_header("retry-after")) > 0, answer


@then("the call is answered with 503 and Retry-After")
def _(context):
    check_refusal(context.answer)


@then("the answer says that the change may have been committed")
def _(context):
    problem = orjson.loads(context.answer.body)["error"]
    assert problem == "not known whether it was committed: send it again"


@then('a line of the log names the call as "{event}"')
def _(context, event):
    lines = [orjson.loads(line) for line in context.log.splitlines()]
    found = [line for line in lines if event in line.values()]
    node = context.stop.process._node
    assert len(found) == 1, found
    assert any(str(v).startswith(f"{node}.") for v in found[0].values()), found


@then("each of them is answered with 503 and Retry-After within {limit:g} s")
def _(context, limit):
    assert len(context.stop.others) == 4
    for answer in context.stop.others:
        check_refusal(answer)
        assert answer.after_s < limit, answer


@then("the coordinator has ended within its grace time")
def _(context):
    assert context.stop.ended_s < context.grace_s, context.stop.ended_s


@then("the coordinator has ended within {limit:g} s")
def _(context, limit):
    assert context.stop.ended_s < limit, context.stop.ended_s
