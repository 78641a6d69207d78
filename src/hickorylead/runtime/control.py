"""The control process: its reducer with peers, disk and orders."""

from __future__ import annotations

import asyncio
import pathlib
import random
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson
from starlette import applications, responses, routing

from hickorylead import errors
from hickorylead.consensus import messages as consensus_messages
from hickorylead.placement import orders, planner
from hickorylead.roles import control as control_role, interface, nodes
from hickorylead.runtime import (
    clock,
    handler_failures,
    intake as intake_module,
    peers as peers_module,
    process,
    server as server_module,
    tasks,
)
from hickorylead.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from starlette import requests

    from hickorylead.storage import folder as folder_module

ORDER_TIMEOUT_S = 1.5


class ControlProcess:
    """Runs one control process."""

    def __init__(self, settings: Mapping[str, Any]) -> None:
        """Makes a control process; `run` starts it.

        Args:
            settings: Validated values of `settings.roles.CONTROL_OPTIONS`.

        Raises:
            errors.DataFolderError: The data folder cannot be used.
            errors.SettingsError: The list of controls does not contain this
                node.
        """
        self.settings = settings
        self.node = nodes.make_node_name(
            settings["zone"], settings["vm"], nodes.CONTROL
        )
        controls = settings["controls"]
        if self.node not in controls:
            raise errors.SettingsError(
                f"--controls (HICKORYLEAD_CONTROLS) does not name"
                f" {settings['zone']}/{settings['vm']}"
            )
        self._folder = _open_folder(settings["data_folder"], self.node)
        self.role = control_role.Control(
            control_role.Identity(
                node=self.node,
                control_nodes=tuple(sorted(controls)),
                incarnation=self._folder.incarnation if self._folder else "",
            ),
            policy=planner.Policy(
                spares=settings["spares"],
                hold_broken_s=settings["hold_broken_s"],
                max_loads=settings["max_loads"],
            ),
            max_skew_s=settings["clock_skew_s"],
            records=self._folder.records if self._folder else [],
            rng=random.Random(f"{self.node} {clock.read_wall()}"),
            now=clock.read_monotonic(),
            wall_time=clock.read_wall(),
        )
        self.log = logs.Log(lambda: self.role.version)
        self._tasks = tasks.TaskSet(self.log)
        self._disk_error: OSError | None = None
        self._stop = asyncio.Event()
        self._peers = peers_module.Peers(
            node=self.node,
            address=f"{settings['address']}:{settings['peer_port']}",
            addresses=controls,
            deliver=self._receive,
            log=self.log,
        )

    async def run(self) -> None:
        """Serves until the process has to stop.

        Raises:
            errors.DataFolderError: A record could not be written.
        """
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        http = server_module.HttpServer(
            self._make_app(),
            self.settings["address"],
            self.settings["http_port"],
            report_failure=handler_failures.make_reporter(self.log),
            intake=intake_module.Intake(
                self.settings["memory_mb"],
                self.settings["max_descriptors"],
                self.log.write,
            ),
        )
        tasks.report_unhandled(self.log)
        await self._peers.start()
        await http.start()
        tasks.stop_on_end(http.task, self._stop)
        self.log.info("started", node=self.node)
        tick_task = asyncio.create_task(self._tick())
        tasks.stop_on_end(tick_task, self._stop)
        await process.wait_for_stop(self._stop)
        tick_task.cancel()
        await http.close()
        await self._peers.close()
        await self._tasks.close()
        await self._session.close()
        if self._folder is not None:
            self._folder.close()
        self.log.info("stopped")
        if tick_task.done() and not tick_task.cancelled():
            tick_task.result()
        if self._disk_error is not None:
            raise errors.DataFolderError(
                f"data folder {self.settings['data_folder']}:"
                f" {self._disk_error}"
            )

    def apply(self, event: interface.ControlEvent) -> None:
        """Passes an event to the reducer and carries out its effects."""
        if self._disk_error is not None:
            return
        try:
            for effect in self.role.reduce(event, clock.read_monotonic()):
                self._carry_out(effect)
            if self._folder is not None and self._folder.needs_compaction():
                assert self.role.voter is not None
                self._folder.rewrite(self.role.voter.export_records())
        except OSError as error:
            # The reducer's state now differs from the disk. If the process
            # continued, it could acknowledge a change that is lost at a
            # restart, so no further effect is carried out and the process ends.
            self._disk_error = error
            self._stop.set()
            self.log.error("disk failed", detail=str(error))

    def _carry_out(self, effect: interface.ControlEffect) -> None:
        match effect:
            case interface.Send(node, message):
                self._peers.send(node, message)
            case consensus_messages.Persist(record):
                assert self._folder is not None
                # The write blocks the event loop: a reply may only be sent
                # after the sync, and changes are rare.
                self._folder.persist(record)
            case orders.SendOrder(order):
                self._send_order(order)

    def _receive(self, sender: str, message: interface.Message) -> None:
        self.apply(interface.MessageArrived(sender, message, clock.read_wall()))

    async def _tick(self) -> None:
        while True:
            self.apply(interface.Tick(clock.read_wall()))
            await asyncio.sleep(interface.TICK_S)

    def _send_order(self, order: orders.Order) -> None:
        # The process may have been suspended since the reducer issued the
        # order. In that case the lease may have expired and the order is
        # obsolete.
        if not self.role.may_issue_orders(clock.read_monotonic()):
            return
        self._tasks.start(f"order to {order.vm}", self._post(order))

    async def _post(self, order: orders.Order) -> None:
        kind = type(order).__name__.lower()
        body = orjson.dumps({"kind": kind, **_encode_order(order)})
        url = f"http://{order.address}/v1/orders"
        try:
            async with self._session.post(url, data=body) as response:
                if not 200 <= response.status < 300:
                    self.log.warn(
                        "order refused",
                        vm=order.vm,
                        group=order.group,
                        status=response.status,
                    )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.log.warn(
                "order lost", vm=order.vm, group=order.group, detail=str(error)
            )

    def _make_app(self) -> applications.Starlette:
        # Imported here: only control processes expose these metrics.
        from hickorylead.telemetry import metrics as metrics_module

        metrics = metrics_module.ControlMetrics()

        async def get_health(_: requests.Request) -> responses.Response:
            return responses.PlainTextResponse("ok\n")

        async def get_metrics(
            request: requests.Request,
        ) -> responses.Response:
            metrics.set_status(self.role.get_status(clock.read_monotonic()))
            accept = request.headers.get("accept", "text/plain")
            body, headers = metrics.render([accept])
            return responses.Response(body, headers=headers)

        return applications.Starlette(
            routes=[
                routing.Route("/healthz", get_health),
                routing.Route("/metrics", get_metrics),
            ],
            exception_handlers={Exception: handler_failures.respond},
        )


def _open_folder(path: str, node: str) -> folder_module.DataFolder | None:
    if not path:
        return None
    from hickorylead.storage import folder

    return folder.DataFolder(pathlib.Path(path), node)


def _encode_order(order: orders.Order) -> dict[str, Any]:
    from hickorylead.runtime import json_codec

    return json_codec.encode(order)
