"""Sessions as recorded by callers, operators and backend servers."""

from __future__ import annotations

import json
import re

import demo
import deployment as deployment_module

from hickorylead.configuration import changes
from hickorylead.requests import events
from hickorylead.roles import nodes
from support import deployments, operator_actions, processes

_KEPT_HEADERS = ("content-type", "retry-after", "idempotency-replayed")


class Transcript:
    """Lines of a session; values that differ between runs are replaced."""

    def __init__(self) -> None:
        self._lines: list[str] = []
        self._names: dict[str, str] = {}

    def add(self, side: str, text: str) -> None:
        """Adds what a caller, an operator or a server sent or received."""
        for line in text.rstrip().splitlines():
            self._lines.append(f"{side:9} {self._normalise(line)}".rstrip())

    def render(self) -> str:
        """Returns the record."""
        return "\n".join(self._lines) + "\n"

    def _normalise(self, line: str) -> str:
        line = re.sub(
            r"\b[a-z-]+\.vm\d\.[0-9a-f]+-[0-9a-f]+\b",
            self._name("request"),
            line,
        )
        line = re.sub(r"\b[0-9a-f]{8}\.(\d+) ", r"word.\1 ", line)
        line = re.sub(r'"created":\d+', '"created":0', line)
        line = re.sub(r"\d+-\d+(?=[ \"]|$)", "N-N", line)
        return re.sub(r"127\.0\.\d+\.\d+:\d+", "ADDRESS", line)

    def _name(self, kind: str):
        def replace(found: re.Match[str]) -> str:
            text = found.group(0)
            return self._names.setdefault(
                text, f"<{kind} {len(self._names) + 1}>"
            )

        return replace


