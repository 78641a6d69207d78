"""HTTP API for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
import uuid

import orjson
from returns import result
from starlette import responses, routing

from hickorylead import verdict as verdict_module
from hickorylead.requests import model
from hickorylead.roles import interface
from hickorylead.runtime import headers, json_codec, problems, request_bodies

if TYPE_CHECKING:
    from starlette import requests

    from hickorylead.runtime import entry

MAX_CHANGE_BYTES = 256 * 1024
_STATUS_BY_REASON = {
    "version_conflict": 409,
    "invalid": 422,
    "does_not_fit": 422,
}


def make_routes(process: entry.EntryProcess) -> list[routing.Route]:
    """Returns the operators' routes of an entry."""
    views = _Views(process)
    return [
        routing.Route("/admin/changes", views.change, methods=["POST"]),
        routing.Route(
            "/admin/configuration", views.get_configuration, methods=["GET"]
        ),
        routing.Route("/admin/status", views.get_status, methods=["GET"]),
        routing.Route(
            "/admin/requests/{request_id}", views.explain, methods=["GET"]
        ),
        routing.Route(
            "/admin/cluster/{cluster}", views.bootstrap, methods=["POST"]
        ),
    ]


class _Views:
    """The handlers, bound to one entry."""

    def __init__(self, process: entry.EntryProcess) -> None:
        self._process = process

    async def change(self, request: requests.Request) -> responses.Response:
        """Handles POST /admin/changes."""
        if not self._is_operator(request):
            return _refuse_token()
        match await request_bodies.read_body(request, MAX_CHANGE_BYTES):
            case result.Failure(response):
                return response
            case result.Success(body):
                pass
        match json_codec.decode_change(body):
            case result.Failure(problem):
                return problems.refuse_input(400, "bad_change", problem)
            case result.Success(change):
                pass
        future = self._process.changes.wait(change.change_id)
        self._process.apply(interface.ChangeSubmitted(change))
        effect = await future
        if effect.outcome is None:
            return _refuse_without_outcome(effect)
        outcome = effect.outcome
        self._process.log.info(
            "change answered",
            change_id=outcome.change_id,
            accepted=outcome.accepted,
            reason=outcome.reason,
        )
        status = 200
        if not outcome.accepted:
            status = _STATUS_BY_REASON.get(outcome.reason, 422)
        return _make_json_response(json_codec.encode(outcome), status)

    async def get_configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles GET /admin/configuration."""
        if not self._is_operator(request):
            return _refuse_token()
        return _make_json_response(
            json_codec.encode(self._process.role.configuration)
        )

    async def get_status(self, request: requests.Request) -> responses.Response:
        """Handles GET /admin/status."""
        if not self._is_operator(request):
            return _refuse_token()
        token = uuid.uuid4().hex
        future = self._process.statuses.wait(token)
        self._process.apply(interface.StatusRequested(token))
        effect = await future
        role = self._process.role
        return _make_json_response(
            {
                "entry": self._process.node,
                "ready": role.is_ready(),
                "version": role.configuration.version,
                "preset": role.configuration.preset,
                "controls": json_codec.encode(effect.statuses),
            }
        )

    async def explain(self, request: requests.Request) -> responses.Response:
        """Handles GET /admin/requests/{request_id}."""
        if not self._is_operator(request):
            return _refuse_token()
        token = uuid.uuid4().hex
        future = self._process.explains.wait(token)
        request_id = request.path_params["request_id"]
        self._process.apply(interface.ExplainRequested(token, request_id))
        reply = (await future).reply
        if not reply.found:
            return problems.refuse_input(
                404,
                "unknown_request",
                f"no entry that replied has a record of {request_id!r}",
            )
        return _make_json_response(json_codec.encode(reply))

    async def bootstrap(self, request: requests.Request) -> responses.Response:
        """Handles POST /admin/cluster/{cluster}."""
        if not self._is_operator(request):
            return _refuse_token()
        cluster = request.path_params["cluster"]
        future = self._process.bootstraps.wait(cluster)
        self._process.apply(interface.BootstrapRequested(cluster))
        effect = await future
        return _make_json_response(
            json_codec.encode(effect), 200 if effect.done else 409
        )

    def _is_operator(self, request: requests.Request) -> bool:
        authorization = request.headers.get("authorization", "")
        tokens = {self._process.settings["operator_token"]: "operators"}
        return headers.find_workspace(authorization, tokens) is not None


def _make_json_response(value: Any, status: int = 200) -> responses.Response:
    return responses.Response(
        orjson.dumps(value), status, media_type="application/json"
    )


def _refuse_without_outcome(
    effect: interface.AnswerChange,
) -> responses.Response:
    if effect.may_apply:
        return problems.make_response(
            model.Problem(
                504,
                "change_outcome_unknown",
                verdict_module.Verdict.MAY_HAVE_RUN,
                "the change may still take effect; submit it again with the"
                " same change_id to learn its outcome",
                2.0,
            )
        )
    return problems.make_response(
        model.Problem(
            503,
            "no_majority",
            verdict_module.Verdict.NOT_RUN,
            "no leader with a majority of the voters can be reached",
            5.0,
        )
    )


def _refuse_token() -> responses.Response:
    return problems.refuse_input(
        401, "unknown_token", "the bearer token is not an operator's"
    )
