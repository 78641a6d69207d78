"""Events and effects of requests at an entry."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead import verdict as verdict_module
from hickorylead.requests import model
from hickorylead.routing import messages as routing_messages


@attrs.frozen
class RequestArrived:
    """Event: a caller submitted a request.

    Attributes:
        request: The validated request.
        wall_time: Wall-clock time, in Unix seconds.
        was_accepted: Whether its head came before the entry was asked to stop,
            if it was.
    """

    request: model.Request
    wall_time: float
    was_accepted: bool = False


@attrs.frozen
class CallerDisconnected:
    """Event: the caller's connection was closed."""

    request_id: str


@attrs.frozen
class FrameArrived:
    """Event: a server sent a frame of a stream.

    Attributes:
        attempt_id: Attempt on whose connection it arrived.
        request_id: Request that the frame names.
        position: Number of response tokens before this frame.
        tokens: Number of tokens in this frame.
        text: Text of the tokens; empty in a keepalive.
        finish_reason: Why the response ends with this frame; empty if it
            continues.
        usage: Token counts; set in the last frame.
    """

    attempt_id: str
    request_id: str
    position: int
    tokens: int
    text: str
    finish_reason: str = ""
    usage: model.Usage = model.Usage()


@attrs.frozen
class AnswerArrived:
    """Event: a plain service returned its complete response."""

    attempt_id: str
    request_id: str
    status: int
    content_type: str
    body: bytes


@attrs.frozen
class AttemptFailed:
    """Event: an attempt ended without a complete response.

    Attributes:
        attempt_id: The attempt.
        verdict: NOT_RUN only if no byte was sent, or if the server reported
            that it did not run the request.
        reason: Stable code.
        retry_after_s: The pause that the server asked for, if any.
    """

    attempt_id: str
    verdict: verdict_module.Verdict
    reason: str
    retry_after_s: float | None = None


Event: TypeAlias = (
    RequestArrived
    | CallerDisconnected
    | FrameArrived
    | AnswerArrived
    | AttemptFailed
)


@attrs.frozen
class StartAttempt:
    """Effect: send a request to a replica.

    Attributes:
        attempt_id: Identifies the attempt in later events.
        attempt_number: Number of this attempt of the request, from 1.
        request: The request.
        replica: Where to send it.
        position: Number of tokens that the caller has received already.
        text: Text of those tokens.
        attach: Whether to attach to the request that is already running on
            the replica, over a new connection, instead of running it.
    """

    attempt_id: str
    attempt_number: int
    request: model.Request
    replica: routing_messages.Replica
    position: int = 0
    text: str = ""
    attach: bool = False


@attrs.frozen
class CancelAttempt:
    """Effect: close an attempt's connection; cancel the attempt on the server.

    Attributes:
        attempt_id: The attempt.
        request_id: The request.
        replica: The replica that runs it.
        cancel_on_server: Whether to cancel the request on the server too.
    """

    attempt_id: str
    request_id: str
    replica: routing_messages.Replica
    cancel_on_server: bool = True


@attrs.frozen
class EmitText:
    """Effect: send the caller the next chunk of the response."""

    request_id: str
    text: str


@attrs.frozen
class FinishStream:
    """Effect: end the response of a model, which is complete."""

    request_id: str
    finish_reason: str
    usage: model.Usage


@attrs.frozen
class SendResponse:
    """Effect: send the caller the complete response of a plain service.

    Attributes:
        request_id: The request.
        status: HTTP status of the service.
        content_type: Content type of the body.
        body: The body.
        replayed: Whether it is the response to an earlier submission.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@attrs.frozen
class Refuse:
    """Effect: end the request with a problem."""

    request_id: str
    problem: model.Problem


Effect: TypeAlias = (
    StartAttempt
    | CancelAttempt
    | EmitText
    | FinishStream
    | SendResponse
    | Refuse
)
