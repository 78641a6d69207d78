"""Steps about failures of real processes."""

from __future__ import annotations

import contextlib
import json
import re
import shutil
import signal
import threading
import time

from behave import then, when
import demo
import deployment as deployment_module
from support import processes

wait_until = deployment_module.wait_until


def list_controls(context, vm=None):
    return context.deployment.get_status(vm)["controls"]


def find_holder(context, zone, vm=None):
    return next(
        (
            c["node"]
            for c in list_controls(context, vm)
            if c["zone"] == zone and c["is_holder"]
        ),
        None,
    )


def kill(context, name):
    context.deployment.kill(name)
    context.killed = [*getattr(context, "killed", []), name]


def pick_vm(context, skip=()):
    return next(
        vm
        for vm in context.deployment.vms
        if f"{vm.zone}/{vm.name}/entry" not in skip
    )


@when("the log leader and a zone's lease holder are killed")
def _(context):
    leader = next(c["node"] for c in list_controls(context) if c["is_leader"])
    holders = [
        wait_until(lambda z=zone: find_holder(context, z), "a holder")
        for zone in context.deployment.zones
    ]
    # Two of the three voters must keep running, or no change is accepted.
    holder = next((h for h in holders if "/vm1/" not in h), None)
    context.killed = []
    kill(context, leader)
    if holder is not None:
        kill(context, holder)


@then("callers of every zone are still served")
def _(context):
    for vm in context.deployment.vms:
        response = processes.send_chat(vm)
        assert response.status == 200, (vm, response.body)


@then("a change is accepted again")
def _(context):
    deployment = context.deployment

    def is_change_accepted():
        code, _, _ = deployment.try_operate("drain", f"vm-{time.time()}")
        return code == 0

    wait_until(is_change_accepted, "a change is accepted")


@when("the killed processes are started again")
def _(context):
    for name in context.killed:
        context.deployment.restart(name)
    context.killed = []


@then("every process follows the newest version")
def _(context):
    deployment = context.deployment

    def has_newest():
        status = deployment.get_status()
        newest = max(c["version"] for c in status["controls"])
        return (
            len(status["controls"]) == len(deployment.vms)
            and all(c["version"] == newest for c in status["controls"])
            and all(
                deployment.get_status(vm)["version"] == newest
                for vm in deployment.vms
            )
        )

    wait_until(has_newest, "all processes follow the newest version")
    processes.wait_until_serving(deployment)


@when("a zone's lease holder is frozen until another one holds the lease")
def _(context):
    context.zone = context.deployment.zones[1]
    context.frozen = wait_until(
        lambda: find_holder(context, context.zone), "a holder"
    )
    context.deployment.signal(context.frozen, signal.SIGSTOP)
    wait_until(
        lambda: (
            find_holder(context, context.zone) not in (None, context.frozen)
        ),
        "another holder",
    )


@when("the frozen process resumes")
def _(context):
    context.deployment.signal(context.frozen, signal.SIGCONT)


@then("one process holds the lease of that zone and all replicas serve")
def _(context):
    deployment = context.deployment
    wait_until(
        lambda: len(list_controls(context)) == len(deployment.vms),
        "all control processes respond again",
    )
    holders = [
        c["node"]
        for c in list_controls(context)
        if c["zone"] == context.zone and c["is_holder"]
    ]
    assert len(holders) <= 1 and context.frozen not in holders, holders
    processes.wait_until_serving(deployment)


def submit_order(context, vm, key):
    return deployment_module.call(
        "POST",
        f"{vm.url}/services/dispatch/crews",
        token=processes.TOKENS["caller"],
        body=b"span 14",
        headers={"Idempotency-Key": key},
    )


def list_runs(context):
    url = f"{context.deployment.plain_url}/debug/runs"
    return deployment_module.call("GET", url).load()


