"""Starts the deployed programs on loopback addresses, for the cases here.

Only the standard library is used. Every machine has a loopback address of its
own; all processes are started with the commands of the deploy file.
"""

from __future__ import annotations

import http.client
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[1]
ZONES = ("zone-a", "zone-b", "zone-c")
FRONT_PORT = 8227
READY_PORT = 8220
CONTROL_PORT = 8229
INTERNAL_PORTS = (7340, 7355)
METRICS_PORT = 9417
HEARTBEAT_MS = 1200
GRACE_S = 8
CATCH_UP_S = 4.0
CONTACT_S = 3.0
# The operator and the replicas wait this long for a response, in seconds.
CALL_TIMEOUT_S = 1.0
# Backoff of the operator after a failure; it doubles, in seconds.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.6

_BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": GRACE_S,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "RevokeStrict": "false",
    "RevokeMs": 5000,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetExtra": 136,
    "RecoveryS": 12,
    "PassMs": 120,
    "RetryAfterS": 0,
    "StallMs": 5000,
    "FencingEnforced": "false",
    "CeilingWindowS": 5,
    "CeilingOverrun": 1.1,
}


class Record:
    """The log of a case, with the seconds since its start."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens `record.txt` in the folder of the case."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line, also to standard output."""
        line = f"{time.monotonic() - self._began_at:7.2f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        sys.stdout.write(line + "\n")
        sys.stdout.flush()


class Network:
    """Loopback addresses that no other process uses."""

    def __init__(self) -> None:
        """Chooses a free block of addresses."""
        self._count = 0
        for _ in range(50):
            self._block = (
                f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
            )
            if _is_free(f"{self._block}.1"):
                return
        raise OSError("no free loopback addresses")

    def allocate(self) -> str:
        """Returns the address of one more machine."""
        self._count += 1
        return f"{self._block}.{self._count}"


def _is_free(ip: str) -> bool:
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, INTERNAL_PORTS[0])
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class Machine:
    """One machine with one program of the deploy file."""

    def __init__(
        self,
        name: str,
        role: str,
        *,
        zone: str,
        ip: str,
        folder: pathlib.Path,
    ) -> None:
        """Makes a machine whose program is not started yet."""
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = ip
        self.folder = folder / name
        self.data_folder = self.folder / "data"
        self.process: subprocess.Popen[bytes] | None = None
        self.data_folder.mkdir(parents=True)

    def write_settings(self, seeds: list[str], *, bootstrap: bool) -> None:
        """Writes the settings file as the pages describe it."""
        is_core = self.role == "coordinator"
        fields: dict[str, Any] = {
            "NodeName": self.name,
            "Role": self.role,
            "MachineClass": "core" if is_core else "front",
            "Serves": "control" if is_core else "front",
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "region-1",
            **{f"Zones.{zone}": "region-1" for zone in ZONES},
            "InternalPorts": ",".join(map(str, INTERNAL_PORTS)),
            "Seeds": ",".join(f"{seed}:{CONTROL_PORT}" for seed in seeds),
            "Bootstrap": "true" if bootstrap else "false",
            "InFaultBudget": "true" if is_core else "false",
            "Discovery": "registration",
            "Entry": "vip",
            "HeartbeatMs": HEARTBEAT_MS,
            "FaultTolerance.Machines": 1,
            "FaultTolerance.Zones": 1,
            "FaultTolerance.Regions": 0,
            **{f"Bounds.{name}": value for name, value in _BOUNDS.items()},
            "ConfigMode": "highest",
        }
        if is_core:
            fields["Listen.Control"] = f"{self.ip}:{CONTROL_PORT}"
            fields["DataDir"] = self.data_folder
        else:
            fields["Listen.Front"] = f"{self.ip}:{FRONT_PORT}"
            fields["Listen.ReadinessAddress"] = f"{self.ip}:{READY_PORT}"
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        (self.folder / "boot.conf").write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Starts the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        with (self.folder / "log.jsonl").open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"][self.role]["run"].split(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "HICKORYLEAD_NODE_FILE": str(self.folder / "boot.conf"),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Ends the program with SIGKILL."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def terminate(self) -> None:
        """Ends the program with SIGTERM, and with SIGKILL after the grace."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def wipe(self) -> None:
        """Empties the data folder."""
        shutil.rmtree(self.data_folder)
        self.data_folder.mkdir()


class Deployment:
    """The machines of a case and their temporary folder."""

    def __init__(self) -> None:
        """Makes a deployment without machines."""
        self.network = Network()
        self.machines: list[Machine] = []
        self.processes: list[subprocess.Popen[bytes]] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)

    def add(self, name: str, role: str, zone: str) -> Machine:
        """Adds a machine at a new address, with an empty disk."""
        machine = Machine(
            name,
            role,
            zone=zone,
            ip=self.network.allocate(),
            folder=self.folder,
        )
        self.machines.append(machine)
        return machine

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for machine in self.machines:
            machine.kill()
        for process in self.processes:
            process.kill()
            process.wait()
        self._temporary.cleanup()


def call(
    ip: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    port: int = CONTROL_PORT,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Makes an HTTP call; returns status and body, status 0 without any."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(
            method,
            path,
            data,
            {"Content-Type": "application/json", **(headers or {})},
        )
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def send_manifest(
    machines: list[Machine],
    manifest: dict[str, Any],
    limit_s: float,
    *,
    timeout_s: float = CALL_TIMEOUT_S,
    record: Record | None = None,
) -> bool:
    """Sends a manifest as the operator does, until it is acknowledged.

    After each failure it goes to the next machine, with increasing backoff.

    Returns:
        Whether it was acknowledged within the limit.
    """
    deadline = time.monotonic() + limit_s
    backoff_s = FIRST_BACKOFF_S
    for machine in itertools.cycle(machines):
        status, _ = call(
            machine.ip,
            "POST",
            "/config/replace",
            manifest,
            timeout_s=timeout_s,
        )
        if record is not None:
            version = manifest["Version"]
            record.write(f"version {version} to {machine.name}: {status}")
        if status == 200:
            return True
        if time.monotonic() + backoff_s > deadline:
            break
        time.sleep(backoff_s)
        backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
    return False


def read_manifest(
    machines: list[Machine], limit_s: float, record: Record | None = None
) -> int | None:
    """Reads the manifest as the operator does, until it comes.

    Returns:
        Its version; None if it does not come within the limit.
    """
    deadline = time.monotonic() + limit_s
    backoff_s = FIRST_BACKOFF_S
    for machine in itertools.cycle(machines):
        status, body = call(machine.ip, "GET", "/config/read")
        if record is not None:
            record.write(f"read at {machine.name}: {status}")
        if status == 200:
            return int(json.loads(body)["Version"])
        if time.monotonic() + backoff_s > deadline:
            break
        time.sleep(backoff_s)
        backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
    return None


def measure_body(body: Any) -> int:
    """Returns the size of a JSON body, in bytes."""
    return len(json.dumps(body).encode())


def run_case(
    folder: pathlib.Path, run: Callable[[Deployment, Record], int]
) -> int:
    """Runs a case and ends all its processes; returns the exit code."""
    # Ends through SystemExit, so that the started processes are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    record = Record(folder)
    deployment = Deployment()
    try:
        code = run(deployment, record)
    except OSError as error:
        record.write(f"cannot run: {error}")
        code = 2
    finally:
        deployment.close()
    record.write(f"exit {code}")
    return code
