"""Whole sessions, recorded from the caller's, operator's and server's side."""

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
    """Lines of a session, with what differs from run to run replaced."""

    def __init__(self) -> None:
        self._lines: list[str] = []
        self._names: dict[str, str] = {}

    def add(self, side: str, text: str) -> None:
        """Adds what one side sent or saw."""
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


def run_ordinary_day(context) -> str:
    """Plays a session with real processes."""
    deployment, record = context.deployment, Transcript()
    first, last = deployment.vms[0], deployment.vms[-1]

    def operate(*arguments: str) -> None:
        code, output, error = deployment.try_operate(*arguments, vm=last)
        record.add("operator", "$ hickorylead " + " ".join(arguments))
        record.add("operator", output + error)
        record.add("operator", f"exit code {code}")

    def show(response: deployment_module.Response, what: str) -> None:
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
    show(processes.send_chat(first, stream, Priority="u=0"), "stream, urgent")
    show(processes.send_chat(last), "whole answer")
    key = demo.make_key()
    for vm in (first, last):
        order = deployment_module.call(
            "POST",
            f"{vm.url}/services/dispatch/crews/7",
            token=processes.TOKENS["caller"],
            body=b"span 14",
            headers={"Idempotency-Key": key, "Content-Type": "text/plain"},
        )
        show(order, f"work order through {vm.zone}")
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
        lambda: deployment.count_serving("assistant") == 0, "all drained"
    )
    deployment_module.wait_until(
        lambda: processes.send_chat(last).status == 503, "entries know"
    )
    show(processes.send_chat(last), "whole answer, in maintenance")
    operate("preset", "switch", "ordinary")
    processes.wait_until_serving(deployment)
    show(processes.send_chat(last), "whole answer, after maintenance")
    return record.render()


def _watch(world, record: Transcript) -> None:
    """Records what the servers are ordered and what they run."""
    carry_out, open_attempt = world._order, world._open

    def order(node, given):
        before = len(world.log)
        carry_out(node, given)
        for line in world.log[before:]:
            _, _, kind, vm, group, *refusal = line.split(" ")
            note = f" refused: {refusal[0]}" if refusal and refusal[0] else ""
            record.add("server", f"{vm}: {kind} {group}{note}")

    def attempt(node, effect):
        kind = "attach" if effect.attach else "run"
        record.add(
            "server",
            f"{effect.replica.vm}: {kind} {effect.request.request_id} from"
            f" token {effect.position}",
        )
        open_attempt(node, effect)

    world._order, world._open = order, attempt


def _show_answer(record: Transcript, answer, what: str) -> None:
    if isinstance(answer.final_effect, events.Refuse):
        problem = answer.final_effect.problem
        text = (
            f"{problem.status} {problem.code}, {problem.verdict.value}, retry"
            f" after {problem.retry_after_s}"
        )
    else:
        text = (
            f"{type(answer.final_effect).__name__}"
            f" {len(answer.text.split())} tokens"
        )
    record.add("caller", f"{what}: {text}")


def run_lost_member(_) -> str:
    """Plays a session in given time."""
    world, record = deployments.build(seed=11), Transcript()
    _watch(world, record)
    answer = world.submit(world.entries[0], "assistant", max_tokens=80)
    world.run(1.0)
    server = next(s for s in world.servers.values() if s.streams)
    vm = next(
        v
        for v, s in world.servers.items()
        if s.state.group == server.state.group and s.state.rank == 1
    )
    record.add("server", f"{vm}: pauses")
    world.pause_server(vm, 30)
    world.kill_server(server.state.vm)
    record.add("server", f"{server.state.vm}: dies")
    world.run(20)
    _show_answer(record, answer, "stream")
    zone = server.state.zone
    record.add(
        "operator",
        f"replicas of {zone}:"
        f" {operator_actions.count_replicas(world, world.entries[0], zone)}",
    )
    world.run(30)
    record.add("server", f"{vm}: group {world.servers[vm].state.group or '-'}")
    return record.render()


def run_cut_zone(_) -> str:
    """Plays a session in given time."""
    world, record = deployments.build(seed=12), Transcript()
    _watch(world, record)
    zone = world.zones[0]
    inside = next(n for n in world.entries if nodes.get_zone(n) == zone)
    outside = world.entries[-1]
    record.add("operator", f"{zone} is cut off")
    world.isolate_zone(zone)
    world.run(6)
    chat = world.submit(inside, "assistant", max_tokens=20)
    orders = [
        world.submit(node, "dispatch", key="order", body=b"span")
        for node in (inside, outside)
    ]
    for name, node in (("inside", inside), ("outside", outside)):
        drain = changes.DrainVm(f"vm-{name}", True)
        operator_actions.submit(
            world, drain, change_id=f"change-{name}", node=node
        )
    world.run(8)
    _show_answer(record, chat, "stream inside")
    _show_answer(record, orders[0], "work order inside")
    _show_answer(record, orders[1], "work order outside")
    for name in ("inside", "outside"):
        answer = world.outcomes[f"change-{name}"]
        text = json.dumps(
            {
                "accepted": bool(answer.outcome and answer.outcome.accepted),
                "may_apply": answer.may_apply,
            }
        )
        record.add("operator", f"change {name}: {text}")
    record.add("operator", f"{zone} is joined again")
    world.heal()
    world.run(8)
    again = world.submit(
        inside, "dispatch", key="order", body=b"span", key_age_s=16
    )
    world.run(2)
    _show_answer(record, again, "work order inside, again")
    versions = {
        role.configuration.version
        for n, role in world.roles.items()
        if n in world.entries
    }
    record.add("operator", f"versions followed by entries: {len(versions)}")
    return record.render()


SESSIONS = {
    "ordinary day": run_ordinary_day,
    "lost member": run_lost_member,
    "cut zone": run_cut_zone,
}
