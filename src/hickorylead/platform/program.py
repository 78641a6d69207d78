"""Starts the roles on the platform."""

from __future__ import annotations

import gc
import sys
from typing import TYPE_CHECKING

from hickorylead import errors
from hickorylead.platform import settings as settings_module
from hickorylead.runtime import sockets

if TYPE_CHECKING:
    import socket

    from hickorylead.runtime import coordinator, gateway
    from hickorylead.telemetry import decisions

ROLES = ("gateway", "coordinator")
# The deploy file names it; the settings file does not.
METRICS_PORT = 9417


def run_program(arguments: list[str]) -> int:
    """Runs the role that the arguments name; returns the exit code."""
    if len(arguments) != 1 or arguments[0] not in ROLES:
        sys.stderr.write(f"hickorylead: name one role of {', '.join(ROLES)}\n")
        return errors.SettingsError.exit_code
    try:
        found = settings_module.load_settings(arguments[0])
        opened = None
        if arguments[0] == "gateway":
            # The imports take a second of a small VM's time. A caller that
            # comes meanwhile waits, instead of being turned away twice.
            opened = sockets.listen(found.own_ip, found.caller_port)
        _run_role(arguments[0], found, opened)
    except errors.HickoryleadError as error:
        sys.stderr.write(f"hickorylead: {error}\n")
        return error.exit_code
    except OSError as error:
        sys.stderr.write(f"hickorylead: cannot start: {error}\n")
        return errors.HickoryleadError.exit_code
    return 0


def _run_role(
    role: str,
    found: settings_module.Settings,
    opened: socket.socket | None,
) -> None:
    import asyncio

    from hickorylead.runtime import clock
    from hickorylead.telemetry import decisions

    log = decisions.DecisionLog(
        common={"role": role, "zone": found.zone, "vm": found.vm},
        clock=clock.read_boottime,
        wall=clock.read_wall,
    )
    if role == "gateway":
        asyncio.run(_run_gateway(found, log, opened))
    else:
        asyncio.run(_run_coordinator(found, log))


async def _run_gateway(
    found: settings_module.Settings,
    log: decisions.DecisionLog,
    opened: socket.socket | None,
) -> None:
    from hickorylead.platform import documents, headers
    from hickorylead.runtime import gateway

    _keep_imports()
    shell = gateway.GatewayProcess(
        _make_gateway_settings(found),
        header_codec=headers.PlatformHeaderCodec(),
        read_document=documents.read_packed,
        reload=lambda: _make_gateway_settings(
            settings_module.load_settings("gateway")
        ),
        log=log,
        listening_socket=opened,
    )
    await shell.run()


async def _run_coordinator(
    found: settings_module.Settings, log: decisions.DecisionLog
) -> None:
    from hickorylead.platform import control, documents, servers
    from hickorylead.runtime import coordinator

    _keep_imports()
    shell = coordinator.CoordinatorProcess(
        _make_coordinator_settings(found),
        server_codec=servers.PlatformServerCodec(),
        read_document=documents.read_packed,
        make_app=control.make_app,
        reload=lambda: _make_coordinator_settings(
            settings_module.load_settings("coordinator")
        ),
        log=log,
    )
    await shell.run()


def _keep_imports() -> None:
    """Has the garbage collector leave alone what was imported until now."""
    gc.freeze()
    gc.enable()


def _make_gateway_settings(
    found: settings_module.Settings,
) -> gateway.Settings:
    from hickorylead.runtime import gateway

    return gateway.Settings(
        vm=found.vm,
        zone=found.zone,
        ip=found.ip,
        bind_ip=found.bind_ip,
        caller_port=found.caller_port,
        ready_port=int(found.ready_address.rpartition(":")[2]),
        peer_port=found.peer_port,
        seeds=found.seeds,
        metrics_port=METRICS_PORT,
        grace_s=found.grace_s,
        retry_limits=found.retries,
    )


def _make_coordinator_settings(
    found: settings_module.Settings,
) -> coordinator.Settings:
    from hickorylead.runtime import coordinator

    return coordinator.Settings(
        vm=found.vm,
        zone=found.zone,
        zones=found.zones,
        ip=found.ip,
        bind_ip=found.bind_ip,
        control_port=found.control_port,
        peer_port=found.peer_port,
        seeds=found.seeds,
        metrics_port=METRICS_PORT,
        may_bootstrap=found.is_first_start,
        data_folder=found.data_folder,
        heartbeat_s=found.heartbeat_s,
        max_lost_disks=found.lost_disks,
    )
