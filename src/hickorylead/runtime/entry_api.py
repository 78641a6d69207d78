"""HTTP API for callers and backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import orjson
from returns import result
from starlette import applications, requests, responses, routing

from hickorylead import verdict as verdict_module
from hickorylead.configuration import model as configuration_model
from hickorylead.requests import events, model
from hickorylead.roles import interface
from hickorylead.runtime import (
    chat,
    clock,
    handler_failures,
    headers,
    json_codec,
    problems,
    request_bodies,
    stop_gate,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from hickorylead.runtime import (
        entry,
        response_queue as response_queue_module,
    )

_PLAIN_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


def make_app(
    process: entry.EntryProcess, operator_routes: Sequence[routing.Route]
) -> applications.Starlette:
    """Returns the application of an entry.

    Args:
        process: The entry.
        operator_routes: Routes for operators.
    """
    views = _Views(process)
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
            routing.Route("/healthz", views.get_health, methods=["GET"]),
            routing.Route("/readyz", views.get_readiness, methods=["GET"]),
            routing.Route("/metrics", views.get_metrics, methods=["GET"]),
            *operator_routes,
        ],
        exception_handlers={
            requests.ClientDisconnect: request_bodies.handle_disconnect,
            Exception: handler_failures.respond_with_problem,
        },
    )


class _Views:
    """The handlers, bound to one entry."""

    def __init__(self, process: entry.EntryProcess) -> None:
        self._process = process
        self._settings = process.settings

    # Callers.

    async def complete(self, request: requests.Request) -> responses.Response:
        """Handles POST /v1/chat/completions."""
        decoded = await self._decode_common(request)
        match decoded:
            case result.Failure(response):
                return response
            case result.Success(base):
                pass
        match chat.decode_chat_request(base.body):
            case result.Failure(problem):
                return problems.refuse_input(400, "bad_request", problem)
            case result.Success(chat_request):
                pass
        if not self._is_kind(
            chat_request.service, configuration_model.KIND_MODEL
        ):
            return _refuse_unknown(chat_request.service)
        submitted = attrs.evolve(
            base,
            service=chat_request.service,
            streamed=chat_request.streamed,
            prompt_tokens=chat_request.prompt_tokens,
            max_tokens=chat_request.max_tokens,
            prefix_hashes=chat_request.prefixes,
        )
        if chat_request.streamed:
            return await self._stream(submitted, chat_request.with_usage)
        return await self._respond_complete(request, submitted)

    async def list_models(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles GET /v1/models."""
        if self._find_workspace(request) is None:
            return _refuse_token()
        services = self._process.role.configuration.services
        data = [
            {"id": s.name, "object": "model", "owned_by": "hickorylead"}
            for s in services
            if s.kind == configuration_model.KIND_MODEL
        ]
        body = orjson.dumps({"object": "list", "data": data})
        return responses.Response(body, media_type="application/json")

    async def call_plain(self, request: requests.Request) -> responses.Response:
        """Handles calls to plain services, by path."""
        decoded = await self._decode_common(request)
        match decoded:
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
        return await self._respond_complete(request, submitted)

    async def _decode_common(
        self, request: requests.Request
    ) -> result.Result[model.Request, responses.Response]:
        """Returns the fields common to all requests, or a refusal."""
        workspace = self._find_workspace(request)
        if workspace is None:
            return result.Failure(_refuse_token())
        received = request.headers
        deadline = headers.read_deadline(
            received.get("prefer", ""), self._settings["default_deadline_s"]
        )
        key = headers.read_key(received.get("idempotency-key", ""))
        for checked in (deadline, key):
            match checked:
                case result.Failure(problem):
                    return result.Failure(
                        problems.refuse_input(400, "bad_header", problem)
                    )
        match await request_bodies.read_body(
            request, self._settings["max_body_bytes"]
        ):
            case result.Failure(response):
                return result.Failure(response)
            case result.Success(body):
                pass
        idempotency_key = key.unwrap()
        return result.Success(
            model.Request(
                request_id=request.scope[stop_gate.CALL_ID_KEY],
                workspace=workspace,
                service="",
                urgency=headers.read_urgency(received.get("priority", "")),
                deadline_s=deadline.unwrap(),
                body=body,
                idempotency_key=idempotency_key.text if idempotency_key else "",
                key_created_at=idempotency_key.made_at
                if idempotency_key
                else 0.0,
                traceparent=headers.read_traceparent(
                    received.get("traceparent", "")
                ),
            )
        )

    def _find_workspace(self, request: requests.Request) -> str | None:
        authorization = request.headers.get("authorization", "")
        return headers.find_workspace(authorization, self._settings["tokens"])

    def _is_kind(self, name: str, kind: str) -> bool:
        service = self._process.role.configuration.find_service(name)
        return service is not None and service.kind == kind

    def _submit(
        self, submitted: model.Request
    ) -> response_queue_module.ResponseQueue:
        response_queue = self._process.open_response(
            submitted.request_id, submitted.service
        )
        # The requests whose head comes later are refused unread.
        arrived = events.RequestArrived(
            submitted, clock.read_wall(), was_accepted=True
        )
        self._process.apply(arrived)
        return response_queue

    async def _stream(
        self, submitted: model.Request, with_usage: bool
    ) -> responses.Response:
        span = self._process.tracer.start("entry", submitted.traceparent)
        span.set_attribute("hickorylead.request", submitted.request_id)
        submitted = attrs.evolve(submitted, traceparent=span.traceparent)
        response_queue = self._submit(submitted)
        try:
            first = await response_queue.effects.get()
        except asyncio.CancelledError:
            self._process.close_response(submitted.request_id)
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
                    effect = await response_queue.effects.get()
            finally:
                self._process.close_response(submitted.request_id)
                span.end()

        return responses.StreamingResponse(
            render(),
            media_type="text/event-stream",
            headers={"Request-Id": submitted.request_id},
        )

    async def _respond_complete(
        self, request: requests.Request, submitted: model.Request
    ) -> responses.Response:
        span = self._process.tracer.start("entry", submitted.traceparent)
        span.set_attribute("hickorylead.request", submitted.request_id)
        submitted = attrs.evolve(submitted, traceparent=span.traceparent)
        response_queue = self._submit(submitted)
        watch_task = asyncio.create_task(
            self._watch_disconnect(request, submitted)
        )
        try:
            return await self._collect(response_queue, submitted)
        finally:
            watch_task.cancel()
            self._process.close_response(submitted.request_id)
            span.end()

    async def _watch_disconnect(
        self, request: requests.Request, submitted: model.Request
    ) -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        self._process.close_response(submitted.request_id)

    async def _collect(
        self,
        response_queue: response_queue_module.ResponseQueue,
        submitted: model.Request,
    ) -> responses.Response:
        texts: list[str] = []
        request_id = submitted.request_id
        while True:
            match await response_queue.effects.get():
                case events.EmitText(_, text):
                    texts.append(text)
                case events.FinishStream(_, reason, usage):
                    body = chat.render_completion(
                        request_id,
                        submitted.service,
                        int(clock.read_wall()),
                        "".join(texts),
                        reason,
                        usage,
                    )
                    return responses.Response(
                        body,
                        headers={"Request-Id": request_id},
                        media_type="application/json",
                    )
                case events.SendResponse(_, status, content_type, body, replay):
                    fields = {"Request-Id": request_id}
                    if content_type:
                        fields["Content-Type"] = content_type
                    if replay:
                        fields["Idempotency-Replayed"] = "true"
                    return responses.Response(body, status, fields)
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
        match await request_bodies.read_body(
            request, self._settings["max_body_bytes"]
        ):
            case result.Failure(response):
                return response
            case result.Success(body):
                pass
        match json_codec.decode_announcement(body):
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
        self._process.apply(interface.AnnouncementArrived(announcement))
        return responses.Response(status_code=204)

    async def get_health(self, _: requests.Request) -> responses.Response:
        """Handles GET /healthz: the process is running."""
        return responses.PlainTextResponse("ok\n")

    async def get_readiness(self, _: requests.Request) -> responses.Response:
        """Handles GET /readyz: the entry accepts requests of callers."""
        if self._process.role.is_ready():
            return responses.PlainTextResponse("ready\n")
        return responses.PlainTextResponse("not ready\n", 503)

    async def get_metrics(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles GET /metrics."""
        role, metrics = self._process.role, self._process.metrics
        metrics.set_pending_requests(role.dispatcher.count_pending())
        metrics.set_version(role.configuration.version)
        for zone, table in role.table.zones.items():
            metrics.set_replicas(zone, len(table.replicas))
        for service, queue in role.dispatcher.queues.items():
            counts = queue.count_by_urgency()
            for urgency in range(model.URGENCY_LOWEST + 1):
                metrics.set_queued_requests(
                    service, urgency, counts.get(urgency, 0)
                )
        accept = request.headers.get("accept", "text/plain")
        body, fields = metrics.render([accept])
        return responses.Response(body, headers=fields)


def _refuse_token() -> responses.Response:
    return problems.refuse_input(
        401, "unknown_token", "the bearer token is missing or unknown"
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
