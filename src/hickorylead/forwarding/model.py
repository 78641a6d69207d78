"""Forwarded requests, their metadata, replicas and response heads."""

from __future__ import annotations

import attrs

from hickorylead.configuration import document as document_module

Header = tuple[bytes, bytes]

# Reason code of an attempt that ended before the request was sent, because the
# replica did not accept the connection in time.
CONNECT_TIMEOUT = "connect_timeout"
# Reason code of an attempt that ended before the request was sent, because the
# connection was refused or reset.
CONNECT_REFUSED = "unreachable"
CONNECT_FAILURES = frozenset({CONNECT_TIMEOUT, CONNECT_REFUSED})
# Reason codes of an attempt through a relay: the relay could not be connected
# to, takes no requests, cannot connect to any server of the replica's zone, or
# was lost after the request was sent.
RELAY_UNREACHABLE = "relay_unreachable"
RELAY_REFUSED = "relay_refused"
RELAY_NO_ZONE = "relay_no_zone"
RELAY_LOST = "relay_lost"
RELAY_FAILURES = frozenset(
    {RELAY_UNREACHABLE, RELAY_REFUSED, RELAY_NO_ZONE, RELAY_LOST}
)
# Reason codes of attempts whose connection was lost, or silent for too long.
CONNECTION_LOSSES = frozenset({"closed", "reset", "stalled", "no_answer"})
# Reason code of an attempt whose relay could not connect to the replica either.
RELAY_NO_SERVER = "relay_no_server"
# Reason codes of attempts that ended at once, before the request was sent.
RELAY_REFUSALS = frozenset({RELAY_REFUSED, RELAY_NO_ZONE})
# Reason codes of attempts that ended before the request was sent.
UNSENT_FAILURES = CONNECT_FAILURES | {
    RELAY_UNREACHABLE,
    RELAY_REFUSED,
    RELAY_NO_ZONE,
    RELAY_NO_SERVER,
}

# Maximum number of shared parts of a prompt that are considered; later parts
# are ignored.
MAX_PROMPT_PARTS = 64


@attrs.frozen
class RequestMetadata:
    """Metadata of a request, decoded from the caller's headers.

    Attributes:
        attempt_id: The caller's id of this submission; replicas echo it.
        budget_s: How long the caller will wait, in seconds; None if not given.
        key: Key of a workspace; empty if none was sent.
        model: Requested model; empty for plain services.
        prompt_tokens: Tokens of its prompt.
        max_output_tokens: Largest number of tokens of its response.
        last_event_id: Id of the last event that the caller has; 0 if none.
        prompt_parts: Ids of the parts of its prompt that other requests may
            share, each once, in order; at most `MAX_PROMPT_PARTS`.
    """

    attempt_id: str
    budget_s: float | None = None
    key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: int = 0
    prompt_parts: tuple[str, ...] = ()


@attrs.frozen
class Request:
    """A request as it is forwarded.

    Attributes:
        request_id: This gateway's id of the request.
        metadata: Metadata that the caller sent.
        route: Its route.
        service: Service that was drawn from the route.
        workspace: Name of the caller's workspace; empty if none.
        method: HTTP method.
        target: Path and query, byte for byte as the caller sent them.
        headers: Headers to forward.
        body: The complete body.
        urgency: Priority of its workspace or route; 0 is the most urgent.
        waited_s: How long it waited at this gateway before it could be
            forwarded, in seconds.
    """

    request_id: str
    metadata: RequestMetadata
    route: document_module.Route
    service: str
    workspace: str
    method: str
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    urgency: int
    waited_s: float = 0.0

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is document_module.RouteKind.STREAM


@attrs.frozen
class Load:
    """Load that a replica reported with a response."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class ResponseHead:
    """The decoded head of a replica's response.

    Attributes:
        status: HTTP status.
        headers: Headers to forward to the caller.
        echoed_attempt_id: The attempt id that the replica echoed; empty if
            none.
        is_signed: Whether the replica signed it.
        not_run: Whether the replica states that it did not run the request.
        has_content_encoding: Whether an intermediary changed the encoding of
            the body.
        load: The replica's load; None if not reported.
        limit_per_s: Requests a second that the replica accepts from all
            gateways together, for as long as it names the limit; None if
            unlimited.
        retry_after_s: How long this gateway should send the replica no request,
            in seconds; None if not given.
        is_leaving: Whether the replica is about to stop.
        malformed_headers: Names of headers with malformed values.
        faulty_server: The server that a refusal names as at fault, such as a
            lost member of the group; empty if it names none.
    """

    status: int
    headers: tuple[Header, ...] = ()
    echoed_attempt_id: str = ""
    is_signed: bool = False
    not_run: bool = False
    has_content_encoding: bool = False
    load: Load | None = None
    limit_per_s: float | None = None
    retry_after_s: float | None = None
    is_leaving: bool = False
    malformed_headers: tuple[str, ...] = ()
    faulty_server: str = ""


@attrs.frozen
class Replica:
    """Destination of requests: a group's head, or a plain server.

    Attributes:
        name: Instance that receives the requests.
        service: Its service.
        model: Its model; empty for plain services.
        address: `ip:port`.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        epoch: Fencing number of the group; 0 for plain services.
        is_missing: Whether coordinators miss its heartbeats.
        born: When its present incarnation started, in Unix milliseconds; 0 if
            unknown.
    """

    name: str
    service: str
    model: str
    address: str
    zone: str
    slots: int
    epoch: int = 0
    is_missing: bool = False
    born: int = 0
