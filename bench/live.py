"""Measures real processes: added latency, cost of a request and of a token.

Latencies through the entry and directly to the stand-in engine are measured
side by side and are comparable within one run only. The processor time that
the kernel counts for the entry's process can be compared between runs.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import tempfile
import time

import aiohttp
from hdrh import histogram
import orjson

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))
sys.path.insert(0, str(ROOT / "examples"))

import deployment as deployment_module
from support import processes

TICKS = os.sysconf("SC_CLK_TCK")
LATENCY_CALLS = 300
BURST_REQUESTS = 400
CONCURRENCY = 32
IDLE_S = 10.0
SHORT, LONG = 1, 101


def make_body(number: int, tokens: int, *, streamed: bool) -> dict:
    text = f"Request {number}: what does the crew need at the gate?"
    return {
        "model": "assistant",
        "max_tokens": tokens,
        "stream": streamed,
        "messages": [{"role": "user", "content": text}],
    }


def read_processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS


def read_resident_mib(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise ValueError("no resident size")


async def time_first_token(session, url, headers, body) -> float:
    start = time.perf_counter()
    async with session.post(url, data=orjson.dumps(body), headers=headers) as r:
        assert r.status == 200, await r.text()
        await r.content.readany()
        first_s = time.perf_counter() - start
        await r.read()
    return first_s


async def measure_latency(entry_url, engine) -> list[str]:
    """Measures the time to the first token, alternating between both paths."""
    through = histogram.HdrHistogram(1, 10_000_000, 3)
    direct = histogram.HdrHistogram(1, 10_000_000, 3)
    headers = {"Authorization": f"Bearer {processes.TOKENS['caller']}"}
    async with aiohttp.ClientSession() as session:
        for number in range(LATENCY_CALLS):
            body = make_body(number, 5, streamed=True)
            run_request = {
                "request_id": f"direct-{number}",
                "attempt_id": f"direct-{number}.1",
                "group": engine["group"],
                "generation": engine["generation"],
                "position": 0,
                "urgency": 3,
                "max_tokens": 5,
                "request": body,
            }
            url = f"http://{engine['address']}/v1/run"
            direct_s = await time_first_token(session, url, {}, run_request)
            url = f"{entry_url}/v1/chat/completions"
            through_s = await time_first_token(session, url, headers, body)
            if number >= 20:
                direct.record_value(int(direct_s * 1e6))
                through.record_value(int(through_s * 1e6))
    lines = ["| first token | p50 ms | p99 ms |", "|---|---|---|"]
    for name, latencies in (("direct", direct), ("through the entry", through)):
        p50, p99 = (
            latencies.get_value_at_percentile(p) / 1000 for p in (50, 99)
        )
        lines.append(f"| {name} | {p50:.2f} | {p99:.2f} |")
    added = [
        through.get_value_at_percentile(p) - direct.get_value_at_percentile(p)
        for p in (50, 99)
    ]
    lines.append(f"| added | {added[0] / 1000:.2f} | {added[1] / 1000:.2f} |")
    return lines


async def send_burst(entry_url: str, tokens: int, count: int) -> None:
    headers = {"Authorization": f"Bearer {processes.TOKENS['caller']}"}
    url = f"{entry_url}/v1/chat/completions"
    numbers = iter(range(count))
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def send_requests() -> None:
            for number in numbers:
                body = make_body(number, tokens, streamed=True)
                async with session.post(
                    url, data=orjson.dumps(body), headers=headers
                ) as response:
                    text = await response.read()
                    assert text.endswith(b"data: [DONE]\n\n"), text[-200:]

        await asyncio.gather(*(send_requests() for _ in range(CONCURRENCY)))


def measure_processor(entry_url: str, pid: int) -> list[str]:
    """Measures the entry's processor time for a request and for a token."""
    costs = {}
    for tokens in (SHORT, LONG):
        asyncio.run(send_burst(entry_url, tokens, 40))
        before = read_processor_s(pid)
        asyncio.run(send_burst(entry_url, tokens, BURST_REQUESTS))
        costs[tokens] = (read_processor_s(pid) - before) / BURST_REQUESTS
    token_s = (costs[LONG] - costs[SHORT]) / (LONG - SHORT)
    request_s = costs[SHORT] - SHORT * token_s
    peak_s = 3500 / 360 * request_s + 1.4e6 / 360 * token_s
    return [
        "| entry | processor us | on one core |",
        "|---|---|---|",
        f"| a request | {request_s * 1e6:.0f} | {1 / request_s:.0f}/s |",
        f"| a streamed token | {token_s * 1e6:.1f} | {1 / token_s:.0f}/s |",
        "| peak of one of 360 entries (9.7 requests/s, 3,889 tokens/s) |"
        f" {peak_s * 1e6:.0f} a second | {100 * peak_s:.0f} % of a core |",
    ]


