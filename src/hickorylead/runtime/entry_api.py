"""The HTTP interface for callers and backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import orjson
from returns import result
from starlette import applications, responses, routing

from hickorylead import verdict as verdict_module
from hickorylead.configuration import model as configuration_model
from hickorylead.requests import events, model
from hickorylead.roles import interface
from hickorylead.runtime import chat, clock, headers, json_codec, problems

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from starlette import requests

    from hickorylead.runtime import (
        entry,
        response_queue as response_queue_module,
    )

_PLAIN_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


def make_app(
    shell: entry.EntryProcess, more: Sequence[routing.Route]
) -> applications.Starlette:
    """Returns the application of an entry.

    Args:
        shell: The entry.
        more: Routes for operators.
    """
    views = _Views(shell)
    return applications.Starlette(
        routes=[
            routing.Route(
                "/v1/chat/completions", views.complete, methods=["POST"]
            ),
            routing.Route("/v1/models", views.list_models, methods=["GET"]),
            routing.Route(
                "/services/{service}/{path:path}",
                views.call_plain,
                methods=_PLAIN_METHODS,
            ),
            routing.Route(
                "/backend/announcements", views.announce, methods=["POST"]
            ),
            routing.Route("/healthz", views.tell_health, methods=["GET"]),
            routing.Route("/readyz", views.tell_readiness, methods=["GET"]),
            routing.Route("/metrics", views.tell_metrics, methods=["GET"]),
            *more,
        ]
    )


async def read_body(
    request: requests.Request, limit: int
) -> result.Result[bytes, responses.Response]:
    """Returns a request body, or a refusal if it is larger than the limit."""
    body = bytearray()
    async for piece in request.stream():
        body += piece
        if len(body) > limit:
            # The rest is not read: it could be without end.
            return result.Failure(
                problems.refuse_input(
                    413,
                    "body_too_large",
                    f"the body is larger than {limit} bytes",
                )
            )
    return result.Success(bytes(body))


class _Views:
    """The handlers, bound to one entry."""

    def __init__(self, shell: entry.EntryProcess) -> None:
        self._shell = shell
        self._settings = shell.settings

    # Callers.

    async def complete(self, request: requests.Request) -> responses.Response:
        """Handles POST /v1/chat/completions."""
        checked = await self._check_caller(request)
        match checked:
            case result.Failure(response):
                return response
            case result.Success(base):
                pass
        match chat.read_chat(base.body):
            case result.Failure(problem):
                return problems.refuse_input(400, "bad_request", problem)
            case result.Success(asked):
                pass
        if not self._is_kind(asked.service, configuration_model.KIND_MODEL):
            return _refuse_unknown(asked.service)
        submitted = attrs.evolve(
            base,
            service=asked.service,
            streamed=asked.streamed,
            prompt_tokens=asked.prompt_tokens,
            max_tokens=asked.max_tokens,
            prefix_hashes=asked.prefixes,
        )
        if asked.streamed:
            return await self._stream(submitted, asked.with_usage)
        return await self._answer_whole(request, submitted)

    async def list_models(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles GET /v1/models."""
        if self._find_workspace(request) is None:
            return _refuse_token()
        services = self._shell.role.configuration.services
        data = [
            {"id": s.name, "object": "model", "owned_by": "hickorylead"}
            for s in services
            if s.kind == configuration_model.KIND_MODEL
        ]
        body = orjson.dumps({"object": "list", "data": data})
        return responses.Response(body, media_type="application/json")

    async def call_plain(self, request: requests.Request) -> responses.Response:
        """Handles calls of plain services, by path."""
        checked = await self._check_caller(request)
        match checked:
            case result.Failure(response):
                return response
            case result.Success(base):
                pass
        service = request.path_params["service"]
        if not self._is_kind(service, configuration_model.KIND_PLAIN):
            return _refuse_unknown(service)
        query = f"?{request.url.query}" if request.url.query else ""
        submitted = attrs.evolve(
            base,
            service=service,
            method=request.method,
            path=request.path_params["path"] + query,
            content_type=request.headers.get("content-type", ""),
        )
        return await self._answer_whole(request, submitted)

    async def _check_caller(
        self, request: requests.Request
    ) -> result.Result[model.Request, responses.Response]:
        """Returns what all requests have in common, or why not."""
        workspace = self._find_workspace(request)
        if workspace is None:
            return result.Failure(_refuse_token())
        found = request.headers
        deadline = headers.read_deadline(
            found.get("prefer", ""), self._settings["default_deadline_s"]
        )
        key = headers.read_key(found.get("idempotency-key", ""))
        for checked in (deadline, key):
            match checked:
                case result.Failure(problem):
                    return result.Failure(
                        problems.refuse_input(400, "bad_header", problem)
                    )
        match await read_body(request, self._settings["max_body_bytes"]):
            case result.Failure(response):
                return result.Failure(response)
            case result.Success(body):
                pass
        given = key.unwrap()
        return result.Success(
            model.Request(
                request_id=self._shell.make_request_id(),
                workspace=workspace,
                service="",
                urgency=headers.read_urgency(found.get("priority", "")),
                deadline_s=deadline.unwrap(),
                body=body,
                idempotency_key=given.text if given else "",
                key_created_at=given.made_at if given else 0.0,
                traceparent=headers.read_traceparent(
                    found.get("traceparent", "")
                ),
            )
        )

    def _find_workspace(self, request: requests.Request) -> str | None:
        authorization = request.headers.get("authorization", "")
        return headers.find_workspace(authorization, self._settings["tokens"])

    def _is_kind(self, name: str, kind: str) -> bool:
        service = self._shell.role.configuration.find_service(name)
        return service is not None and service.kind == kind

    def _submit(
        self, submitted: model.Request
    ) -> response_queue_module.ResponseQueue:
        answering = self._shell.open_response(
            submitted.request_id, submitted.service
        )
        self._shell.apply(events.RequestArrived(submitted, clock.read_wall()))
        return answering

    async def _stream(
        self, submitted: model.Request, with_usage: bool
    ) -> responses.Response:
        span = self._shell.tracer.start("entry", submitted.traceparent)
        span.set_attribute("hickorylead.request", submitted.request_id)
        submitted = attrs.evolve(submitted, traceparent=span.traceparent)
        answering = self._submit(submitted)
        try:
            first = await answering.effects.get()
        except asyncio.CancelledError:
            self._shell.close_response(submitted.request_id)
            span.end()
            raise
        if isinstance(first, events.Refuse):
            span.end()
            return problems.make_response(first.problem, submitted.request_id)
        renderer = chat.ChunkRenderer(
            submitted.request_id, submitted.service, int(clock.read_wall())
        )

        async def render() -> AsyncIterator[bytes]:
            effect: events.Effect = first
            try:
                while True:
                    match effect:
                        case events.EmitText(_, text):
                            yield renderer.render_text(text)
                        case events.FinishStream(_, reason, usage):
                            yield renderer.render_finish(
                                reason, usage, with_usage
                            )
                            return
                        case events.Refuse(request_id, problem):
                            yield renderer.render_problem(
                                problems.describe_problem(problem, request_id)
                            )
                            return
                    effect = await answering.effects.get()
            finally:
                self._shell.close_response(submitted.request_id)
                span.end()

        return responses.StreamingResponse(
            render(),
            media_type="text/event-stream",
            headers={"Request-Id": submitted.request_id},
        )

    async def _answer_whole(
        self, request: requests.Request, submitted: model.Request
    ) -> responses.Response:
        span = self._shell.tracer.start("entry", submitted.traceparent)
        span.set_attribute("hickorylead.request", submitted.request_id)
        submitted = attrs.evolve(submitted, traceparent=span.traceparent)
        answering = self._submit(submitted)
        watch = asyncio.create_task(self._watch_caller(request, submitted))
        try:
            return await self._collect(answering, submitted)
        finally:
            watch.cancel()
            self._shell.close_response(submitted.request_id)
            span.end()

    async def _watch_caller(
        self, request: requests.Request, submitted: model.Request
    ) -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        self._shell.close_response(submitted.request_id)

    async def _collect(
        self,
        answering: response_queue_module.ResponseQueue,
        submitted: model.Request,
    ) -> responses.Response:
        pieces: list[str] = []
        request_id = submitted.request_id
        while True:
            match await answering.effects.get():
                case events.EmitText(_, text):
                    pieces.append(text)
                case events.FinishStream(_, reason, usage):
                    body = chat.render_whole(
                        request_id,
                        submitted.service,
                        int(clock.read_wall()),
                        "".join(pieces),
                        reason,
                        usage,
                    )
                    return responses.Response(
                        body,
                        headers={"Request-Id": request_id},
                        media_type="application/json",
                    )
                case events.SendResponse(_, status, content_type, body, replay):
                    found = {"Request-Id": request_id}
                    if content_type:
                        found["Content-Type"] = content_type
                    if replay:
                        found["Idempotency-Replayed"] = "true"
                    return responses.Response(body, status, found)
                case events.Refuse(_, problem):
                    return problems.make_response(problem, request_id)

    # Backend servers and the platform.

    async def announce(self, request: requests.Request) -> responses.Response:
        """Handles POST /backend/announcements."""
        expected = self._settings["backend_token"]
        if expected:
            authorization = request.headers.get("authorization", "")
            if not headers.find_workspace(authorization, {expected: "-"}):
                return _refuse_token()
        match await read_body(request, self._settings["max_body_bytes"]):
            case result.Failure(response):
                return response
            case result.Success(body):
                pass
        match json_codec.read_announcement(body):
            case result.Failure(problem):
                return problems.refuse_input(400, "bad_announcement", problem)
            case result.Success(announcement):
                pass
        if announcement.state.zone != self._settings["zone"]:
            return problems.refuse_input(
                400,
                "wrong_zone",
                f"this entry serves zone {self._settings['zone']}",
            )
        self._shell.apply(interface.AnnouncementArrived(announcement))
        return responses.Response(status_code=204)

    async def tell_health(self, _: requests.Request) -> responses.Response:
        """Handles GET /healthz: the process runs."""
        return responses.PlainTextResponse("ok\n")

    async def tell_readiness(self, _: requests.Request) -> responses.Response:
        """Handles GET /readyz: callers may be sent here."""
        if self._shell.role.is_ready():
            return responses.PlainTextResponse("ready\n")
        return responses.PlainTextResponse("not ready\n", 503)

    async def tell_metrics(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles GET /metrics."""
        role, metrics = self._shell.role, self._shell.metrics
        metrics.set_open_requests(role.dispatcher.count_open())
        metrics.set_version(role.configuration.version)
        for zone, table in role.table.zones.items():
            metrics.set_replicas(zone, len(table.replicas))
        for service, waiting in role.dispatcher.queues.items():
            counts = waiting.count_by_urgency()
            for urgency in range(model.URGENCY_LOWEST + 1):
                metrics.set_queued_requests(
                    service, urgency, counts.get(urgency, 0)
                )
        accept = request.headers.get("accept", "text/plain")
        body, found = metrics.render([accept])
        return responses.Response(body, headers=found)


def _refuse_token() -> responses.Response:
    return problems.refuse_input(
        401, "unknown_token", "the bearer token is missing or not known"
    )


def _refuse_unknown(service: str) -> responses.Response:
    return problems.make_response(
        model.Problem(
            404,
            "unknown_service",
            verdict_module.Verdict.NOT_RUN,
            f"there is no service {service!r} here",
        )
    )