def record_normal_operation(context) -> str:
    """Runs operator commands and requests against real processes."""
    deployment, record = context.deployment, Transcript()
    first, last = deployment.vms[0], deployment.vms[-1]

    def operate(*arguments: str) -> None:
        code, output, error = deployment.try_operate(*arguments, vm=last)
        record.add("operator", "$ hickorylead " + " ".join(arguments))
        record.add("operator", output + error)
        record.add("operator", f"exit code {code}")

    def record_response(
        response: deployment_module.Response, what: str
    ) -> None:
        record.add("caller", what)
        record.add("caller", f"status {response.status}")
        for name in _KEPT_HEADERS:
            if name in response.headers:
                record.add("caller", f"{name}: {response.headers[name]}")
        record.add("caller", response.body.decode())

    operate("service", "list")
    operate("preset", "list")
    stream = {
        **processes.CHAT,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    record_response(
        processes.send_chat(first, stream, Priority="u=0"), "stream, urgent"
    )
    record_response(processes.send_chat(last), "complete response")
    key = demo.make_key()
    for vm in (first, last):
        response = deployment_module.call(
            "POST",
            f"{vm.url}/services/dispatch/crews/7",
            token=processes.TOKENS["caller"],
            body=b"span 14",
            headers={"Idempotency-Key": key, "Content-Type": "text/plain"},
        )
        record_response(response, f"work order through {vm.zone}")
    runs = deployment_module.call(
        "GET", f"{deployment.plain_url}/debug/runs"
    ).load()
    record.add(
        "server",
        f"runs of this key: {len([r for r in runs if r['key'] == key])}",
    )
    operate("preset", "switch", "maintenance", "--expected-version", "1")
    operate("preset", "switch", "nothing")
    operate("service", "delete", "assistant")
    operate("preset", "switch", "maintenance")
    deployment_module.wait_until(
        lambda: deployment.count_serving("assistant") == 0,
        "all replicas drained",
    )
    deployment_module.wait_until(
        lambda: processes.send_chat(last).status == 503,
        "entries refuse the service",
    )
    record_response(
        processes.send_chat(last), "complete response, in maintenance"
    )
    operate("preset", "switch", "ordinary")
    processes.wait_until_serving(deployment)
    record_response(
        processes.send_chat(last), "complete response, after maintenance"
    )
    return record.render()


def _record_servers(simulation, record: Transcript) -> None:
    """Records the orders to the servers and the requests that they run."""
    deliver_order, start_attempt = (
        simulation._deliver_order,
        simulation._start_attempt,
    )

    def record_order(node, order):
        before = len(simulation.log)
        deliver_order(node, order)
        for line in simulation.log[before:]:
            _, _, kind, vm, group, *refusal = line.split(" ")
            note = f" refused: {refusal[0]}" if refusal and refusal[0] else ""
            record.add("server", f"{vm}: {kind} {group}{note}")

    def record_attempt(node, effect):
        kind = "attach" if effect.attach else "run"
        record.add(
            "server",
            f"{effect.replica.vm}: {kind} {effect.request.request_id} from"
            f" token {effect.position}",
        )
        start_attempt(node, effect)

    simulation._deliver_order, simulation._start_attempt = (
        record_order,
        record_attempt,
    )


def _record_result(record: Transcript, result, what: str) -> None:
    if isinstance(result.final_effect, events.Refuse):
        problem = result.final_effect.problem
        text = (
            f"{problem.status} {problem.code}, {problem.verdict.value}, retry"
            f" after {problem.retry_after_s}"
        )
    else:
        text = (
            f"{type(result.final_effect).__name__}"
            f" {len(result.text.split())} tokens"
        )
    record.add("caller", f"{what}: {text}")


def record_lost_member(_) -> str:
    """Simulates a session in which members of replicas pause and die."""
    simulation, record = deployments.build(seed=11), Transcript()
    _record_servers(simulation, record)
    result = simulation.submit(
        simulation.entries[0], "assistant", max_tokens=80
    )
    simulation.run(1.0)
    server = next(s for s in simulation.servers.values() if s.streams)
    vm = next(
        v
        for v, s in simulation.servers.items()
        if s.state.group == server.state.group and s.state.rank == 1
    )
    record.add("server", f"{vm}: pauses")
    simulation.pause_server(vm, 30)
    simulation.kill_server(server.state.vm)
    record.add("server", f"{server.state.vm}: dies")
    simulation.run(20)
    _record_result(record, result, "stream")
    zone = server.state.zone
    count = operator_actions.count_replicas(
        simulation, simulation.entries[0], zone
    )
    record.add("operator", f"replicas of {zone}: {count}")
    simulation.run(30)
    record.add(
        "server", f"{vm}: group {simulation.servers[vm].state.group or '-'}"
    )
    return record.render()


def record_isolated_zone(_) -> str:
    """Simulates a session in which a zone is partitioned from the others."""
    simulation, record = deployments.build(seed=12), Transcript()
    _record_servers(simulation, record)
    zone = simulation.zones[0]
    inside = next(n for n in simulation.entries if nodes.get_zone(n) == zone)
    outside = simulation.entries[-1]
    record.add("operator", f"{zone} is isolated")
    simulation.isolate_zone(zone)
    simulation.run(6)
    chat = simulation.submit(inside, "assistant", max_tokens=20)
    orders = [
        simulation.submit(node, "dispatch", key="order", body=b"span")
        for node in (inside, outside)
    ]
    for name, node in (("inside", inside), ("outside", outside)):
        drain = changes.DrainVm(f"vm-{name}", True)
        operator_actions.submit(
            simulation, drain, change_id=f"change-{name}", node=node
        )
    simulation.run(8)
    _record_result(record, chat, "stream inside")
    _record_result(record, orders[0], "work order inside")
    _record_result(record, orders[1], "work order outside")
    for name in ("inside", "outside"):
        effect = simulation.outcomes[f"change-{name}"]
        text = json.dumps(
            {
                "accepted": bool(effect.outcome and effect.outcome.accepted),
                "may_apply": effect.may_apply,
            }
        )
        record.add("operator", f"change {name}: {text}")
    record.add("operator", f"{zone} is no longer isolated")
    simulation.heal()
    simulation.run(8)
    resubmitted = simulation.submit(
        inside, "dispatch", key="order", body=b"span", key_age_s=16
    )
    simulation.run(2)
    _record_result(record, resubmitted, "work order inside, again")
    versions = {
        role.configuration.version
        for n, role in simulation.roles.items()
        if n in simulation.entries
    }
    record.add("operator", f"versions followed by entries: {len(versions)}")
    return record.render()


SESSIONS = {
    "normal operation": record_normal_operation,
    "lost member": record_lost_member,
    "isolated zone": record_isolated_zone,
}
