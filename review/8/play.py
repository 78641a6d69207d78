"""All processes are killed just after a replica has deregistered.

The coordinators' files still name it as ready, so it gets requests again.
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

# Time between two requests, in seconds.
PAUSE_S = 1.2
SLOTS, WORK_S = 6, 0.02
# One in so many answers of the replica that stays is a failure of its own; the
# site's `outage-notice` has a share of 0.14.
ERROR_EVERY = 8
# The old replica leaves so long after a replica of another service has started.
OTHER_START_S = 0.4
KILL_AFTER_S = 0.3
DOWN_S = 1.0
# After the loss of the whole core, machines are in touch after twice ContactMs.
IN_TOUCH_S = 2 * cluster_2.CONTACT_S
JUDGED_S = 16.0


def make_config() -> dict:
    """Returns the manifest: one route to a plain service."""
    route = {
        "Name": "r-notices",
        "Hostname": cluster_2.HOST,
        "PathPrefix": "/puxa403/",
        "Kind": "idempotent",
        "TimeoutMs": 2000,
        "TargetLatencyMs": 500,
        "Priority": 2,
        "Service": "wuno96b",
        "MaxAttempts": 2,
        "AuthExempt": False,
    }
    service = {
        "Name": "wuno96b",
        "HealthPath": "/health",
        "MaxConnections": 314,
        "Protocol": "h1",
        "Tls": False,
    }
    other = {**service, "Name": "huvo11a"}
    return cluster_2.make_config(7, [route], [service, other])


async def play(cluster: cluster_2.Cluster, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    fronts = ["front-hamilton-1", "front-te-awamutu-1"]
    cluster.add_cores()
    for name, zone in zip(fronts, cluster_2.ZONES, strict=False):
        cluster.add_node(name, "gateway", zone)
    for name in list(cluster.nodes):
        cluster.start_node(name)
    desk = {"slots": SLOTS, "work_s": WORK_S, "leave_s": 30.0}
    cluster.add_replica("i-old", "wuno96b", "hamilton", **desk)
    cluster.add_replica(
        "i-stays", "wuno96b", "te-awamutu", error_every=ERROR_EVERY, **desk
    )
    await cluster.replace_config(make_config())
    for name in fronts:
        await cluster.wait_ready(name, 20.0)
    await asyncio.sleep(12.0)

    is_over = False
    results: list[dict] = []

    async def send(pause_s: float) -> None:
        # The consumers are in the zone of the replica that stays.
        result = await cluster.request(
            fronts[1], "/puxa403/2f", method="GET", budget_s=2.0
        )
        results.append(result)
        await asyncio.sleep(pause_s)

    def count_runs() -> int:
        runs = cluster.read_runs("i-stays")
        return sum(line["what"] == "runs" for line in runs)

    # Its next failure is then some requests away.
    while not count_runs() or count_runs() % ERROR_EVERY:
        await send(0.05)

    async def consume() -> None:
        while not is_over:
            await send(PAUSE_S)

    consumer = asyncio.ensure_future(consume())
    cluster.add_replica("i-other", "huvo11a", "hamilton", **desk)
    await cluster.wait_for(
        "the other replica is known",
        lambda: any(
            cluster.count_log(name, b'"server":"i-other"')
            for name in cluster.nodes
        ),
        5.0,
    )
    await asyncio.sleep(OTHER_START_S)
    cluster.processes["i-old"].send_signal(signal.SIGUSR1)

    def find_ack() -> float:
        return next(
            (
                line["t"]
                for line in cluster.read_runs("i-old")
                if line["what"] == "deregistered" and line["acknowledged"]
            ),
            0.0,
        )

    await cluster.wait_for("the acknowledgement", find_ack, 3.0)
    acked_at = find_ack()
    judged_from = acked_at + cluster_2.DRAIN_S
    if has_trouble:
        await asyncio.sleep(max(0.0, acked_at + KILL_AFTER_S - time.time()))
        for name in cluster.nodes:
            cluster.kill(name)
        await asyncio.sleep(DOWN_S)
        for name in cluster.nodes:
            cluster.start_node(name)
        judged_from = max(judged_from, time.time() + IN_TOUCH_S)
    await asyncio.sleep(judged_from + JUDGED_S - time.time())
    is_over = True
    await consumer

    sent = {r["attempt"]: r["sent"] for r in results}
    late = [
        line
        for line in cluster.read_runs("i-old")
        if line["what"] == "runs"
        and line["t"] > judged_from
        and sent.get(line["attempt"], 0.0) > judged_from
    ]
    cluster.note(
        "judged",
        acked_at=acked_at,
        judged_from=judged_from,
        late=len(late),
        requests=len(results),
        served=sum(r["status"] == 200 for r in results),
    )
    sys.stdout.write(
        f"{len(late)} requests ran at the replica that had deregistered, sent"
        f" {judged_from - acked_at:.1f} s and more after the acknowledgement\n"
    )
    return bool(late)


if __name__ == "__main__":
    cluster_2.main(HERE, play)
