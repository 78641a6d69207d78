"""The settings of the long-running roles."""

from __future__ import annotations

from hickorylead.settings.options import Option

_COMMON = (
    Option("vm", "name", "Name of this VM, unique in its zone."),
    Option("zone", "name", "Availability zone of this VM."),
    Option("address", "ip", "IP number of this VM, for all its ports."),
    Option(
        "peer_port",
        "int",
        "Port for the other processes of the system.",
        unit="port",
        low=1,
        high=65535,
    ),
    Option(
        "controls",
        "controls",
        "Every control process of every zone, as zone/vm=ip:port,... The list"
        " must be the same on all VMs.",
    ),
    Option(
        "log_level",
        "name",
        "Least level logged: debug, info, warning or error.",
        default="info",
    ),
    Option(
        "trace_endpoint",
        "text",
        "OTLP/HTTP endpoint for traces, as a URL with an IP number.",
        default="",
    ),
)

ENTRY_OPTIONS = (
    *_COMMON,
    Option(
        "caller_port",
        "int",
        "Port for callers, backend servers and operators.",
        unit="port",
        low=1,
        high=65535,
    ),
    Option(
        "tokens",
        "tokens",
        "Bearer tokens of callers, as token=workspace,...",
    ),
    Option(
        "operator_token",
        "text",
        "Bearer token of operators.",
    ),
    Option(
        "backend_token",
        "text",
        "Bearer token of backend servers; empty if they need none.",
        default="",
    ),
    Option(
        "max_body_bytes",
        "int",
        "Largest request body.",
        default="1048576",
        unit="bytes",
        low=1024,
        high=64 * 1024 * 1024,
    ),
    Option(
        "default_deadline_s",
        "float",
        "Time within which an answer must start, unless the caller says"
        " otherwise (Prefer: wait).",
        default="60",
        unit="seconds",
        low=0.1,
        high=3600,
    ),
    Option(
        "drain_s",
        "float",
        "Longest time to wait for requests in flight when stopped.",
        default="600",
        unit="seconds",
        low=0,
        high=86400,
    ),
)

CONTROL_OPTIONS = (
    *_COMMON,
    Option(
        "http_port",
        "int",
        "Port for health and metrics.",
        unit="port",
        low=1,
        high=65535,
    ),
    Option(
        "data_folder",
        "text",
        "Folder on a disk; with one, this process votes on the configuration.",
        default="",
    ),
    Option(
        "spares",
        "int",
        "Free VMs to leave in each fabric domain, where there is a choice of"
        " domains; a wanted group is formed all the same.",
        default="1",
        unit="VMs",
        high=64,
    ),
    Option(
        "hold_broken_s",
        "float",
        "How long a broken group may hold its survivors while no spare is"
        " free.",
        default="30",
        unit="seconds",
        high=86400,
    ),
    Option(
        "max_loads",
        "int",
        "Groups of the zone that may load weights at the same time.",
        default="8",
        unit="groups",
        low=1,
        high=1000,
    ),
    Option(
        "clock_skew_s",
        "float",
        "Largest difference between the clocks of any two VMs or callers. For"
        " this long after its start a process holds no claims.",
        default="300",
        unit="seconds",
        high=3600,
    ),
)