@when("an entry is killed while its work order runs")
def _(context):
    plain = context.deployment.plain_url
    deployment_module.call("POST", f"{plain}/debug/delay/3")
    context.key = demo.make_key()
    vm = context.deployment.vms[-1]
    caller = threading.Thread(
        target=lambda: try_order(context, vm), daemon=True
    )
    caller.start()
    wait_until(
        lambda: context.key in {run["key"] for run in list_runs(context)},
        "the order runs",
    )
    context.killed = []
    kill(context, f"{vm.zone}/{vm.name}/entry")
    caller.join(timeout=10)
    deployment_module.call("POST", f"{plain}/debug/delay/0")


def try_order(context, vm):
    # The entry is killed meanwhile, which breaks the connection.
    with contextlib.suppress(OSError):
        submit_order(context, vm, context.key)


@then("a resend through another entry gets may_have_run and the order ran once")
def _(context):
    response = submit_order(context, context.deployment.vms[0], context.key)
    assert response.status == 409, response.body
    assert response.load()["verdict"] == "may_have_run"
    assert response.headers["retry-after"]
    runs = [run for run in list_runs(context) if run["key"] == context.key]
    assert len(runs) == 1, runs


@when("an entry gets SIGTERM while a stream runs")
def _(context):
    stop_within_stream(context, signals=1)


@when("an entry gets SIGTERM twice while a stream runs")
def _(context):
    stop_within_stream(context, signals=2)


def stop_within_stream(context, signals):
    vm = context.deployment.vms[-1]
    body = {**processes.CHAT, "max_tokens": 300, "stream": True}
    found = {}

    def stream():
        found["response"] = processes.send_chat(vm, body)

    caller = threading.Thread(target=stream, daemon=True)
    caller.start()
    name = f"{vm.zone}/{vm.name}/entry"
    wait_until(lambda: count_open_requests(context, vm) > 0, "the stream runs")
    context.deployment.signal(name, signal.SIGTERM)
    for _ in range(signals - 1):
        time.sleep(0.2)
        context.deployment.signal(name, signal.SIGTERM)
    caller.join(timeout=30)
    context.stream = found["response"].body.decode()
    context.process = context.deployment.processes[name]
    context.killed = [name]


def count_open_requests(context, vm):
    text = deployment_module.call("GET", f"{vm.url}/metrics").body.decode()
    found = re.search(r"hickorylead_open_requests (\d+)", text)
    return int(found.group(1)) if found else 0


@then("the stream is complete and the process ends by itself")
def _(context):
    events = [
        json.loads(line[6:])
        for line in context.stream.splitlines()
        if line.startswith("data: {")
    ]
    chunks = [
        e["choices"][0]["delta"].get("content") for e in events if e["choices"]
    ]
    numbers = [int(c.split(".")[1]) for c in chunks if c]
    assert numbers == list(range(300)), numbers[-3:]
    assert context.stream.rstrip().endswith("data: [DONE]")
    assert context.process.wait(timeout=20) == 0


@when("a voter is killed and its data folder removed")
def _(context):
    vm = context.deployment.vms[3]
    assert vm.has_disk
    context.killed = []
    kill(context, f"{vm.zone}/{vm.name}/control")
    shutil.rmtree(context.deployment.get_data_folder(vm))


@when("a control process is started with another VM's data folder")
def _(context):
    deployment = context.deployment
    name = f"{deployment.zones[0]}/vm1/control"
    arguments, variables = deployment._commands[name]
    variables = {
        **variables,
        "HICKORYLEAD_DATA_FOLDER": str(
            deployment.get_data_folder(deployment.vms[3])
        ),
    }
    deployment.start("wrong-folder", arguments, **variables)
    context.process = deployment.processes["wrong-folder"]


@then("the process ends with exit code 6 and logs the owner of the folder")
def _(context):
    assert context.process.wait(timeout=20) == 6
    text = (context.deployment.folder / "wrong-folder.log").read_text()
    assert "belongs to te-awamutu/vm1/control" in text, text
