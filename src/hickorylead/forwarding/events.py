"""Events and effects of forwarded requests."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead import notes, verdict as verdict_module
from hickorylead.configuration import document as document_module
from hickorylead.forwarding import model
from hickorylead.relaying import relay_directory


@attrs.frozen
class RequestArrived:
    """Event: a complete request arrived."""

    request: model.Request


@attrs.frozen
class RequestOpened:
    """Event: the head of a request is complete, and its body may still come.

    Attributes:
        request_id: The request.
        attempt_id: Id that its caller gave it.
        route: Its route; None if none is known yet.
        budget_s: Time that its caller allows, in seconds; None if unlimited.
    """

    request_id: str
    attempt_id: str
    route: document_module.Route | None
    budget_s: float | None


@attrs.frozen
class RequestDropped:
    """Event: a request ended before it had arrived completely."""

    request_id: str


@attrs.frozen
class TimeOver:
    """Event: the time of a planned stop is over for a request."""

    request_id: str


@attrs.frozen
class CallerDisconnected:
    """Event: the caller closed its connection before the response ended."""

    request_id: str


@attrs.frozen
class AttemptConnected:
    """Event: a new connection to the replica of an attempt was opened."""

    request_id: str
    attempt: int


@attrs.frozen
class ResponseHeadArrived:
    """Event: the head of a replica's response arrived."""

    request_id: str
    attempt: int
    head: model.ResponseHead


@attrs.frozen
class ChunkArrived:
    """Event: a chunk of the body of a replica's response arrived."""

    request_id: str
    attempt: int
    data: bytes


@attrs.frozen
class ResponseCompleted:
    """Event: a replica's response is complete.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt.
        is_framed: Whether it had a length or chunks; otherwise it ended with
            its connection.
    """

    request_id: str
    attempt: int
    is_framed: bool = True


@attrs.frozen
class AttemptFailed:
    """Event: an attempt ended without a complete response.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt.
        verdict: Whether the request may have run.
        reason: Stable code for logs.
    """

    request_id: str
    attempt: int
    verdict: verdict_module.Verdict
    reason: str


@attrs.frozen
class ServerProbed:
    """Event: a probe of whether a server accepts connections has ended.

    Attributes:
        replica: The server.
        failure: Stable code of the failure; empty if it was connected.
    """

    replica: model.Replica
    failure: str


Event: TypeAlias = (
    RequestOpened
    | RequestDropped
    | RequestArrived
    | TimeOver
    | CallerDisconnected
    | AttemptConnected
    | ResponseHeadArrived
    | ChunkArrived
    | ResponseCompleted
    | AttemptFailed
    | ServerProbed
)


@attrs.frozen
class StartAttempt:
    """Effect: send a request to a replica.

    Attributes:
        request: The request.
        attempt: Number of the attempt, from 1.
        replica: The replica.
        budget_s: How long the replica may work on it, in seconds.
        last_event_id: Id of the last event that the caller has; 0 if none.
        rank: Its rank among the replica's requests, 0 to 9; 0 goes first.
        relay: Gateway through which it is sent; None if directly.
        is_fresh: Whether a new connection must be used.
    """

    request: model.Request
    attempt: int
    replica: model.Replica
    budget_s: float
    last_event_id: int
    rank: int
    relay: relay_directory.Relay | None = None
    is_fresh: bool = False


@attrs.frozen
class ProbeServer:
    """Effect: find out whether a server accepts connections."""

    replica: model.Replica


@attrs.frozen
class CancelAttempt:
    """Effect: close an attempt's connection so that the replica stops."""

    request_id: str
    attempt: int


@attrs.frozen
class StartResponse:
    """Effect: send the caller the head of its response.

    Attributes:
        request_id: The request.
        status: HTTP status.
        headers: Headers.
        length: Length of the body, in bytes; None for a stream.
    """

    request_id: str
    status: int
    headers: tuple[model.Header, ...]
    length: int | None = None


@attrs.frozen
class WriteChunk:
    """Effect: send the caller a chunk of the body."""

    request_id: str
    data: bytes


@attrs.frozen
class FinishResponse:
    """Effect: end the response as complete."""

    request_id: str


@attrs.frozen
class AbortResponse:
    """Effect: end the response so that the caller sees it is incomplete."""

    request_id: str


@attrs.frozen
class Refuse:
    """Effect: refuse the request with a response of the gateway itself.

    Attributes:
        request_id: The request.
        status: HTTP status.
        reason: Stable code.
        retry_after_s: When the caller may retry, in seconds; None if not given.
    """

    request_id: str
    status: int
    reason: str
    retry_after_s: float | None = None


Effect: TypeAlias = (
    StartAttempt
    | ProbeServer
    | CancelAttempt
    | StartResponse
    | WriteChunk
    | FinishResponse
    | AbortResponse
    | Refuse
    | notes.Note
)
