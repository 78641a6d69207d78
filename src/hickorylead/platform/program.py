"""Starts the roles on the platform."""

from __future__ import annotations

import gc
import sys
from typing import TYPE_CHECKING

from hickorylead import errors
from hickorylead.platform import settings as settings_module
from hickorylead.runtime import reload_signal, sockets

if TYPE_CHECKING:
    import socket

    from hickorylead.runtime import coordinator_settings, gateway_settings
    from hickorylead.telemetry import decisions

ROLES = ("gateway", "coordinator")
# The deploy file sets this port; the settings file has no field for it.
METRICS_PORT = 9417


def run_program(arguments: list[str]) -> int:
    """Runs the role that the arguments name; returns the exit code."""
    if len(arguments) != 1 or arguments[0] not in ROLES:
        sys.stderr.write(f"hickorylead: name one role of {', '.join(ROLES)}\n")
        return errors.SettingsError.exit_code
    reload_signal.hold()
    try:
        settings = settings_module.load_settings(arguments[0])
        listening_socket = None
        if arguments[0] == "gateway":
            # The imports take a second on a small VM. If the socket is already
            # open, callers that connect meanwhile wait; otherwise they would be
            # refused twice.
            listening_socket = sockets.listen(
                settings.listen_ip, settings.caller_port
            )
        _run_role(arguments[0], settings, listening_socket)
    except errors.HickoryleadError as error:
        sys.stderr.write(f"hickorylead: {error}\n")
        return error.exit_code
    except OSError as error:
        sys.stderr.write(f"hickorylead: cannot start: {error}\n")
        return errors.HickoryleadError.exit_code
    return 0


def _run_role(
    role: str,
    settings: settings_module.Settings,
    listening_socket: socket.socket | None,
) -> None:
    import asyncio

    from hickorylead.runtime import clock
    from hickorylead.telemetry import decisions, library_log

    log = decisions.DecisionLog(
        common={"role": role, "zone": settings.zone, "vm": settings.vm},
        clock=clock.read_boottime,
        read_wall_time=clock.read_wall,
    )
    library_log.install(log)
    if role == "gateway":
        asyncio.run(_run_gateway(settings, log, listening_socket))
    else:
        asyncio.run(_run_coordinator(settings, log))


async def _run_gateway(
    settings: settings_module.Settings,
    log: decisions.DecisionLog,
    listening_socket: socket.socket | None,
) -> None:
    from hickorylead.platform import documents, headers
    from hickorylead.runtime import gateway

    _freeze_imports()
    process = gateway.GatewayProcess(
        _make_gateway_settings(settings),
        header_codec=headers.PlatformHeaderCodec(),
        decode_document=documents.DocumentDecoder().decode_compressed,
        reload=lambda: _make_gateway_settings(
            settings_module.load_settings("gateway")
        ),
        log=log,
        listening_socket=listening_socket,
    )
    await process.run()
    reload_signal.release()


async def _run_coordinator(
    settings: settings_module.Settings, log: decisions.DecisionLog
) -> None:
    from hickorylead.platform import control, documents, servers
    from hickorylead.runtime import coordinator

    _freeze_imports()
    process = coordinator.CoordinatorProcess(
        _make_coordinator_settings(settings),
        server_codec=servers.PlatformServerCodec(),
        decode_document=documents.DocumentDecoder().decode_compressed,
        make_app=control.make_app,
        find_lane=control.find_lane,
        reload=lambda: _make_coordinator_settings(
            settings_module.load_settings("coordinator")
        ),
        log=log,
    )
    await process.run()
    reload_signal.release()


def _freeze_imports() -> None:
    """Excludes all imported objects from garbage collection."""
    gc.freeze()
    gc.enable()


def _make_gateway_settings(
    settings: settings_module.Settings,
) -> gateway_settings.Settings:
    from hickorylead.runtime import gateway_settings

    return gateway_settings.Settings(
        vm=settings.vm,
        zone=settings.zone,
        ip=settings.ip,
        bind_ip=settings.bind_ip,
        memory_mb=settings.memory_mb,
        max_descriptors=settings.max_descriptors,
        caller_port=settings.caller_port,
        ready_port=int(settings.ready_address.rpartition(":")[2]),
        peer_port=settings.peer_port,
        relay_port=settings.relay_port,
        seeds=settings.seeds,
        metrics_port=METRICS_PORT,
        grace_s=settings.grace_s,
        retry_limits=settings.retry_limits,
    )


def _make_coordinator_settings(
    settings: settings_module.Settings,
) -> coordinator_settings.Settings:
    from hickorylead.runtime import coordinator_settings

    return coordinator_settings.Settings(
        vm=settings.vm,
        zone=settings.zone,
        zones=settings.zones,
        ip=settings.ip,
        bind_ip=settings.bind_ip,
        memory_mb=settings.memory_mb,
        max_descriptors=settings.max_descriptors,
        control_port=settings.control_port,
        peer_port=settings.peer_port,
        seeds=settings.seeds,
        metrics_port=METRICS_PORT,
        may_bootstrap=settings.is_first_start,
        data_folder=settings.data_folder,
        heartbeat_s=settings.heartbeat_s,
        max_lost_disks=settings.max_lost_disks,
        catch_up_s=settings.catch_up_s,
        grace_s=settings.grace_s,
    )
