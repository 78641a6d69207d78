"""The calls of backend servers and operators on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
from returns import result
from starlette import applications, responses, routing

from hickorylead.configuration import document
from hickorylead.platform import documents, servers

if TYPE_CHECKING:
    from starlette import requests

    from hickorylead.runtime import coordinator

MAX_HEARTBEAT_BYTES = 64 * 1024
MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024


def make_app(shell: coordinator.CoordinatorProcess) -> applications.Starlette:
    """Returns the interface of a coordinator."""
    views = _Views(shell)
    return applications.Starlette(
        routes=[
            routing.Route(
                "/instances/{name}/heartbeat", views.hear, methods=["POST"]
            ),
            routing.Route(
                "/instances/{name}/deregister", views.end, methods=["POST"]
            ),
            routing.Route("/config/replace", views.replace, methods=["POST"]),
            routing.Route("/config/read", views.read, methods=["GET"]),
        ]
    )


class _Views:
    def __init__(self, shell: coordinator.CoordinatorProcess) -> None:
        self._shell = shell

    async def hear(self, request: requests.Request) -> responses.Response:
        body = await _read_body(request, MAX_HEARTBEAT_BYTES)
        if body is None:
            return _refuse(413, "the body is too large")
        match servers.read_heartbeat(request.path_params["name"], body):
            case result.Success(instance):
                self._shell.receive_heartbeat(instance)
                return _answer({})
            case result.Failure(problem):
                return _refuse(400, problem)
        raise AssertionError("a result is a success or a failure")

    async def end(self, request: requests.Request) -> responses.Response:
        body = await _read_body(request, MAX_HEARTBEAT_BYTES)
        match servers.read_born(body or b""):
            case result.Success(born):
                self._shell.deregister(request.path_params["name"], born)
                return _answer({})
            case result.Failure(problem):
                return _refuse(400, problem)
        raise AssertionError("a result is a success or a failure")

    async def replace(self, request: requests.Request) -> responses.Response:
        body = await _read_body(request, MAX_CONFIGURATION_BYTES)
        if body is None:
            return _refuse(413, "the configuration is too large")
        match documents.read_document(body):
            case result.Success(found):
                lasts = await self._shell.replace_configuration(
                    found.version, document.compress_content(body)
                )
                if lasts:
                    return _answer({})
                return _refuse(503, "not known whether it lasts: send it again")
            case result.Failure(problem):
                return _refuse(400, problem)
        raise AssertionError("a result is a success or a failure")

    async def read(self, _: requests.Request) -> responses.Response:
        found = await self._shell.read_configuration()
        if found is None or not found[0]:
            return _refuse(503, "the newest configuration is not known here")
        return responses.Response(
            document.decompress_content(found[1]), media_type="application/json"
        )


async def _read_body(request: requests.Request, limit: int) -> bytes | None:
    body = bytearray()
    async for piece in request.stream():
        body += piece
        if len(body) > limit:
            return None
    return bytes(body)


def _answer(body: dict[str, str]) -> responses.Response:
    return responses.Response(orjson.dumps(body), media_type="application/json")


def _refuse(status: int, problem: str) -> responses.Response:
    body = orjson.dumps({"error": problem})
    return responses.Response(
        body, status_code=status, media_type="application/json"
    )
