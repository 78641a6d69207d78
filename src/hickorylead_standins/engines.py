"""Stand-in model engines over HTTP: several VMs of one zone in one process."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from aiohttp import web
import cattrs
import orjson

from hickorylead.membership import announcements
from hickorylead.placement import orders
from hickorylead_standins import announcer, batch, member

KEEPALIVE_S = 1.0
LOAD_RETRY_S = 0.2


class EngineVm:
    """One VM with its engine."""

    def __init__(
        self,
        state: announcements.ServerState,
        *,
        checks_fence: bool,
        speed: batch.Speed,
        weights_url: str,
        session: aiohttp.ClientSession,
    ) -> None:
        """Creates an idle VM.

        Args:
            state: Its initial announced state, with name, zone and address.
            checks_fence: Whether it refuses old fencing numbers.
            speed: Performance parameters of the engine.
            weights_url: URL of the weight store; empty to load at once.
            session: HTTP client.
        """
        self.member = member.Member(state, checks_fence=checks_fence)
        self.batch = batch.Batch(speed)
        self.runs: list[dict[str, Any]] = []
        self._weights_url = weights_url
        self._session = session
        self._queues: dict[str, asyncio.Queue[batch.Frame | None]] = {}
        self._sent: dict[str, list[batch.Frame]] = {}
        self._loading: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._event_count = 0

    def make_app(self) -> web.Application:
        """Returns the HTTP interface of the VM."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.add_routes(
            [
                web.post("/v1/run", self.run),
                web.post("/v1/attach", self.attach),
                web.post("/v1/cancel", self.cancel),
                web.post("/v1/orders", self.handle_order),
                web.get("/debug/runs", self.list_runs),
                web.post("/debug/leave", self.leave),
                web.post("/debug/slow/{factor}", self.slow_down),
            ]
        )
        return app

    def make_announcement(self) -> dict[str, Any]:
        """Returns an announcement, with the cache events since the last one."""
        events, self.batch.events = self.batch.events, []
        first = self._event_count
        self._event_count += len(events)
        return cattrs.unstructure(
            announcements.Announcement(
                self.member.state,
                announcements.Load(self.batch.running, self.batch.queued),
                announcements.CacheEvents(
                    first,
                    tuple(name for name, added in events if added),
                    tuple(name for name, added in events if not added),
                ),
            )
        )

    async def step_forever(self) -> None:
        """Runs the batch until cancelled."""
        while True:
            step_s = self.batch.begin_step()
            if not step_s:
                self._wake.clear()
                await self._wake.wait()
                continue
            await asyncio.sleep(step_s)
            for frame in self.batch.end_step():
                self._sent.setdefault(frame.request_id, []).append(frame)
                queue = self._queues.get(frame.request_id)
                if queue is not None:
                    queue.put_nowait(frame)

    async def handle_order(self, request: web.Request) -> web.Response:
        """Handles POST /v1/orders."""
        found = orjson.loads(await request.read())
        kind: Any = {"assign": orders.Assign, "release": orders.Release}[
            found.pop("kind")
        ]
        order: orders.Order = cattrs.structure(found, kind)
        before = self.member.state
        refusal = self.member.apply_order(order)
        if refusal:
            return web.json_response({"reason": refusal}, status=409)
        after = self.member.state
        if (before.group, before.generation) != (
            after.group,
            after.generation,
        ):
            self._abort_streams()
        if after.phase == announcements.PHASE_LOADING:
            if self._loading is not None:
                self._loading.cancel()
            self._loading = asyncio.create_task(self._load(after.weights))
        return web.json_response({})

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Handles POST /v1/run."""
        found = orjson.loads(await request.read())
        state = self.member.state
        if state.phase == announcements.PHASE_LEAVING:
            return self._refuse("leaving")
        if (
            state.phase != announcements.PHASE_READY
            or state.rank != 0
            or state.group != found["group"]
            or state.generation != found["generation"]
        ):
            return self._refuse("wrong_group")
        request_id = found["request_id"]
        self.runs.append(
            {"request_id": request_id, "attempt_id": found["attempt_id"]}
        )
        body = orjson.dumps(found["request"])
        messages = found["request"]["messages"]
        self._sent.pop(request_id, None)
        self.batch.submit(
            batch.Work(
                request_id=request_id,
                digest=batch.digest_body(body),
                urgency=found["urgency"],
                prompt_tokens=len(body) // 4,
                max_tokens=found["max_tokens"],
                prefixes=tuple(
                    batch.digest_body(orjson.dumps(messages[: i + 1]))
                    for i in range(len(messages) - 1)
                ),
                position=found["position"],
            )
        )
        self._wake.set()
        return await self._send_frames(request, request_id, [])

    async def attach(self, request: web.Request) -> web.StreamResponse:
        """Handles POST /v1/attach: continues a stream that runs here."""
        found = orjson.loads(await request.read())
        request_id = found["request_id"]
        sent = self._sent.get(request_id, [])
        if request_id not in self._queues and not sent:
            return web.json_response({"reason": "unknown"}, status=404)
        missed = [f for f in sent if f.position >= found["position"]]
        return await self._send_frames(request, request_id, missed)

    async def cancel(self, request: web.Request) -> web.Response:
        """Handles POST /v1/cancel."""
        found = orjson.loads(await request.read())
        self.batch.cancel(found["request_id"])
        self._sent.pop(found["request_id"], None)
        return web.json_response({})

    async def list_runs(self, _: web.Request) -> web.Response:
        """Handles GET /debug/runs: the server's own list of runs."""
        return web.json_response(self.runs)

    async def leave(self, _: web.Request) -> web.Response:
        """Handles POST /debug/leave."""
        self.member.leave()
        return web.json_response({})

    async def slow_down(self, request: web.Request) -> web.Response:
        """Handles POST /debug/slow/{factor}."""
        self.batch.slowdown_factor = float(request.match_info["factor"])
        return web.json_response({})

    async def _load(self, weights: str) -> None:
        while self._weights_url:
            try:
                async with self._session.get(
                    f"{self._weights_url}/weights/{weights}"
                ) as response:
                    if response.status == 200:
                        break
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(LOAD_RETRY_S)
        self.member.finish_load()

    async def _send_frames(
        self,
        request: web.Request,
        request_id: str,
        missed: list[batch.Frame],
    ) -> web.StreamResponse:
        queue: asyncio.Queue[batch.Frame | None] = asyncio.Queue()
        for known in missed:
            queue.put_nowait(known)
        self._queues[request_id] = queue
        response = web.StreamResponse()
        response.content_type = "application/x-ndjson"
        await response.prepare(request)
        try:
            while True:
                try:
                    async with asyncio.timeout(KEEPALIVE_S):
                        frame = await queue.get()
                except TimeoutError:
                    await response.write(_render_keepalive(request_id))
                    continue
                if frame is None:
                    # The group changed during the stream: the connection is
                    # closed without completing the response.
                    if request.transport is not None:
                        request.transport.close()
                    return response
                await response.write(_render_frame(frame))
                if frame.is_last:
                    self._sent.pop(request_id, None)
                    return response
        finally:
            if self._queues.get(request_id) is queue:
                del self._queues[request_id]

    def _abort_streams(self) -> None:
        for request_id in self.batch.clear():
            self._sent.pop(request_id, None)
            queue = self._queues.get(request_id)
            if queue is not None:
                queue.put_nowait(None)

    def _refuse(self, reason: str) -> web.Response:
        return web.json_response(
            {
                "verdict": "not_run",
                "vm": self.member.state.vm,
                "reason": reason,
            },
            status=503,
        )


