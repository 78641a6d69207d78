"""The callers' side of a gateway: an ASGI application that forwards."""

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
from hickorylead.runtime import clock, listener

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.forwarding import header_codec as header_codec_module
    from hickorylead.runtime import gateway as gateway_shell

# A gateway that has started with all others has a configuration 0.6 to 1.2 s
# after it can answer (seen after a loss of power). A request waits for that for
# this long, in seconds, and for this share of its caller's time: by then most
# callers come with their last try, and one that is told to come back is lost.
START_WAIT_S = 1.5
START_WAIT_SHARE = 1 / 3
# When it is told to come back then, in seconds; spread by 0.3 of it.
STARTING_RETRY_S = 1.0


class AttemptReceiver:
    """One try at a replica: turns what comes into events."""

    def __init__(
        self,
        opened: events.StartAttempt,
        *,
        dialect: header_codec_module.HeaderCodec,
        deliver: Callable[[events.Event], None],
    ) -> None:
        """Makes a receiver.

        Args:
            opened: The try.
            dialect: Reads the head of the answer.
            deliver: Takes the events.
        """
        self._id = opened.request.request_id
        self._number = opened.attempt
        self._dialect = dialect
        self._deliver = deliver

    def on_headers(self, status: int, headers: list[model.Header]) -> None:
        """Takes status and headers."""
        head = self._dialect.decode_response_head(status, headers)
        self._deliver(events.ResponseHeadArrived(self._id, self._number, head))

    def on_body_chunk(self, data: bytes) -> None:
        """Takes a piece of the body."""
        self._deliver(events.ChunkArrived(self._id, self._number, data))

    def on_complete(self) -> None:
        """Takes the news that the answer is whole."""
        self._deliver(events.ResponseCompleted(self._id, self._number))

    def on_failure(self, verdict: verdict_module.Verdict, reason: str) -> None:
        """Takes the news that there will be no whole answer."""
        self._deliver(
            events.AttemptFailed(self._id, self._number, verdict, reason)
        )


class ResponseWriter:
    """The way to one caller: what it is given, in order.

    A piece of a stream is written at once where the connection takes it. By
    way of the task that waits for effects, each of them took another turn of
    the loop: 2.2 for each piece, 1.2 without.
    """

    def __init__(
        self, scope: Any, send: Any, tell: Callable[[notes.Note], None]
    ) -> None:
        """Makes the way to a caller that has got nothing yet.

        Args:
            scope: ASGI scope of its request.
            send: Sends an ASGI message.
            tell: Takes log lines.
        """
        self._tell = tell
        extensions = scope.get("extensions") or {}
        found = extensions.get(listener.CONNECTION_KEY) or {}
        self._connection: listener.CallerProtocol | None = found.get("protocol")
        self._send = send
        self._effects: asyncio.Queue[events.Effect] = asyncio.Queue()
        # Whether the task has an effect that is not sent yet; what comes
        # after it must not overtake it.
        self._is_sending = False
        self.has_failed = False

    def write(self, effect: events.Effect) -> None:
        """Gives the caller an effect, now or after those before it."""
        if self.has_failed:
            return
        if self._is_free() and isinstance(
            effect, events.StartResponse | events.WriteChunk
        ):
            self._write_now(effect)
        else:
            self._effects.put_nowait(effect)

    def _write_now(
        self, effect: events.StartResponse | events.WriteChunk
    ) -> None:
        """Sends a piece without a wait.

        What goes wrong concerns this caller alone: raised here, it would end
        the turn of the reducer, and other callers would miss their effects.
        """
        sending = self._send(_write_message(effect))
        try:
            sending.send(None)
        except StopIteration:
            return
        except Exception as error:  # noqa: BLE001 - told, and this answer ends
            why = repr(error)
        else:
            sending.close()
            why = "the connection did not take it at once"
        self.has_failed = True
        self._tell(
            notes.Note(
                "answer_not_sent", effect.request_id, {"why": why}, "error"
            )
        )
        self._effects.put_nowait(events.AbortResponse(effect.request_id))

    async def run(self) -> events.Refuse | None:
        """Sends until the answer is over; returns a refusal to be sent."""
        while True:
            effect = await self._effects.get()
            self._is_sending = True
            match effect:
                case events.StartResponse() | events.WriteChunk():
                    await self._send(_write_message(effect))
                case events.FinishResponse():
                    await self._send(_make_body(b"", more=False))
                    return None
                case events.Refuse():
                    return effect
                case events.AbortResponse():
                    # Returning without the last piece closes the connection,
                    # so that the answer does not look whole.
                    return None
            self._is_sending = False

    def _is_free(self) -> bool:
        return (
            self._connection is not None
            and not self._is_sending
            and self._effects.empty()
            and self._connection.can_write()
        )


def _write_message(
    effect: events.StartResponse | events.WriteChunk,
) -> dict[str, Any]:
    match effect:
        case events.StartResponse(_, status, headers, length):
            found = [*headers]
            if length is not None:
                found.append((b"content-length", b"%d" % length))
            return {
                "type": "http.response.start",
                "status": status,
                "headers": found,
            }
        case events.WriteChunk(_, data):
            return _make_body(data, more=True)