def measure_idle(deployment) -> list[str]:
    """Measures resident memory and idle processor time of each role."""
    pids = {
        name: process.pid
        for name, process in deployment.processes.items()
        if name.endswith(("/entry", "/control"))
    }
    before = {name: read_processor_s(pid) for name, pid in pids.items()}
    time.sleep(IDLE_S)
    lines = ["| role | resident MiB | idle % of a core |", "|---|---|---|"]
    status = deployment.get_status()
    roles = {
        c["node"]: "holder" if c["is_holder"] else "control"
        for c in status["controls"]
    }
    leader = next(c["node"] for c in status["controls"] if c["is_leader"])
    roles[leader] = "leader"
    usage: dict[str, list[tuple[float, float]]] = {}
    for name, pid in pids.items():
        role = roles.get(name, "entry")
        share = (read_processor_s(pid) - before[name]) / IDLE_S
        usage.setdefault(role, []).append((read_resident_mib(pid), share))
    for role, values in sorted(usage.items()):
        memory = max(value[0] for value in values)
        share = sum(value[1] for value in values) / len(values)
        lines.append(f"| {role} | {memory:.0f} | {100 * share:.2f} |")
    return lines


def run() -> str:
    """Starts a zone, measures it, and returns the tables in Markdown."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = deployment_module.Deployment(
            pathlib.Path(folder), zones=("hamilton",)
        )
        try:
            deployment.start_system()
            ip, port = deployment.start_engines(
                "hamilton", vms=8, domain_size=8, step_s=0.002, slots=64
            )
            deployment_module.wait_until(
                lambda: len(deployment.get_status()["controls"]) == 3, "up"
            )
            deployment.operate("cluster", "init", "bench")
            deployment.operate(*processes.SERVICE)
            deployment.operate(
                "preset", "apply", "p", "--share", "assistant/hamilton=3"
            )
            deployment.operate("preset", "switch", "p")
            deployment_module.wait_until(
                lambda: deployment.count_serving("assistant") == 3, "serving"
            )
            vm = deployment.vms[0]
            deployment_module.wait_until(lambda: deployment.is_ready(vm), "up")
            idle_usage = measure_idle(deployment)
            groups = next(
                c["groups"]
                for c in deployment.get_status()["controls"]
                if c["groups"]
            )
            head = groups[0]["vms"][0]
            engine = {
                "group": groups[0]["name"],
                "generation": 1,
                "address": f"{ip}:{port + int(head[-3:])}",
            }
            latency = asyncio.run(measure_latency(vm.url, engine))
            pid = deployment.processes["hamilton/vm1/entry"].pid
            cost = measure_processor(vm.url, pid)
            loaded = f"resident after load: {read_resident_mib(pid):.0f} MiB"
        finally:
            deployment.stop()
    return "\n".join([*latency, "", *cost, "", *idle_usage, "", loaded]) + "\n"


if __name__ == "__main__":
    sys.stdout.write(run())
