"""A stand-in plain service: it counts its runs and echoes each call."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from aiohttp import web
import cattrs

from hickorylead.membership import announcements
from hickorylead_standins import announcer


class PlainService:
    """A plain service on a VM."""

    def __init__(self, state: announcements.ServerState) -> None:
        """Creates a service.

        Args:
            state: Its announced state, with name, zone and address.
        """
        self.state = state
        self.runs: list[dict[str, str]] = []
        self.delay_s = 0.0

    def make_app(self) -> web.Application:
        """Returns the HTTP interface."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.add_routes(
            [
                web.get("/debug/runs", self.list_runs),
                web.post("/debug/delay/{seconds}", self.set_delay),
                web.route("*", "/{path:.*}", self.call),
            ]
        )
        return app

    async def call(self, request: web.Request) -> web.Response:
        """Runs a call."""
        body = await request.text()
        self.runs.append(
            {
                "request_id": request.headers.get("Request-Id", ""),
                "key": request.headers.get("Idempotency-Key", ""),
            }
        )
        run = len(self.runs)
        await asyncio.sleep(self.delay_s)
        return web.json_response(
            {
                "vm": self.state.vm,
                "run": run,
                "path": request.path,
                "body": body,
            },
            headers={"Request-Id": request.headers.get("Request-Id", "")},
        )

    async def list_runs(self, _: web.Request) -> web.Response:
        """Handles GET /debug/runs: the server's own list of runs."""
        return web.json_response(self.runs)

    async def set_delay(self, request: web.Request) -> web.Response:
        """Handles POST /debug/delay/{seconds}."""
        self.delay_s = float(request.match_info["seconds"])
        return web.json_response({})


def run_plain(
    *,
    service: str,
    zone: str,
    vm: str,
    address: str,
    port: int,
    entries: str,
) -> None:
    """Run a stand-in plain service until interrupted.

    Args:
        service: Service that it serves.
        zone: Availability zone.
        vm: Name of its VM.
        address: IP number.
        port: TCP port.
        entries: URLs of the zone's entries, separated by commas.
    """

    async def run() -> None:
        plain = PlainService(
            announcements.ServerState(
                vm=vm,
                boot=int(asyncio.get_running_loop().time() * 1000),
                zone=zone,
                domain="-",
                address=f"{address}:{port}",
                kind=announcements.KIND_PLAIN,
                phase=announcements.PHASE_READY,
                service=service,
                slots=64,
            )
        )
        runner = web.AppRunner(plain.make_app(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, address, port).start()

        def announce() -> dict[str, Any]:
            return cattrs.unstructure(announcements.Announcement(plain.state))

        async with aiohttp.ClientSession() as session:
            await announcer.announce_forever(
                vm, entries.split(","), announce, session
            )

    asyncio.run(run())
