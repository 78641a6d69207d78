"""The HTTP interface for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
import uuid

import orjson
from returns import result
from starlette import responses, routing

from hickorylead import verdict as verdict_module
from hickorylead.requests import model
from hickorylead.roles import interface
from hickorylead.runtime import entry_api, headers, json_codec, problems

if TYPE_CHECKING:
    from starlette import requests

    from hickorylead.runtime import entry

MAX_CHANGE_BYTES = 256 * 1024
_STATUS_BY_REASON = {
    "version_conflict": 409,
    "invalid": 422,
    "does_not_fit": 422,
}


def make_routes(shell: entry.EntryProcess) -> list[routing.Route]:
    """Returns the routes for operators of an entry."""
    views = _Views(shell)
    return [
        routing.Route("/admin/changes", views.change, methods=["POST"]),
        routing.Route(
            "/admin/configuration", views.tell_configuration, methods=["GET"]
        ),
        routing.Route("/admin/status", views.tell_status, methods=["GET"]),
        routing.Route(
            "/admin/requests/{request_id}", views.explain, methods=["GET"]
        ),
        routing.Route(
            "/admin/cluster/{cluster}", views.found, methods=["POST"]
        ),
    ]


class _Views:
    """The handlers, bound to one entry."""

    def __init__(self, shell: entry.EntryProcess) -> None:
        self._shell = shell

    async def change(self, request: requests.Request) -> responses.Response:
        """Handles POST /admin/changes."""
        if not self._is_operator(request):
            return _refuse_token()
        match await entry_api.read_body(request, MAX_CHANGE_BYTES):
            case result.Failure(response):
                return response
            case result.Success(body):
                pass
        match json_codec.read_change(body):
            case result.Failure(problem):
                return problems.refuse_input(400, "bad_change", problem)
            case result.Success(change):
                pass
        waiting = self._shell.changes.wait(change.change_id)
        self._shell.apply(interface.ChangeSubmitted(change))
        answer = await waiting
        if answer.outcome is None:
            return _describe_lost(answer)
        outcome = answer.outcome
        self._shell.log.info(
            "change answered",
            change_id=outcome.change_id,
            accepted=outcome.accepted,
            reason=outcome.reason,
        )
        status = 200
        if not outcome.accepted:
            status = _STATUS_BY_REASON.get(outcome.reason, 422)
        return _answer_json(json_codec.dump(outcome), status)

    async def tell_configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles GET /admin/configuration."""
        if not self._is_operator(request):
            return _refuse_token()
        return _answer_json(json_codec.dump(self._shell.role.configuration))

    async def tell_status(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles GET /admin/status."""
        if not self._is_operator(request):
            return _refuse_token()
        token = uuid.uuid4().hex
        waiting = self._shell.statuses.wait(token)
        self._shell.apply(interface.StatusRequested(token))
        answer = await waiting
        role = self._shell.role
        return _answer_json(
            {
                "entry": self._shell.node,
                "ready": role.is_ready(),
                "version": role.configuration.version,
                "preset": role.configuration.preset,
                "controls": json_codec.dump(answer.statuses),
            }
        )

    async def explain(self, request: requests.Request) -> responses.Response:
        """Handles GET /admin/requests/{request_id}."""
        if not self._is_operator(request):
            return _refuse_token()
        token = uuid.uuid4().hex
        waiting = self._shell.explains.wait(token)
        request_id = request.path_params["request_id"]
        self._shell.apply(interface.ExplainRequested(token, request_id))
        reply = (await waiting).reply
        if not reply.found:
            return problems.refuse_input(
                404,
                "unknown_request",
                f"no entry that answers keeps request {request_id!r}",
            )
        return _answer_json(json_codec.dump(reply))

    async def found(self, request: requests.Request) -> responses.Response:
        """Handles POST /admin/cluster/{cluster}."""
        if not self._is_operator(request):
            return _refuse_token()
        cluster = request.path_params["cluster"]
        waiting = self._shell.bootstraps.wait(cluster)
        self._shell.apply(interface.BootstrapRequested(cluster))
        answer = await waiting
        return _answer_json(
            json_codec.dump(answer), 200 if answer.done else 409
        )

    def _is_operator(self, request: requests.Request) -> bool:
        authorization = request.headers.get("authorization", "")
        tokens = {self._shell.settings["operator_token"]: "operators"}
        return headers.find_workspace(authorization, tokens) is not None


def _answer_json(found: Any, status: int = 200) -> responses.Response:
    return responses.Response(
        orjson.dumps(found), status, media_type="application/json"
    )


def _describe_lost(answer: interface.AnswerChange) -> responses.Response:
    if answer.may_apply:
        return problems.make_response(
            model.Problem(
                504,
                "change_outcome_unknown",
                verdict_module.Verdict.MAY_HAVE_RUN,
                "the change may take effect; send it again with the same"
                " change_id to find out",
                2.0,
            )
        )
    return problems.make_response(
        model.Problem(
            503,
            "no_majority",
            verdict_module.Verdict.NOT_RUN,
            "no leader with a majority of the voters can be reached from here",
            5.0,
        )
    )


def _refuse_token() -> responses.Response:
    return problems.refuse_input(
        401, "unknown_token", "the bearer token is not an operator's"
    )
