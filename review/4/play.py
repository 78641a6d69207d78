"""A head falls silent and crashes while the other group is full.

Who waits then for a third replica stops the gateway's clock: requests that are
older have no final answer at their route's timeout.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import cluster_2  # noqa: E402

TIMEOUT_S = 6.0
# A stream of 100 events, 45 ms apart, takes 4.5 s and more.
EVENTS, GAP_S = 100, 0.045
SLOTS, QUEUE = 18, 2
SILENT_S = 1.5
MODEL = "daka510000"


def make_config() -> dict:
    """Returns the manifest: one streaming route."""
    route = {
        "Name": "r-drafts",
        "Hostname": cluster_2.HOST,
        "PathPrefix": "/lohu930/",
        "Kind": "streaming",
        "TimeoutMs": int(TIMEOUT_S * 1000),
        "TargetLatencyMs": 2000,
        "GapTargetMs": 1000,
        "Priority": 1,
        "Service": "huvo11a",
        "MaxAttempts": 2,
        "AuthExempt": False,
        "SessionAffinity": True,
        "StreamResume": True,
    }
    models = [
        {
            "Name": MODEL,
            "size": 2,
            "Share": 1.0,
            "pace": 1.0,
            "LoadS": 1.0,
            "WarmS": 0.3,
        }
    ]
    service = {
        "Name": "huvo11a",
        "HealthPath": "/health",
        "MaxConnections": 314,
        "Protocol": "h1",
        "Tls": False,
        "Engine": cluster_2.make_engine(models, SLOTS),
    }
    return cluster_2.make_config(7, [route], [service])


async def play(cluster: cluster_2.Cluster, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    fronts = {
        "hamilton": "front-hamilton-1",
        "te-awamutu": "front-te-awamutu-1",
    }
    cluster.add_cores()
    for zone, name in fronts.items():
        cluster.add_node(name, "gateway", zone)
    for name in list(cluster.nodes):
        cluster.start_node(name)
    for zone in fronts:
        for number in range(2):
            cluster.add_replica(
                f"i-{zone}-{number}",
                "huvo11a",
                zone,
                domain=f"{zone}-d1",
                slots=SLOTS,
                queue=QUEUE,
                events=EVENTS,
                gap_s=GAP_S,
            )
    await cluster.replace_config(make_config())
    for name in fronts.values():
        await cluster.wait_ready(name, 20.0)

    def find_heads() -> dict[str, str]:
        return {
            cluster.replicas[line["replica"]]["zone"]: line["replica"]
            for line in cluster.read_runs()
            if line["what"] == "state" and line["state"] == "open"
        }

    await cluster.wait_for(
        "two open groups", lambda: len(find_heads()) == 2, 30
    )
    # From 10 s on, coordinators know how many gateways there are.
    await asyncio.sleep(13.0)
    heads = find_heads()
    cluster.note("heads", heads=heads)
    results: list[dict] = []
    ends = time.monotonic() + 24.0

    async def send(zone: str) -> dict:
        result = await cluster.request(
            fronts[zone],
            "/lohu930/2f",
            budget_s=8.0,
            fields={
                "Model": MODEL,
                "Token-Count": "100,500",
                "Prompt-Prefix": "5c1e07a2:40,91bd3f06:60",
            },
        )
        results.append(result)
        return result

    async def consume(zone: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while time.monotonic() < ends:
            result = await send(zone)
            await asyncio.sleep(max(0.1, float(result.get("retry_after", 0))))

    # One zone's replica is full; the other one has a few free slots.
    tasks = [
        asyncio.ensure_future(consume("te-awamutu", 0.1 * number))
        for number in range(SLOTS + 4)
    ]
    await asyncio.sleep(3.0)
    tasks += [
        asyncio.ensure_future(consume("hamilton", 0.03 * number))
        for number in range(SLOTS - 1)
    ]
    await asyncio.sleep(2.5)
    if has_trouble:
        victim = heads["hamilton"]
        cluster.note("replica falls silent", name=victim)
        cluster.processes[victim].send_signal(signal.SIGSTOP)
        await asyncio.sleep(SILENT_S)
        cluster.kill(victim)
    await asyncio.gather(*tasks)
    return judge(cluster, results)


def judge(cluster: cluster_2.Cluster, results: list[dict]) -> bool:
    """Returns whether requests have no final answer at their timeout."""
    slack_s = 0.5
    lasting = [r for r in results if r["ended"] - r["sent"] > TIMEOUT_S]
    unanswered = [
        r for r in lasting if r["ended"] - r["sent"] > TIMEOUT_S + slack_s
    ]
    is_broken = len(unanswered) >= 8 and 4 * len(unanswered) > len(lasting)
    ends = {}
    for result in results:
        key = f"{result['status']} {result['end']}"
        ends[key] = ends.get(key, 0) + 1
    cluster.note(
        "judged",
        requests=len(results),
        complete=sum(r["end"] == "complete" for r in results),
        lasting=len(lasting),
        unanswered=len(unanswered),
        ends=ends,
        failed_ticks={
            name: cluster.count_log(name, b'"tick_failed"')
            for name in cluster.nodes
            if name.startswith("front")
        },
    )
    sys.stdout.write(
        f"{len(results)} requests, {len(lasting)} over {TIMEOUT_S} s, of these"
        f" {len(unanswered)} without a final answer {slack_s} s later; {ends}\n"
    )
    return is_broken


if __name__ == "__main__":
    cluster_2.main(HERE, play)
