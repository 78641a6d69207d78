"""Steps about the published interfaces of real processes."""

from __future__ import annotations

import json
import pathlib
import random
import socket

from behave import then, when
import deployment as deployment_module
from support import processes

from hickorylead.telemetry import traces


@when(
    '"{method} {path}" is sent with token "{token}", headers "{headers}" and'
    ' body "{body}"'
)
def _(context, method, path, token, headers, body):
    send(context, method, path, token, headers, body)


@when(
    '"{method} {path}" is sent with token "{token}", headers "" and body'
    ' "{body}"'
)
def _(context, method, path, token, body):
    send(context, method, path, token, "", body)


@when('"{method} {path}" is sent with token "{token}", headers "" and body ""')
def _(context, method, path, token):
    send(context, method, path, token, "", "")


def send(context, method, path, token, headers, body):
    name, _, value = headers.partition(": ")
    data = b"x" * 2_000_000 if body == "LARGE" else body.encode()
    context.response = deployment_module.call(
        method,
        context.deployment.vms[0].url + path,
        token=processes.TOKENS.get(token, token),
        body=data if method == "POST" else None,
        headers={name: value} if name else {},
    )


@then('the problem is {status:d} "{code}" with verdict not_run')
def _(context, status, code):
    response = context.response
    assert response.status == status, (response.status, response.body)
    kind = response.headers["content-type"]
    assert kind.startswith("application/problem+json"), kind
    found = response.load()
    assert found["code"] == code and found["status"] == status, found
    assert found["verdict"] == "not_run" and found["detail"], found


@then("the entry still serves requests")
def _(context):
    vm = context.deployment.vms[0]
    response = processes.send_chat(vm)
    assert response.status == 200, response.body
    assert response.load()["usage"]["completion_tokens"] == 5


@when(
    "malformed data is sent to the peer ports of an entry and a control process"
)
def _(context):
    vm = context.deployment.vms[0]
    rng = random.Random(5)
    for port in (vm.entry_peer_port, vm.control_peer_port):
        for size in (1, 4, 100, 70_000):
            with socket.create_connection(
                (vm.ip, port), timeout=5
            ) as connection:
                connection.sendall(rng.randbytes(size))
            with socket.create_connection(
                (vm.ip, port), timeout=5
            ) as connection:
                connection.sendall(
                    size.to_bytes(4, "big") + rng.randbytes(size)
                )


@then("the entry reports its health, its readiness and its metrics")
def _(context):
    url = context.deployment.vms[0].url
    assert deployment_module.call("GET", f"{url}/healthz").status == 200
    assert deployment_module.call("GET", f"{url}/readyz").status == 200
    processes.send_chat(context.deployment.vms[0])
    deployment_module.call("POST", f"{url}/services/dispatch/x", token="bad")
    text = deployment_module.call("GET", f"{url}/metrics").body.decode()
    for name in (
        'hickorylead_requests_total{service="assistant",verdict="ran"}',
        "hickorylead_configuration_version ",
        'hickorylead_replicas{zone="hamilton"} 2',
        "hickorylead_queued_requests",
        "hickorylead_tokens_total",
    ):
        assert name in text, (name, text)


@then("a control process reports group downtime and stranded accelerators")
def _(context):
    vm = context.deployment.vms[0]
    url = f"http://{vm.ip}:{vm.control_http_port}/metrics"
    text = deployment_module.call("GET", url).body.decode()
    for name in (
        "hickorylead_group_downtime_seconds",
        "hickorylead_stranded_accelerator_vms",
        "hickorylead_zone_lease_held",
    ):
        assert name in text, (name, text)


@then("each role runs as one process with one thread and no child")
def _(context):
    for name, process in context.deployment.processes.items():
        if not name.endswith(("/entry", "/control")):
            continue
        tasks = pathlib.Path(f"/proc/{process.pid}/task")
        threads = [task.name for task in tasks.iterdir()]
        assert threads == [str(process.pid)], (name, threads)
        children = (tasks / threads[0] / "children").read_text()
        assert not children.strip(), (name, children)


@then("each log line is JSON with time, level, role, zone, vm and version")
def _(context):
    lines = []
    for path in context.deployment.folder.glob("*-entry.log"):
        lines += path.read_text().splitlines()
    assert len(lines) >= 9, lines
    for line in lines:
        found = json.loads(line)
        for field in ("time", "level", "role", "zone", "vm", "version"):
            assert field in found, (field, line)
    ended = [json.loads(line) for line in lines if "request ended" in line]
    assert ended and all(e["request_id"] and e["verdict"] for e in ended)


@when("a request is served and another entry is queried to explain it")
def _(context):
    deployment = context.deployment
    response = processes.send_chat(deployment.vms[0])
    request_id = response.headers["request-id"]
    context.explanation = deployment.operate(
        "explain", request_id, vm=deployment.vms[-1]
    )


@then("the explanation names the replica, the candidates and the verdict")
def _(context):
    for text in ("attempt", "assistant/hamilton/", "weighed", "ran"):
        assert text in context.explanation, (text, context.explanation)


@then("a tracer exports one span for each hop of a trace")
def _(_):
    trace_id = "0af7651916cd43dd8448eb211c80319c"
    tracer = traces.make_tracer("http://127.0.0.1:1", {"zone": "hamilton"})
    entry = tracer.start("entry", f"00-{trace_id}-b7ad6b7169203331-01")
    attempt = tracer.start("attempt", entry.traceparent)
    assert trace_id in attempt.traceparent
    assert entry.traceparent != attempt.traceparent
    attempt.end()
    entry.end()
    from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

    sent = trace_service_pb2.ExportTraceServiceRequest.FromString(
        tracer.drain_batch()
    )
    spans = sent.resource_spans[0].scope_spans[0].spans
    assert [s.name for s in spans] == ["attempt", "entry"]
    assert {s.trace_id.hex() for s in spans} == {trace_id}
    assert spans[0].parent_span_id == spans[1].span_id
    assert not tracer.drain_batch()


@then("status prints a table, and with --json the same as JSON")
def _(context):
    deployment = context.deployment
    table = deployment.operate("status", "--groups")
    for text in ("CONTROL", "ZONE LEASE", "SERVING", "assistant", "entries"):
        assert text in table, (text, table)
    found = json.loads(deployment.operate("status", "--json"))
    assert len(found["controls"]) == len(deployment.vms)
    services = json.loads(deployment.operate("service", "list", "--json"))
    assert {s["name"] for s in services} == {"assistant", "dispatch"}
