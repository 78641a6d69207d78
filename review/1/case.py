"""A planned replacement of a core machine, then the loss of one disk."""

from __future__ import annotations

import os
import pathlib
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

START_LIMIT_S = 25.0
# When the disk is lost after the planned end of the replaced machine, in
# seconds: more than CatchUpS.
LOSS_DELAY_S = 4.5
# How long the manifest is asked for after the loss, in seconds: many times
# CatchUpS + AckMs.
READ_LIMIT_S = 40.0


def make_manifest(version: int) -> dict[str, Any]:
    """Returns a small valid manifest."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "r-1",
                "Hostname": "site.example",
                "PathPrefix": "/a/",
                "Kind": "idempotent",
                "TimeoutMs": 800 + version,
                "TargetLatencyMs": 300,
                "Priority": 2,
                "Service": "plain",
                "MaxAttempts": 2,
                "AuthExempt": True,
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
    }


def run(deployment: harness.Deployment, record: harness.Record) -> int:
    """Plays the case; returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    core = [
        deployment.add(f"core-{number}", "coordinator", zone)
        for number, zone in enumerate(harness.ZONES, start=1)
    ]
    first, second, third = core
    seeds = [machine.ip for machine in core]
    for machine in core:
        machine.write_settings(seeds, bootstrap=True)
        machine.start()
    if not harness.send_manifest(core, make_manifest(7), START_LIMIT_S):
        record.write("the first manifest was not acknowledged: cannot run")
        return 2
    record.write("version 7 acknowledged")
    for machine in core:
        machine.write_settings(seeds, bootstrap=False)
    time.sleep(harness.CATCH_UP_S)
    alive = core
    if has_trouble:
        successor = deployment.add("core-4", "coordinator", first.zone)
        successor.write_settings(seeds, bootstrap=False)
        successor.start()
        record.write(f"{successor.name} added in {successor.zone}, empty disk")
        time.sleep(harness.CATCH_UP_S + 1.0)
        version = harness.read_manifest([successor], 2.0)
        record.write(f"{successor.name} answers a read with version {version}")
        if version != 7:
            return 2
        first.terminate()
        record.write(f"{first.name} removed for good, with SIGTERM")
        alive = [second, third, successor]
        time.sleep(LOSS_DELAY_S)
        version = harness.read_manifest(alive, 2.0)
        record.write(f"a read is answered with version {version}")
        if version != 7:
            return 2
        second.kill()
        second.wipe()
        record.write(f"{second.name} killed, its disk is lost")
        time.sleep(1.0)
        second.start()
        record.write(f"{second.name} started again, empty disk")
        time.sleep(harness.CATCH_UP_S)
    began_at = time.monotonic()
    version = harness.read_manifest(alive, READ_LIMIT_S, record)
    waited_s = time.monotonic() - began_at
    record.write(f"read back: version {version} after {waited_s:.1f} s")
    for machine in alive:
        status, body = harness.call(machine.ip, "GET", "/config/read")
        record.write(f"  {machine.name}: {status} {body[:80]!r}")
    is_acknowledged = harness.send_manifest(
        alive, make_manifest(9), 10.0, record=record
    )
    record.write(f"version 9 acknowledged: {is_acknowledged}")
    for machine in alive:
        assert machine.process is not None
        if machine.process.poll() is not None:
            record.write(f"{machine.name} ended by itself")
    # CONFIG: read back at the end, the manifest is older than the newest
    # acknowledged version, or does not come.
    return 1 if version is None or version < 7 else 0


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, run))
