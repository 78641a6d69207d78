"""The settings of the long-running roles."""

from __future__ import annotations

from hickorylead.intake import limits
from hickorylead.settings import options

_COMMON = (
    options.Option("vm", "name", "Name of this VM, unique in its zone."),
    options.Option("zone", "name", "Availability zone of this VM."),
    options.Option("address", "ip", "IP number of this VM, for all its ports."),
    options.Option(
        "peer_port",
        "int",
        "Port for the other processes of the system.",
        unit="port",
        low=1,
        high=65535,
    ),
    options.Option(
        "controls",
        "controls",
        "Every control process of every zone, as zone/vm=ip:port,... The list"
        " must be the same on all VMs.",
    ),
    options.Option(
        "log_level",
        "name",
        "Lowest level logged: debug, info, warning or error.",
        default="info",
    ),
    options.Option(
        "trace_endpoint",
        "text",
        "OTLP/HTTP endpoint for traces, as a URL with an IP number.",
        default="",
    ),
    options.Option(
        "memory_mb",
        "int",
        "Memory that the process may use.",
        default=str(limits.DEFAULT_MEMORY_MB),
        unit="MiB",
        low=64,
    ),
    options.Option(
        "max_descriptors",
        "int",
        "Descriptors that the process may have open; also limited by the"
        " operating system.",
        default=str(limits.DEFAULT_MAX_DESCRIPTORS),
        unit="descriptors",
        low=64,
    ),
)

ENTRY_OPTIONS = (
    *_COMMON,
    options.Option(
        "caller_port",
        "int",
        "Port for callers, backend servers and operators.",
        unit="port",
        low=1,
        high=65535,
    ),
    options.Option(
        "tokens",
        "tokens",
        "Bearer tokens of callers, as token=workspace,...",
    ),
    options.Option(
        "operator_token",
        "text",
        "Bearer token of operators.",
    ),
    options.Option(
        "backend_token",
        "text",
        "Bearer token of backend servers; empty if they need none.",
        default="",
    ),
    options.Option(
        "max_body_bytes",
        "int",
        "Largest request body.",
        default="1048576",
        unit="bytes",
        low=1024,
        high=64 * 1024 * 1024,
    ),
    options.Option(
        "default_deadline_s",
        "float",
        "Time within which a response must start, unless the caller sets"
        " another one (Prefer: wait).",
        default="60",
        unit="seconds",
        low=0.1,
        high=3600,
    ),
    options.Option(
        "drain_s",
        "float",
        "Longest time to wait for requests in flight before the process stops.",
        default="600",
        unit="seconds",
        low=0,
        high=86400,
    ),
)

CONTROL_OPTIONS = (
    *_COMMON,
    options.Option(
        "http_port",
        "int",
        "Port for health and metrics.",
        unit="port",
        low=1,
        high=65535,
    ),
    options.Option(
        "data_folder",
        "text",
        "Folder on a disk; with one, this process is a voter of the"
        " configuration log.",
        default="",
    ),
    options.Option(
        "spares",
        "int",
        "Free VMs to keep in each fabric domain if there is a choice of"
        " domains; a required group is formed even if fewer remain.",
        default="1",
        unit="VMs",
        high=64,
    ),
    options.Option(
        "hold_broken_s",
        "float",
        "How long a broken group may keep its remaining VMs while no spare is"
        " free.",
        default="30",
        unit="seconds",
        high=86400,
    ),
    options.Option(
        "max_loads",
        "int",
        "Most groups of the zone that load weights at the same time.",
        default="8",
        unit="groups",
        low=1,
        high=1000,
    ),
    options.Option(
        "clock_skew_s",
        "float",
        "Largest difference between the clocks of any two VMs or callers. For"
        " this long after its start a process holds no claims.",
        default="300",
        unit="seconds",
        high=3600,
    ),
)
