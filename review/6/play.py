"""Reports of a service that no manifest names end the replicas at an address.

An agent beside each replica registers under an id and a service of its own,
with the address of the replica that it watches. No request is served.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import cluster_2  # noqa: E402

# Traffic starts so long after the machines do.
TRAFFIC_AFTER_S = 12.0
TRAFFIC_S = 20.0


def make_config() -> dict:
    """Returns the manifest: one route to a plain service."""
    route = {
        "Name": "r-notices",
        "Hostname": cluster_2.HOST,
        "PathPrefix": "/puxa403/",
        "Kind": "idempotent",
        "TimeoutMs": 1000,
        "TargetLatencyMs": 125,
        "Priority": 2,
        "Service": "wuno96b",
        "MaxAttempts": 2,
        "AuthExempt": False,
    }
    service = {
        "Name": "wuno96b",
        "HealthPath": "/health",
        "MaxConnections": 110,
        "Protocol": "h1",
        "Tls": False,
    }
    return cluster_2.make_config(7, [route], [service])


async def report_forever(
    cluster: cluster_2.Cluster, number: int, replica: dict
) -> None:
    """Sends the reports of the agent beside one replica."""
    controls = cluster.list_controls()
    sequence = 0
    while True:
        sequence += 1
        body = {
            "Service": "audit-agent",
            "Address": replica["address"],
            "Zone": replica["zone"],
            "Version": "a1",
            "Slots": 1,
            "State": "ready",
            "ColdLeftMs": 0,
            "Sequence": sequence,
        }
        status = await cluster_2.replica_post(
            controls[number % len(controls)],
            f"/instances/audit-{number}/heartbeat",
            body,
        )
        cluster.note("agent's report", agent=number, status=status)
        await asyncio.sleep(cluster_2.HEARTBEAT_S)


async def play(cluster: cluster_2.Cluster, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    fronts = ["front-hamilton-1", "front-te-awamutu-1"]
    cluster.add_cores()
    for name, zone in zip(fronts, cluster_2.ZONES, strict=False):
        cluster.add_node(name, "gateway", zone)
    started_at = time.monotonic()
    for name in list(cluster.nodes):
        cluster.start_node(name)
    for number, zone in enumerate(cluster_2.ZONES):
        cluster.add_replica(
            f"i-desk-{number}", "wuno96b", zone, slots=6, work_s=0.02
        )
    await cluster.replace_config(make_config())
    for name in fronts:
        await cluster.wait_ready(name, 20.0)
    await asyncio.sleep(3.0)
    agents = []
    if has_trouble:
        agents = [
            asyncio.ensure_future(report_forever(cluster, number, replica))
            for number, replica in enumerate(cluster.replicas.values())
        ]
    await asyncio.sleep(started_at + TRAFFIC_AFTER_S - time.monotonic())
    tasks = []
    ends = time.monotonic() + TRAFFIC_S
    while time.monotonic() < ends:
        tasks += [
            asyncio.ensure_future(
                cluster.request(
                    front, "/puxa403/2f", method="GET", budget_s=1.0
                )
            )
            for front in fronts
        ]
        await asyncio.sleep(0.1)
    results = await asyncio.gather(*tasks)
    for agent in agents:
        agent.cancel()
    served = sum(r["status"] == 200 for r in results)
    ends_by_status: dict[str, int] = {}
    for result in results:
        key = f"{result['status']} {result['end']}"
        ends_by_status[key] = ends_by_status.get(key, 0) + 1
    cluster.note(
        "judged", requests=len(results), served=served, ends=ends_by_status
    )
    sys.stdout.write(f"{served} of {len(results)} requests served\n")
    return served == 0


if __name__ == "__main__":
    cluster_2.main(HERE, play)