def _make_body(data: bytes, *, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": data, "more_body": more}


class Application:
    """Takes callers' requests, and gives them what the reducer decides."""

    def __init__(
        self,
        shell: gateway_shell.GatewayProcess,
        dialect: header_codec_module.HeaderCodec,
    ) -> None:
        """Makes the application.

        Args:
            shell: The gateway.
            dialect: Names of headers.
        """
        self._shell = shell
        self._dialect = dialect
        self._count = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handles one request."""
        if scope["type"] != "http":
            return
        checked = await self._check(scope, receive)
        if checked is None:
            return
        if isinstance(checked, events.Refuse):
            await self._send_refusal(send, checked, _find_attempt(scope, self))
            return
        await self._forward(checked, scope, receive, send)

    async def _check(
        self, scope: Any, receive: Any
    ) -> model.Request | events.Refuse | None:
        """Returns the request, its refusal, or None if the caller left."""
        terms = self._dialect.decode_metadata(scope["headers"])
        if isinstance(terms, str):
            return events.Refuse("", 400, "bad_header")
        limit_s = START_WAIT_S
        if terms.budget_s is not None:
            limit_s = min(limit_s, START_WAIT_SHARE * terms.budget_s)
        began = clock.read_boottime()
        routes = await self._shell.wait_for_routes(limit_s)
        waited_s = clock.read_boottime() - began
        if routes is None:
            retry_s = refusals.jitter_retry_after(
                terms.attempt_id, STARTING_RETRY_S
            )
            return events.Refuse("", 503, "starting", retry_s)
        path = scope["raw_path"].decode("latin-1")
        host = _find_header(scope, b"host").decode("latin-1")
        body = await _read_body(receive, routes.document.limits.max_body_bytes)
        if body is None:
            return None
        if isinstance(body, events.Refuse):
            return body
        # The body may have taken its time; what is in force now counts.
        routes = self._shell.role.routes or routes
        match routes.find(host, path, terms.key):
            case routes_module.NoRoute():
                return events.Refuse("", 404, "no_route")
            case routes_module.InvalidKey():
                return events.Refuse("", 401, "unknown_key")
            case routes_module.RouteMatch(route, workspace):
                pass
        query = scope["query_string"]
        target = scope["raw_path"] + (b"?" + query if query else b"")
        self._count += 1
        name = workspace.name if workspace else ""
        return model.Request(
            request_id=f"{self._shell.name}-{self._count:x}",
            metadata=_strip_prompt(terms, route),
            route=route,
            service=self._shell.choose_service(route),
            workspace=name,
            method=scope["method"],
            target=target,
            headers=self._dialect.list_forwarded_headers(
                scope["headers"], name
            ),
            body=body,
            urgency=_choose_urgency(route, workspace),
            waited_s=waited_s,
        )

    async def _forward(
        self, request: model.Request, scope: Any, receive: Any, send: Any
    ) -> None:
        caller = ResponseWriter(scope, send, self._shell.write_log)
        self._shell.response_writers[request.request_id] = caller
        watching = asyncio.ensure_future(self._watch(request, receive))
        try:
            self._shell.apply(events.RequestArrived(request))
            refusal = await caller.run()
            if refusal is not None:
                await self._send_refusal(
                    send, refusal, request.metadata.attempt_id
                )
        finally:
            watching.cancel()
            self._shell.response_writers.pop(request.request_id, None)
            if caller.has_failed:
                # Its replica need not go on.
                self._shell.apply(events.CallerDisconnected(request.request_id))

    async def _watch(self, request: model.Request, receive: Any) -> None:
        """Tells the reducer when the caller has closed its connection."""
        while (await receive())["type"] != "http.disconnect":
            pass
        self._shell.apply(events.CallerDisconnected(request.request_id))
        caller = self._shell.response_writers.get(request.request_id)
        if caller is not None:
            caller.write(events.AbortResponse(request.request_id))

    async def _send_refusal(
        self, send: Any, refusal: events.Refuse, attempt_id: str
    ) -> None:
        headers, body = self._dialect.write_refusal(refusal, attempt_id)
        found = [*headers, (b"content-length", b"%d" % len(body))]
        await send(
            {
                "type": "http.response.start",
                "status": refusal.status,
                "headers": found,
            }
        )
        await send(_make_body(body, more=False))


async def _read_body(receive: Any, limit: int) -> bytes | events.Refuse | None:
    pieces: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        piece = message.get("body", b"")
        size += len(piece)
        if size > limit:
            # The rest is not read: it could be without end.
            return events.Refuse("", 413, "body_too_large")
        pieces.append(piece)
        if not message.get("more_body"):
            return b"".join(pieces)


def _find_header(scope: Any, wanted: bytes) -> bytes:
    for name, value in scope["headers"]:
        if name == wanted:
            return value
    return b""


def _find_attempt(scope: Any, application: Application) -> str:
    terms = application._dialect.decode_metadata(scope["headers"])
    return "" if isinstance(terms, str) else terms.attempt_id


def _strip_prompt(
    terms: model.RequestMetadata, route: document_module.Route
) -> model.RequestMetadata:
    """Returns the terms without a model where the route has no models."""
    return terms if route.has_prompts else attrs.evolve(terms, model="")


def _choose_urgency(
    route: document_module.Route,
    workspace: document_module.Workspace | None,
) -> int:
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority
