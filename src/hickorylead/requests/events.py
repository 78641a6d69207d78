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
        request: The request, checked.
        wall_time: Wall-clock time, in Unix seconds.
    """

    request: model.Request
    wall_time: float


@attrs.frozen
class CallerDisconnected:
    """Event: the caller's connection is closed."""

    request_id: str


@attrs.frozen
class FrameArrived:
    """Event: a server sent a frame of a stream.

    Attributes:
        attempt_id: Attempt on whose connection it came.
        request_id: Request that the frame names.
        position: Tokens of the answer before this frame.
        tokens: Tokens in this frame.
        text: Their text; empty in a keepalive.
        finish_reason: Why the answer ends here; empty if it goes on.
        usage: Token counts, with the last frame.
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
    """Event: a plain service gave its whole answer."""

    attempt_id: str
    request_id: str
    status: int
    content_type: str
    body: bytes


@attrs.frozen
class AttemptFailed:
    """Event: an attempt ended without an answer.

    Attributes:
        attempt_id: The attempt.
        verdict: NOT_RUN only if no byte left, or the server said so.
        reason: Stable code.
        retry_after_s: What the server asked for, if it did.
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
        attempt_id: Names the attempt in the events that follow.
        attempt_number: Counts the attempts of the request, from 1.
        request: The request.
        replica: Where to send it.
        position: Tokens that the caller has already.
        text: The text of those tokens.
        attach: Whether to join the request where it runs already, over a new
            connection, instead of running it.
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
    """Effect: close an attempt's connection and tell the server to stop."""

    attempt_id: str
    request_id: str
    replica: routing_messages.Replica
    cancel_on_server: bool = True


@attrs.frozen
class EmitText:
    """Effect: give the caller the next piece of the answer."""

    request_id: str
    text: str


@attrs.frozen
class FinishStream:
    """Effect: the answer of a model is complete."""

    request_id: str
    finish_reason: str
    usage: model.Usage


@attrs.frozen
class SendResponse:
    """Effect: give the caller the whole answer of a plain service.

    Attributes:
        request_id: The request.
        status: HTTP status of the service.
        content_type: Of the body.
        body: The body.
        replayed: Whether it is the answer to an earlier submission.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@attrs.frozen
class Refuse:
    """Effect: the request ends with a problem, at once."""

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
