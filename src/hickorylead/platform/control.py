"""HTTP API of a coordinator for backend servers and operators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import orjson
from returns import result
from starlette import (
    applications,
    requests as starlette_requests,
    responses,
    routing,
)

from hickorylead.configuration import document
from hickorylead.platform import documents, servers
from hickorylead.runtime import handler_failures, stop_gate
from hickorylead.turns import work_queue

if TYPE_CHECKING:
    from hickorylead.runtime import coordinator

MAX_HEARTBEAT_BYTES = 64 * 1024
MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024
# Time after which operators may send a call again, in seconds.
RETRY_AFTER = "0.1"
# Pause between two steps, in seconds. It gives timers and sockets their turn.
YIELD_S = 0.001


def make_app(process: coordinator.CoordinatorProcess) -> applications.Starlette:
    """Returns the HTTP application of a coordinator."""
    views = _Views(process)
    return applications.Starlette(
        routes=[
            routing.Route(
                "/instances/{name}/heartbeat",
                views.handle_heartbeat,
                methods=["POST"],
            ),
            routing.Route(
                "/instances/{name}/deregister",
                views.handle_deregistration,
                methods=["POST"],
            ),
            routing.Route(
                "/config/replace", views.handle_replace, methods=["POST"]
            ),
            routing.Route("/config/read", views.handle_read, methods=["GET"]),
        ],
        exception_handlers={
            starlette_requests.ClientDisconnect: _handle_disconnect,
            Exception: handler_failures.respond,
        },
    )


def find_lane(path: str) -> work_queue.Lane:
    """Returns how urgent a request is, by its path."""
    if path.startswith("/config/"):
        return work_queue.Lane.URGENT
    return work_queue.Lane.ORDINARY


class _Views:
    def __init__(self, process: coordinator.CoordinatorProcess) -> None:
        self._process = process
        # Large configurations are decoded one at a time, and the event loop
        # runs between the steps: otherwise several of them at once would hold
        # up heartbeats for longer than an election timeout.
        self._decoding = asyncio.Lock()
        self._decoder = documents.DocumentDecoder()

    async def handle_heartbeat(
        self, request: starlette_requests.Request
    ) -> responses.Response:
        body = await _read_body(request, MAX_HEARTBEAT_BYTES)
        if body is None:
            return _refuse(413, "the body is too large")
        match servers.decode_heartbeat(request.path_params["name"], body):
            case result.Success(instance):
                is_accepted = await self._process.reports.receive_heartbeat(
                    instance, call_id=request.scope[stop_gate.CALL_ID_KEY]
                )
                return _respond_to_report(is_accepted)
            case result.Failure(problem):
                return _refuse(400, problem)
        raise AssertionError("a result is a success or a failure")

    async def handle_deregistration(
        self, request: starlette_requests.Request
    ) -> responses.Response:
        body = await _read_body(request, MAX_HEARTBEAT_BYTES)
        if body is None:
            return _refuse(413, "the body is too large")
        match servers.decode_start_time(body):
            case result.Success(born):
                is_accepted = await self._process.reports.deregister(
                    request.path_params["name"],
                    born,
                    call_id=request.scope[stop_gate.CALL_ID_KEY],
                )
                return _respond_to_report(is_accepted)
            case result.Failure(problem):
                return _refuse(400, problem)
        raise AssertionError("a result is a success or a failure")

    async def handle_replace(
        self, request: starlette_requests.Request
    ) -> responses.Response:
        body = await _read_body(request, MAX_CONFIGURATION_BYTES)
        if body is None:
            return _refuse(413, "the configuration is too large")
        async with self._decoding:
            decoded = self._decoder.decode(body)
            await asyncio.sleep(YIELD_S)
            if isinstance(decoded, result.Failure):
                return _refuse(400, decoded.failure())
            content = document.compress_content(body)
            await asyncio.sleep(YIELD_S)
        version = decoded.unwrap().version
        del body, decoded
        call_id = request.scope[stop_gate.CALL_ID_KEY]
        if await self._process.replace_configuration(
            version, content, call_id=call_id
        ):
            return _respond({})
        return _refuse(503, "not known whether it was committed: send it again")

    async def handle_read(
        self, request: starlette_requests.Request
    ) -> responses.Response:
        newest = await self._process.read_configuration(
            call_id=request.scope[stop_gate.CALL_ID_KEY]
        )
        if newest is None or not newest[0]:
            return _refuse(503, "the newest configuration is not known here")
        return responses.Response(
            document.decompress_content(newest[1]),
            media_type="application/json",
        )


async def _handle_disconnect(
    _: starlette_requests.Request, __: Exception
) -> responses.Response:
    """Responds to nobody: the client gave up before its turn."""
    return _refuse(503, "the connection was closed")


async def _read_body(
    request: starlette_requests.Request, limit: int
) -> bytes | None:
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)


def _respond(body: dict[str, str]) -> responses.Response:
    return responses.Response(orjson.dumps(body), media_type="application/json")


def _respond_to_report(is_accepted: bool) -> responses.Response:
    if is_accepted:
        return _respond({})
    return _refuse(503, "not known whether it will last: send it again")


def _refuse(status: int, problem: str) -> responses.Response:
    body = orjson.dumps({"error": problem})
    fields = {"Retry-After": RETRY_AFTER} if status == 503 else {}
    return responses.Response(
        body, status, fields, media_type="application/json"
    )
