"""ASGI application of a gateway that forwards callers' requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from hickorylead import notes, verdict as verdict_module
from hickorylead.configuration import document as document_module
from hickorylead.forwarding import (
    events,
    model,
    refusals,
    routes as routes_module,
)
from hickorylead.runtime import clock, http_connection, upstream_connection

if TYPE_CHECKING:
    from collections.abc import Callable

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
# Size of the response waiting for a slow caller above which nothing more is
# read from its replica, in bytes; reading goes on at half of it.
MAX_WAITING_BYTES = 1024 * 1024


class AttemptReceiver:
    """Turns what a replica sends in one attempt into events."""

    def __init__(
        self,
        attempt: events.StartAttempt,
        *,
        header_codec: header_codec_module.HeaderCodec,
        deliver: Callable[[events.Event], None],
    ) -> None:
        """Makes a receiver.

        Args:
            attempt: The attempt.
            header_codec: Decodes the head of the response.
            deliver: Called with each event.
        """
        self._id = attempt.request.request_id
        self._number = attempt.attempt
        self._header_codec = header_codec
        self._deliver = deliver
        self._is_framed = True

    def on_connected(self) -> None:
        """Handles a new connection, before the request is sent."""
        self._deliver(events.AttemptConnected(self._id, self._number))

    def on_headers(self, status: int, headers: list[model.Header]) -> None:
        """Handles status and headers."""
        self._is_framed = upstream_connection.is_framed(status, headers)
        head = self._header_codec.decode_response_head(status, headers)
        self._deliver(events.ResponseHeadArrived(self._id, self._number, head))

    def on_body_chunk(self, data: bytes) -> None:
        """Handles a chunk of the body."""
        self._deliver(events.ChunkArrived(self._id, self._number, data))

    def on_complete(self) -> None:
        """Handles the end of a complete response."""
        self._deliver(
            events.ResponseCompleted(self._id, self._number, self._is_framed)
        )

    def on_failure(self, verdict: verdict_module.Verdict, reason: str) -> None:
        """Handles the end of an attempt without a complete response."""
        self._deliver(
            events.AttemptFailed(self._id, self._number, verdict, reason)
        )


class ResponseWriter:
    """Writes the response to one caller, in the order of its effects.

    A chunk of a stream is written at once if the connection can take it. If
    each chunk passed through the task that waits for effects, it would need
    another iteration of the event loop: 2.2 for a chunk instead of 1.2.
    """

    def __init__(
        self,
        scope: Any,
        send: Any,
        write_log: Callable[[notes.Note], None],
        set_paused: Callable[[bool], None] = lambda _: None,
    ) -> None:
        """Makes the writer of a response that has not started yet.

        Args:
            scope: ASGI scope of its request.
            send: Sends an ASGI message.
            write_log: Called with log lines.
            set_paused: Called with whether to stop reading from the replica.
        """
        self._write_log = write_log
        self._set_paused = set_paused
        self._waiting_bytes = 0
        self._is_paused = False
        self._connection = http_connection.find_connection(scope)
        self._send = send
        self._effects: asyncio.Queue[events.Effect] = asyncio.Queue()
        # Whether the task still has an effect to send; later effects must not
        # overtake it.
        self._is_sending = False
        self.has_failed = False

    def write(self, effect: events.Effect) -> None:
        """Sends an effect to the caller, now or after the queued ones."""
        if self.has_failed:
            return
        if self._can_write_now() and isinstance(
            effect, events.StartResponse | events.WriteChunk
        ):
            self._write_now(effect)
            return
        self._effects.put_nowait(effect)
        if isinstance(effect, events.WriteChunk):
            self._waiting_bytes += len(effect.data)
            if self._waiting_bytes > MAX_WAITING_BYTES:
                # Also for a new attempt that goes on with the response.
                self._is_paused = True
                self._set_paused(True)
        elif (
            isinstance(effect, events.AbortResponse)
            and self._connection is not None
            and not self._connection.can_write()
        ):
            # The caller takes nothing, so the connection would wait for ever.
            self._connection.transport.abort()

    def _write_now(
        self, effect: events.StartResponse | events.WriteChunk
    ) -> None:
        """Sends an effect without waiting.

        An error concerns this caller alone. If it were raised here, the
        processing of the reducer's effects would be aborted, and other callers
        would miss their effects.
        """
        sending = self._send(_make_message(effect))
        try:
            sending.send(None)
        except StopIteration:
            return
        except Exception as error:  # noqa: BLE001 - logged; ends the response
            why = repr(error)
        else:
            sending.close()
            why = "the connection could not send it at once"
        self.has_failed = True
        self._write_log(
            notes.Note(
                "answer_not_sent", effect.request_id, {"why": why}, "error"
            )
        )
        self._effects.put_nowait(events.AbortResponse(effect.request_id))

    async def run(self) -> events.Refuse | None:
        """Sends until the response ends; returns a refusal to be sent."""
        while True:
            effect = await self._effects.get()
            self._is_sending = True
            match effect:
                case events.StartResponse():
                    await self._send(_make_message(effect))
                case events.WriteChunk(_, data):
                    await self._send(_make_message(effect))
                    self._record_sent(len(data))
                case events.FinishResponse():
                    await self._send(_make_body(b"", more=False))
                    return None
                case events.Refuse():
                    return effect
                case events.AbortResponse():
                    # Returning without the last chunk closes the connection,
                    # so that the response does not look complete.
                    return None
            self._is_sending = False

    def _record_sent(self, size: int) -> None:
        self._waiting_bytes -= size
        if self._is_paused and self._waiting_bytes <= MAX_WAITING_BYTES / 2:
            self._is_paused = False
            self._set_paused(False)

    def _can_write_now(self) -> bool:
        return (
            self._connection is not None
            and not self._is_sending
            and self._effects.empty()
            and self._connection.can_write()
        )


def _make_message(
    effect: events.StartResponse | events.WriteChunk,
) -> dict[str, Any]:
    match effect:
        case events.StartResponse(_, status, headers, length):
            fields = [*headers]
            if length is not None:
                fields.append((b"content-length", b"%d" % length))
            return {
                "type": "http.response.start",
                "status": status,
                "headers": fields,
            }
        case events.WriteChunk(_, data):
            return _make_body(data, more=True)


def _make_body(data: bytes, *, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": data, "more_body": more}


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
        connection = http_connection.find_connection(scope)
        if connection is not None:
            connection.request_id = request_id
            connection.attempt_id = _find_attempt_id(scope, self)
        decoded = await self._make_request(request_id, scope, receive)
        if decoded is None:
            return
        if isinstance(decoded, events.Refuse):
            await self._send_refusal(
                send, decoded, _find_attempt_id(scope, self)
            )
            return
        await self._forward(decoded, scope, receive, send)

    async def _make_request(
        self, request_id: str, scope: Any, receive: Any
    ) -> model.Request | events.Refuse | None:
        """Returns the request, a refusal, or None after a disconnect."""
        metadata = self._header_codec.decode_metadata(scope["headers"])
        if isinstance(metadata, str):
            return events.Refuse("", 400, "bad_header")
        limit_s = START_WAIT_S
        if metadata.budget_s is not None:
            limit_s = min(limit_s, START_WAIT_SHARE * metadata.budget_s)
        started_at = clock.read_boottime()
        routes = await self._process.wait_for_routes(limit_s)
        waited_s = clock.read_boottime() - started_at
        if routes is None:
            retry_s = refusals.jitter_retry_after(
                metadata.attempt_id, STARTING_RETRY_S
            )
            return events.Refuse("", 503, "starting", retry_s)
        path = scope["raw_path"].decode("latin-1")
        host = _find_header(scope, b"host").decode("latin-1")
        body = await _read_body(receive, routes.document.limits.max_body_bytes)
        if body is None:
            return None
        if isinstance(body, events.Refuse):
            return body
        # The routes may have changed while the body was received; the current
        # routes apply.
        routes = self._process.role.routes or routes
        match routes.find(host, path, metadata.key):
            case routes_module.NoRoute():
                return self._reject(404, "no_route", metadata, host, path)
            case routes_module.InvalidKey():
                return self._reject(401, "unknown_key", metadata, host, path)
            case routes_module.RouteMatch(route, workspace):
                pass
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

    def _reject(
        self,
        status: int,
        code: str,
        metadata: model.RequestMetadata,
        host: str,
        path: str,
    ) -> events.Refuse:
        """Returns a refusal that the configuration in force requires."""
        document = self._process.role.document
        self._process.write_log(
            notes.note(
                "request_rejected",
                attempt_id=metadata.attempt_id,
                code=code,
                host=host,
                path=path,
                configuration=document.version if document else 0,
            )
        )
        return events.Refuse("", status, code)

    async def _forward(
        self, request: model.Request, scope: Any, receive: Any, send: Any
    ) -> None:
        writer = ResponseWriter(
            scope,
            send,
            self._process.write_log,
            lambda paused: self._process.set_paused(request.request_id, paused),
        )
        self._process.response_writers[request.request_id] = writer
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
            self._process.response_writers.pop(request.request_id, None)
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
        await send(_make_body(body, more=False))


async def _read_body(receive: Any, limit: int) -> bytes | events.Refuse | None:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit:
            # The rest of the body is not read, since it could be endless.
            return events.Refuse("", 413, "body_too_large")
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


def _find_header(scope: Any, wanted: bytes) -> bytes:
    for name, value in scope["headers"]:
        if name == wanted:
            return value
    return b""


def _find_attempt_id(scope: Any, application: Application) -> str:
    metadata = application._header_codec.decode_metadata(scope["headers"])
    return "" if isinstance(metadata, str) else metadata.attempt_id


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