def _render_frame(frame: batch.Frame) -> bytes:
    found: dict[str, Any] = {
        "request_id": frame.request_id,
        "position": frame.position,
        "tokens": 1,
        "text": frame.text,
    }
    if frame.is_last:
        found["finish_reason"] = "length"
        found["usage"] = {
            "prompt_tokens": frame.prompt_tokens,
            "completion_tokens": frame.position + 1,
            "cached_tokens": frame.cached_tokens,
        }
    return orjson.dumps(found) + b"\n"


def _render_keepalive(request_id: str) -> bytes:
    found = {
        "request_id": request_id,
        "position": 0,
        "tokens": 0,
        "text": "",
    }
    return orjson.dumps(found) + b"\n"


def run_engines(
    *,
    zone: str,
    address: str,
    port: int,
    vms: int,
    domain_size: int,
    entries: str,
    weights_url: str = "",
    checks_fence: bool = False,
    slots: int = 8,
    step_s: float = 0.02,
) -> None:
    """Run stand-in engines of one zone until interrupted.

    Args:
        zone: Availability zone.
        address: IP number of all of them.
        port: Port of the first one; the others follow.
        vms: How many VMs.
        domain_size: VMs in one fabric domain.
        entries: URLs of the zone's entries, separated by commas.
        weights_url: URL of the weight store; empty to load at once.
        checks_fence: Refuse orders with old fencing numbers.
        slots: Requests in a batch.
        step_s: Seconds of one engine step.
    """
    speed = batch.Speed(slots=slots, step_s=step_s)

    async def run() -> None:
        session = aiohttp.ClientSession()
        tasks = []
        for number in range(vms):
            vm = f"{zone}-vm{number:03}"
            loop_time = asyncio.get_running_loop().time()
            state = announcements.ServerState(
                vm=vm,
                boot=int(loop_time * 1000),
                zone=zone,
                domain=f"{zone}-d{number // domain_size:02}",
                address=f"{address}:{port + number}",
                slots=slots,
                keepalive_s=KEEPALIVE_S,
            )
            engine = EngineVm(
                state,
                checks_fence=checks_fence,
                speed=speed,
                weights_url=weights_url,
                session=session,
            )
            runner = web.AppRunner(engine.make_app(), access_log=None)
            await runner.setup()
            await web.TCPSite(runner, address, port + number).start()
            tasks.append(asyncio.create_task(engine.step_forever()))
            tasks.append(
                asyncio.create_task(
                    announcer.announce_forever(
                        vm,
                        entries.split(","),
                        engine.make_announcement,
                        session,
                    )
                )
            )
        await asyncio.gather(*tasks)

    asyncio.run(run())
