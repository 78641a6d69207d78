"""ASGI application of a gateway that forwards callers' requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from hickorylead import notes
from hickorylead.configuration import document as document_module
from hickorylead.forwarding import (
    arrivals,
    events,
    model,
    refusals,
    routes as routes_module,
)
from hickorylead.runtime import clock, response_writer

if TYPE_CHECKING:
    from hickorylead.forwarding import header_codec as header_codec_module
    from hickorylead.runtime import gateway as gateway_module

# Longest time that a request waits for the gateway's first configuration: in
# seconds, and as a share of its caller's time. When all nodes start together,
# as after a power failure, a gateway receives a configuration 0.6 to 1.2 s
# after it accepts requests. Most callers are on their last attempt by then, so
# a request refused with a Retry-After would be lost.
START_WAIT_S = 1.5
START_WAIT_SHARE = 1 / 3
# Retry-After of a request that is refused after this wait, in seconds, with a
# jitter of 0.3 of it.
STARTING_RETRY_S = 1.0
# Reason code of bodies over the limit.
TOO_LARGE = "body_too_large"
# Longest part of a host or a path in a log line, in characters.
MAX_LOGGED_LENGTH = 200


class Application:
    """Accepts callers' requests and sends the reducer's responses."""

    def __init__(
        self,
        process: gateway_module.GatewayProcess,
        header_codec: header_codec_module.HeaderCodec,
    ) -> None:
        """Makes the application.

        Args:
            process: The gateway.
            header_codec: Encodes and decodes headers.
        """
        self._process = process
        self._header_codec = header_codec
        self._count = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handles one request."""
        if scope["type"] != "http":
            return
        self._count += 1
        request_id = f"{self._process.name}-{self._count:x}"
        writer = response_writer.ResponseWriter(
            scope,
            send,
            self._process.write_log,
            lambda paused: self._process.set_paused(request_id, paused),
        )
        self._process.response_writers[request_id] = writer
        try:
            await self._serve(request_id, writer, scope, receive, send)
        except BaseException:
            # Nothing of the request may go on: no handler awaits it any more.
            self._process.apply(events.RequestDropped(request_id))
            self._process.apply(events.CallerDisconnected(request_id))
            raise
        finally:
            self._process.response_writers.pop(request_id, None)

    async def _serve(
        self,
        request_id: str,
        writer: response_writer.ResponseWriter,
        scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        metadata = self._header_codec.decode_metadata(scope["headers"])
        if isinstance(metadata, str) or not metadata.attempt_id:
            code = "bad_header" if isinstance(metadata, str) else "no_id"
            refusal = self._reject(request_id, 400, code, "", scope)
            await self._send_refusal(send, refusal, "")
            return
        if writer.connection is not None:
            writer.connection.request_id = request_id
            writer.connection.attempt_id = metadata.attempt_id
        decoded = await self._make_request(
            request_id, metadata, writer, scope, receive
        )
        match decoded:
            case None:
                self._process.apply(events.RequestDropped(request_id))
            case events.Refuse():
                self._process.apply(events.RequestDropped(request_id))
                await self._send_refusal(send, decoded, metadata.attempt_id)
            case _:
                await self._forward(decoded, writer, receive, send)

    async def _make_request(
        self,
        request_id: str,
        metadata: model.RequestMetadata,
        writer: response_writer.ResponseWriter,
        scope: Any,
        receive: Any,
    ) -> model.Request | events.Refuse | None:
        """Returns the request, a refusal, or None after a disconnect."""
        limit_s = START_WAIT_S
        if metadata.budget_s is not None:
            limit_s = min(limit_s, START_WAIT_SHARE * metadata.budget_s)
        started_at = clock.read_boottime()
        routes = await self._process.wait_for_routes(limit_s)
        waited_s = clock.read_boottime() - started_at
        if routes is None:
            return self._refuse_without_routes(request_id, metadata, waited_s)
        found = self._find_route(routes, request_id, metadata, scope)
        if isinstance(found, events.Refuse):
            return found
        limit = routes.document.limits.max_body_bytes
        if _find_length(scope) > limit:
            return self._reject(
                request_id, 413, TOO_LARGE, metadata.attempt_id, scope
            )
        if writer.connection is not None and writer.connection.in_body:
            self._process.apply(
                events.RequestOpened(
                    request_id,
                    metadata.attempt_id,
                    found.route,
                    metadata.budget_s,
                )
            )
        body = await _read_body(receive, writer, limit)
        if body is None:
            return None
        if isinstance(body, events.Refuse):
            if body.reason == TOO_LARGE:
                self._reject(
                    request_id, 413, TOO_LARGE, metadata.attempt_id, scope
                )
            return body
        current = self._process.role.routes
        if current is not None and current is not routes:
            # The routes have changed while the body was received.
            found = self._find_route(current, request_id, metadata, scope)
            if isinstance(found, events.Refuse):
                return found
        route, workspace = found.route, found.workspace
        query = scope["query_string"]
        target = scope["raw_path"] + (b"?" + query if query else b"")
        name = workspace.name if workspace else ""
        return model.Request(
            request_id=request_id,
            metadata=_strip_model(metadata, route),
            route=route,
            service=self._process.choose_service(route),
            workspace=name,
            method=scope["method"],
            target=target,
            headers=self._header_codec.list_forwarded_headers(
                scope["headers"], name
            ),
            body=body,
            urgency=_choose_urgency(route, workspace),
            waited_s=waited_s,
        )

    def _refuse_without_routes(
        self, request_id: str, metadata: model.RequestMetadata, waited_s: float
    ) -> events.Refuse:
        """Returns the refusal of a request that waited for routes."""
        if self._process.role.is_stopping:
            refusal = refusals.refuse_unread(request_id)
        else:
            retry_s = refusals.jitter_retry_after(
                metadata.attempt_id, STARTING_RETRY_S
            )
            refusal = events.Refuse(request_id, 503, "starting", retry_s)
        self._process.write_log(
            arrivals.describe_refusal(
                refusal, metadata.attempt_id, None, waited_s
            )
        )
        return refusal

    def _find_route(
        self,
        routes: routes_module.RouteTable,
        request_id: str,
        metadata: model.RequestMetadata,
        scope: Any,
    ) -> routes_module.RouteMatch | events.Refuse:
        """Returns the route of a request, or its refusal if it has none."""
        found = routes.find(_read_host(scope), _read_path(scope), metadata.key)
        match found:
            case routes_module.NoRoute():
                status, code = 404, "no_route"
            case routes_module.InvalidKey():
                status, code = 401, "unknown_key"
            case routes_module.RouteMatch():
                return found
        return self._reject(
            request_id, status, code, metadata.attempt_id, scope
        )

    def _reject(
        self,
        request_id: str,
        status: int,
        code: str,
        attempt_id: str,
        scope: Any,
    ) -> events.Refuse:
        """Returns a refusal that head or body require, and logs it."""
        document = self._process.role.document
        self._process.write_log(
            notes.Note(
                "request_rejected",
                request_id,
                {
                    "attempt_id": attempt_id,
                    "code": code,
                    "host": _read_host(scope)[:MAX_LOGGED_LENGTH],
                    "path": _read_path(scope)[:MAX_LOGGED_LENGTH],
                    "configuration": document.version if document else 0,
                },
            )
        )
        return events.Refuse(request_id, status, code)

    async def _forward(
        self,
        request: model.Request,
        writer: response_writer.ResponseWriter,
        receive: Any,
        send: Any,
    ) -> None:
        watch_task = asyncio.ensure_future(
            self._watch_disconnect(request, receive)
        )
        try:
            self._process.apply(events.RequestArrived(request))
            refusal = await writer.run()
            if refusal is not None:
                await self._send_refusal(
                    send, refusal, request.metadata.attempt_id
                )
        finally:
            watch_task.cancel()
            if writer.has_failed:
                # The caller cannot receive the rest, so the replica need not
                # continue.
                self._process.apply(
                    events.CallerDisconnected(request.request_id)
                )

    async def _watch_disconnect(
        self, request: model.Request, receive: Any
    ) -> None:
        """Notifies the reducer when the caller closes its connection."""
        while (await receive())["type"] != "http.disconnect":
            pass
        self._process.apply(events.CallerDisconnected(request.request_id))
        writer = self._process.response_writers.get(request.request_id)
        if writer is not None:
            writer.write(events.AbortResponse(request.request_id))

    async def _send_refusal(
        self, send: Any, refusal: events.Refuse, attempt_id: str
    ) -> None:
        headers, body = self._header_codec.encode_refusal(refusal, attempt_id)
        fields = [*headers, (b"content-length", b"%d" % len(body))]
        await send(
            {
                "type": "http.response.start",
                "status": refusal.status,
                "headers": fields,
            }
        )
        await send(response_writer.make_body(body, more=False))


async def _read_body(
    receive: Any, writer: response_writer.ResponseWriter, limit: int
) -> bytes | events.Refuse | None:
    """Returns the body, a refusal, or None after a disconnect."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        if writer.refusal is not None:
            return writer.refusal
        body += message.get("body", b"")
        if len(body) > limit:
            # The rest of the body is not read, since it could be endless.
            return events.Refuse("", 413, TOO_LARGE)
        if not message.get("more_body"):
            return bytes(body)


def _find_header(scope: Any, wanted: bytes) -> bytes:
    for name, value in scope["headers"]:
        if name == wanted:
            return value
    return b""


def _read_host(scope: Any) -> str:
    return _find_header(scope, b"host").decode("latin-1")


def _read_path(scope: Any) -> str:
    path: str = scope["raw_path"].decode("latin-1")
    return path


def _find_length(scope: Any) -> int:
    """Returns the length of a body, in bytes; 0 if it is not known."""
    return int(_find_header(scope, b"content-length") or 0)


def _strip_model(
    metadata: model.RequestMetadata, route: document_module.Route
) -> model.RequestMetadata:
    """Returns the metadata, without a model if the route has none."""
    return metadata if route.has_prompts else attrs.evolve(metadata, model="")


def _choose_urgency(
    route: document_module.Route,
    workspace: document_module.Workspace | None,
) -> int:
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority
