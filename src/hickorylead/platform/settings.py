"""Decodes the settings file: lines of `a.b=value`, lists with commas."""

from __future__ import annotations

import os
import pathlib
from typing import TYPE_CHECKING, TypeVar

import attrs

from hickorylead import errors
from hickorylead.admission import budget
from hickorylead.intake import limits

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_T = TypeVar("_T")

PATH_VARIABLE = "HICKORYLEAD_NODE_FILE"
# Behind address translation, other nodes reach a process at an address that is
# not its own. This variable holds the process's own address, on which it
# listens and from which it connects.
BIND_VARIABLE = "HICKORYLEAD_BIND_IP"


@attrs.frozen
class Settings:
    """Settings of a process, under the product's names.

    Attributes:
        vm: Name of the VM.
        ip: Its IP address, as others reach it.
        zone: Its availability zone.
        zones: All availability zones.
        caller_port: Port for callers; 0 on a coordinator.
        ready_address: `ip:port` of the readiness check; empty if none.
        control_port: Port for backend servers and operators; 0 on a gateway.
        peer_port: Port for the other processes of the system.
        seeds: Peer addresses of a few coordinators.
        is_first_start: Whether the cluster starts for the first time.
        data_folder: Data folder on a disk; empty if there is none.
        heartbeat_s: Interval of backend servers' heartbeats, in seconds.
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        max_lost_disks: Disks that may be lost at the same time.
        catch_up_s: Time after which a process that has started is relied upon,
            in seconds.
        retry_limits: Limits of the retries of all gateways together.
        bind_ip: IP address that the process binds; empty if it is `ip`.
        relay_port: Port for relayed requests of other gateways; 0 if there is
            no free port.
        memory_mb: Memory that the process may use, in MiB.
        max_descriptors: Descriptors that it may have open.
    """

    vm: str
    ip: str
    zone: str
    zones: tuple[str, ...]
    caller_port: int
    ready_address: str
    control_port: int
    peer_port: int
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    heartbeat_s: float
    grace_s: float
    max_lost_disks: int
    catch_up_s: float
    retry_limits: budget.RetryLimits
    bind_ip: str = ""
    relay_port: int = 0
    memory_mb: int = limits.DEFAULT_MEMORY_MB
    max_descriptors: int = limits.DEFAULT_MAX_DESCRIPTORS

    @property
    def listen_ip(self) -> str:
        """The IP address on which the process listens."""
        return self.bind_ip or self.ip


def read_settings(environment: Mapping[str, str], *, role: str) -> Settings:
    """Returns the settings from the file that the environment names.

    Args:
        environment: Environment variables.
        role: `gateway` or `coordinator`; their required fields differ.

    Raises:
        errors.SettingsError: Fields are missing or wrong. The message names
            all of them.
    """
    path = environment.get(PATH_VARIABLE, "")
    if not path:
        raise errors.SettingsError(f"{PATH_VARIABLE} is not set")
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error
    settings = parse_settings(text, role=role)
    return attrs.evolve(settings, bind_ip=environment.get(BIND_VARIABLE, ""))


def load_settings(role: str) -> Settings:
    """Returns the settings from the file that `os.environ` names."""
    return read_settings(os.environ, role=role)


def parse_settings(text: str, *, role: str) -> Settings:
    """Returns the settings in a text; unknown fields are ignored.

    Raises:
        errors.SettingsError: Fields are missing or wrong. The message names
            all of them.
    """
    reader = _Reader(text)
    is_gateway = role == "gateway"
    ports = reader.read("InternalPorts", _read_ports, (0, 0))
    no_seeds: tuple[str, ...] = ()
    settings = Settings(
        vm=reader.read("NodeName", _read_text, ""),
        ip=reader.read("Ip", _read_text, ""),
        zone=reader.read("Zone", _read_text, ""),
        zones=reader.list_keys("Zones."),
        caller_port=(
            reader.read("Listen.Front", _read_port, 0) if is_gateway else 0
        ),
        ready_address=(
            reader.read("Listen.ReadinessAddress", _read_text, "")
            if is_gateway
            else ""
        ),
        control_port=(
            0 if is_gateway else reader.read("Listen.Control", _read_port, 0)
        ),
        peer_port=ports[0],
        relay_port=ports[0] + 1 if is_gateway and ports[0] < ports[1] else 0,
        seeds=tuple(
            f"{address.rpartition(':')[0]}:{ports[0]}"
            for address in reader.read("Seeds", _read_list, no_seeds)
        ),
        is_first_start=reader.read("Bootstrap", _read_flag, False),
        data_folder=(
            "" if is_gateway else reader.read("DataDir", _read_text, "")
        ),
        heartbeat_s=reader.read("HeartbeatMs", float, 1000.0) / 1000.0,
        grace_s=reader.read("Bounds.GraceS", float, 8.0, optional=True),
        max_lost_disks=reader.read(
            "FaultTolerance.Machines", int, 1, optional=True
        ),
        catch_up_s=reader.read("Bounds.CatchUpS", float, 4.0, optional=True),
        retry_limits=budget.RetryLimits(
            ratio=reader.read("Bounds.BudgetRatio", float, 0.2, optional=True),
            burst=reader.read(
                "Bounds.BudgetExtra", float, 100.0, optional=True
            ),
        ),
        memory_mb=reader.read(
            "Limits.MemoryMb",
            _read_amount,
            limits.DEFAULT_MEMORY_MB,
            optional=True,
        ),
        max_descriptors=reader.read(
            "Limits.MaxFds",
            _read_amount,
            limits.DEFAULT_MAX_DESCRIPTORS,
            optional=True,
        ),
    )
    if reader.problems:
        raise errors.SettingsError("; ".join(reader.problems))
    return settings


class _Reader:
    def __init__(self, text: str) -> None:
        self.problems: list[str] = []
        self._fields: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            name, equals, value = line.partition("=")
            if not equals:
                self.problems.append(f"line {number} is not NAME=VALUE")
                continue
            self._fields[name.strip()] = value.strip()

    def read(
        self,
        name: str,
        convert: Callable[[str], _T],
        default: _T,
        *,
        optional: bool = False,
    ) -> _T:
        value = self._fields.get(name, "")
        if not value:
            if not optional:
                self.problems.append(f"{name} is missing")
            return default
        try:
            return convert(value)
        except ValueError as error:
            self.problems.append(f"{name}={value!r:.60}: {error}")
            return default

    def list_keys(self, prefix: str) -> tuple[str, ...]:
        return tuple(
            name[len(prefix) :]
            for name in self._fields
            if name.startswith(prefix)
        )


def _read_text(value: str) -> str:
    return value


def _read_port(value: str) -> int:
    port = int(value.rpartition(":")[2])
    if not 0 < port < 65536:
        raise ValueError("not a port")
    return port


def _read_amount(value: str) -> int:
    amount = int(float(value))
    if amount <= 0:
        raise ValueError("not above 0")
    return amount


def _read_ports(value: str) -> tuple[int, int]:
    first, _, last = value.partition(",")
    return _read_port(first), _read_port(last)


def _read_list(value: str) -> tuple[str, ...]:
    addresses = tuple(part.strip() for part in value.split(",") if part)
    for address in addresses:
        _read_port(address)
    return addresses


def _read_flag(value: str) -> bool:
    if value not in ("true", "false"):
        raise ValueError("neither true nor false")
    return value == "true"
