"""Starts a complete deployment of real processes on loopback addresses.

Used by the demonstration, the tests and the benchmarks; the product itself
starts no processes. Needs only the standard library.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

ZONES = ("hamilton", "te-awamutu", "matamata")
VMS_PER_ZONE = 3
OPERATOR_TOKEN = "operator-token-1"
TOKENS = {"kahikatea": "token-kahikatea", "olomcso": "token-olomcso"}
POLL_S = 0.05


@dataclasses.dataclass
class Vm:
    """One entry VM with its ports."""

    zone: str
    name: str
    ip: str
    caller_port: int
    entry_peer_port: int
    control_peer_port: int
    control_http_port: int
    has_disk: bool

    @property
    def url(self) -> str:
        """URL of the entry."""
        return f"http://{self.ip}:{self.caller_port}"


@dataclasses.dataclass
class Response:
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def load(self) -> Any:
        """Returns the body as JSON."""
        return json.loads(self.body)


def find_port(ip: str) -> int:
    """Returns a port that the operating system reports as free."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def call(
    method: str,
    url: str,
    *,
    token: str = "",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 15.0,
) -> Response:
    """Returns the response to an HTTP request, whatever its status."""
    request = urllib.request.Request(url, data=body, method=method)
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return Response(
                response.status, _lower(response.headers), response.read()
            )
    except urllib.error.HTTPError as error:
        return Response(error.code, _lower(error.headers), error.read())


def _lower(headers: Any) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}


