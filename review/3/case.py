"""Large manifests that are in progress together."""

from __future__ import annotations

import concurrent.futures
import os
import pathlib
import random
import string
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

START_LIMIT_S = 25.0
# Orders of the operator that are in progress at once; versions increase in
# uneven steps.
VERSIONS = (10, 13, 14, 18, 21, 22, 26, 29)
ORDER_COUNT = len(VERSIONS)
KEYS_PER_TENANT = 15000
# The largest body of an order, `body_bytes` of the site file.
MAX_BODY_BYTES = 4194304
# A call with a large body waits this long for its response, in seconds.
LARGE_CALL_TIMEOUT_S = 4.0
# How long one order is sent again while it gets no clear response, in seconds.
ORDER_LIMIT_S = 12.0
READ_LIMIT_S = 40.0


def make_manifest(version: int, key_count: int) -> dict[str, Any]:
    """Returns a valid manifest whose ten tenants have some keys each."""
    rng = random.Random(version)
    alphabet = string.ascii_lowercase + string.digits
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "r-1",
                "Hostname": "site.example",
                "PathPrefix": "/a/",
                "Kind": "idempotent",
                "TimeoutMs": 800,
                "TargetLatencyMs": 300,
                "Priority": 2,
                "Service": "plain",
                "MaxAttempts": 2,
                "AuthExempt": False,
            }
        ],
        "Services": [
            {
                "Name": "plain",
                "HealthPath": "/health",
                "MaxConnections": 52,
                "Protocol": "h1",
                "Tls": False,
            }
        ],
        "Limits": {},
        "Tenants": [
            {
                "Name": f"tenant-{number}",
                "ApiKeys": [
                    "".join(rng.choices(alphabet, k=20))
                    for _ in range(key_count)
                ],
                "Priority": 1,
            }
            for number in range(10)
        ],
    }


def run(deployment: harness.Deployment, record: harness.Record) -> int:
    """Plays the case; returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    core = [
        deployment.add(f"core-{number}", "coordinator", zone)
        for number, zone in enumerate(harness.ZONES, start=1)
    ]
    seeds = [machine.ip for machine in core]
    for machine in core:
        machine.write_settings(seeds, bootstrap=True)
        machine.start()
    if not harness.send_manifest(core, make_manifest(1, 2), START_LIMIT_S):
        record.write("the first manifest was not acknowledged: cannot run")
        return 2
    record.write("version 1 acknowledged")
    time.sleep(harness.CATCH_UP_S)
    manifests = [
        make_manifest(version, KEYS_PER_TENANT) for version in VERSIONS
    ]
    size = max(harness.measure_body(manifest) for manifest in manifests)
    record.write(f"the largest order has {size} bytes")
    if size > MAX_BODY_BYTES:
        return 2
    workers = ORDER_COUNT if has_trouble else 1
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        results = list(
            pool.map(
                lambda number: harness.send_manifest(
                    core[number % 3 :] + core[: number % 3],
                    manifests[number],
                    ORDER_LIMIT_S,
                    timeout_s=LARGE_CALL_TIMEOUT_S,
                    record=record,
                ),
                range(ORDER_COUNT),
            )
        )
    acknowledged = [
        manifest["Version"]
        for manifest, is_acked in zip(manifests, results, strict=True)
        if is_acked
    ]
    record.write(f"{workers} at once; acknowledged: {acknowledged}")
    newest = max([1, *acknowledged])
    time.sleep(harness.CONTACT_S)
    began_at = time.monotonic()
    version = harness.read_manifest(core, READ_LIMIT_S, record)
    waited_s = time.monotonic() - began_at
    record.write(f"read back: version {version} after {waited_s:.1f} s")
    for machine in core:
        status, body = harness.call(machine.ip, "GET", "/config/read")
        record.write(f"  {machine.name}: {status} {body[:60]!r}")
        assert machine.process is not None
        if machine.process.poll() is not None:
            record.write(f"  {machine.name} ended by itself")
    # CONFIG: read back at the end, the manifest is older than the newest
    # acknowledged version, or does not come.
    return 1 if version is None or version < newest else 0


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, run))