def wait_until(check: Any, what: str, timeout_s: float = 30.0) -> Any:
    """Polls until a check returns a true value, and returns that value."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError, ValueError):
            found = check()
            if found:
                return found
        time.sleep(POLL_S)
    raise TimeoutError(f"{what}: not within {timeout_s:g} s")


class Deployment:
    """Starts and stops the processes of one deployment, each by its id."""

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        zones: tuple[str, ...] = ZONES,
        vms_per_zone: int = VMS_PER_ZONE,
        claim_skew_s: float = 1.0,
    ) -> None:
        """Chooses addresses and ports without starting any process.

        Args:
            folder: Folder for logs and the data folders of the processes.
            zones: Availability zones.
            vms_per_zone: Entry VMs in each zone.
            claim_skew_s: Clock skew that claims allow for; all processes
                here share one clock.
        """
        self.folder = folder
        self.claim_skew_s = claim_skew_s
        self.vms = [
            self._make_vm(zone, z + 1, v + 1)
            for z, zone in enumerate(zones)
            for v in range(vms_per_zone)
        ]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        self.controls = ",".join(
            f"{vm.zone}/{vm.name}={vm.ip}:{vm.control_peer_port}"
            for vm in self.vms
        )

    @staticmethod
    def _make_vm(zone: str, zone_number: int, number: int) -> Vm:
        ip = f"127.0.{zone_number}.{number}"
        ports: set[int] = set()
        while len(ports) < 4:
            ports.add(find_port(ip))
        return Vm(zone, f"vm{number}", ip, *ports, has_disk=number == 1)

    # Processes.

    def start(self, name: str, arguments: list[str], **variables: str) -> None:
        """Starts a process; its output goes to a log file with its name."""
        self._commands[name] = (arguments, variables)
        self.restart(name)

    def restart(self, name: str) -> None:
        """Restarts a process that has ended."""
        arguments, variables = self._commands[name]
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{name.replace('/', '-')}.log"
        with open(path, "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **variables},
            )

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """Terminates all processes; kills those that still run 5 s later."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.terminate()
        end = time.monotonic() + 5
        for process in self.processes.values():
            try:
                process.wait(timeout=max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # Entries, control processes and simulated backends.

    def start_entry(self, vm: Vm, **variables: str) -> None:
        """Starts the entry of a VM."""
        self.start(
            f"{vm.zone}/{vm.name}/entry",
            ["hickorylead", "entry"],
            **self._make_settings(vm, vm.entry_peer_port),
            HICKORYLEAD_CALLER_PORT=str(vm.caller_port),
            HICKORYLEAD_TOKENS=",".join(
                f"{token}={workspace}" for workspace, token in TOKENS.items()
            ),
            HICKORYLEAD_OPERATOR_TOKEN=OPERATOR_TOKEN,
            **variables,
        )

    def start_control(self, vm: Vm, **variables: str) -> None:
        """Starts the control process of a VM."""
        if vm.has_disk:
            variables["HICKORYLEAD_DATA_FOLDER"] = str(self.get_data_folder(vm))
        self.start(
            f"{vm.zone}/{vm.name}/control",
            ["hickorylead", "control"],
            **self._make_settings(vm, vm.control_peer_port),
            HICKORYLEAD_HTTP_PORT=str(vm.control_http_port),
            HICKORYLEAD_CLOCK_SKEW_S=str(self.claim_skew_s),
            **variables,
        )

    def get_data_folder(self, vm: Vm) -> pathlib.Path:
        """Returns the data folder of a VM."""
        return self.folder / "data" / f"{vm.zone}-{vm.name}"

    def _make_settings(self, vm: Vm, peer_port: int) -> dict[str, str]:
        return {
            "HICKORYLEAD_VM": vm.name,
            "HICKORYLEAD_ZONE": vm.zone,
            "HICKORYLEAD_ADDRESS": vm.ip,
            "HICKORYLEAD_PEER_PORT": str(peer_port),
            "HICKORYLEAD_CONTROLS": self.controls,
        }

    def start_system(self) -> None:
        """Starts the entries and control processes of all VMs."""
        for vm in self.vms:
            self.start_control(vm)
            self.start_entry(vm)

    def list_zone(self, zone: str) -> list[Vm]:
        """Returns the VMs of a zone."""
        return [vm for vm in self.vms if vm.zone == zone]

    @property
    def zones(self) -> list[str]:
        """The zones, in order."""
        return list(dict.fromkeys(vm.zone for vm in self.vms))

    def start_weights(self, loads_per_s: float = 200.0) -> str:
        """Starts the weight store and returns its URL."""
        ip = "127.0.100.1"
        port = find_port(ip)
        self.start(
            "weights",
            ["hickorylead_standins", "weights", "--address", ip]
            + ["--port", str(port), "--loads-per-s", str(loads_per_s)],
        )
        return f"http://{ip}:{port}"

    def start_engines(
        self,
        zone: str,
        vms: int,
        domain_size: int,
        *,
        weights_url: str = "",
        step_s: float = 0.005,
        slots: int = 8,
        checks_fence: bool = False,
    ) -> tuple[str, int]:
        """Starts the backend servers of a zone; returns IP and first port."""
        number = self.zones.index(zone) + 1
        ip = f"127.0.{100 + number}.1"
        port = 20_000
        while not self._are_ports_free(ip, port, vms):
            port += 1000
        entries = ",".join(vm.url for vm in self.list_zone(zone))
        arguments = [
            "hickorylead_standins",
            "engines",
            *("--zone", zone, "--address", ip, "--port", str(port)),
            *("--vms", str(vms), "--domain-size", str(domain_size)),
            *("--entries", entries, "--step-s", str(step_s)),
            *("--slots", str(slots), "--weights-url", weights_url),
        ]
        if checks_fence:
            arguments.append("--checks-fence")
        self.start(f"{zone}/engines", arguments)
        return ip, port

    @staticmethod
    def _are_ports_free(ip: str, port: int, count: int) -> bool:
        for number in range(port, port + count):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ip, number))
                except OSError:
                    return False
        return True

    def start_plain(self, zone: str, service: str) -> str:
        """Starts a plain service in a zone and returns its URL."""
        ip = f"127.0.{110 + self.zones.index(zone)}.1"
        port = find_port(ip)
        entries = ",".join(vm.url for vm in self.list_zone(zone))
        self.start(
            f"{zone}/{service}",
            ["hickorylead_standins", "plain", "--service", service]
            + ["--zone", zone, "--vm", f"{zone}-{service}", "--address", ip]
            + ["--port", str(port), "--entries", entries],
        )
        return f"http://{ip}:{port}"

    # Operator commands and status queries.

    def operate(self, *arguments: str, vm: Vm | None = None) -> str:
        """Runs an operator command and returns its output.

        Raises:
            RuntimeError: The command failed; the message has its exit code
                and error output.
        """
        code, output, error = self.try_operate(*arguments, vm=vm)
        if code:
            raise RuntimeError(f"exit code {code}: {error.strip()}")
        return output

    def try_operate(
        self, *arguments: str, vm: Vm | None = None
    ) -> tuple[int, str, str]:
        """Runs an operator command; returns its exit code and outputs."""
        completed = subprocess.run(
            [sys.executable, "-m", "hickorylead", *arguments],
            capture_output=True,
            text=True,
            check=False,
            env={
                **os.environ,
                "HICKORYLEAD_ENTRY": (vm or self.vms[0]).url,
                "HICKORYLEAD_OPERATOR_TOKEN": OPERATOR_TOKEN,
            },
        )
        return completed.returncode, completed.stdout, completed.stderr

    def get_status(self, vm: Vm | None = None) -> Any:
        """Returns the status that an entry reports."""
        url = f"{(vm or self.vms[0]).url}/admin/status"
        return call("GET", url, token=OPERATOR_TOKEN).load()

    def count_serving(self, service: str, vm: Vm | None = None) -> int:
        """Returns the number of serving replicas of a service in all zones."""
        return sum(
            row["serving"]
            for control in self.get_status(vm)["controls"]
            for row in control["services"]
            if row["service"] == service
        )

    def is_ready(self, vm: Vm) -> bool:
        """Returns whether an entry is ready for callers."""
        return call("GET", f"{vm.url}/readyz").status == 200
