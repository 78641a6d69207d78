"""A request that is forwarded, and what replicas and callers say about it."""

from __future__ import annotations

import attrs

from hickorylead.configuration import document as document_module

Header = tuple[bytes, bytes]

# Why an attempt ended before it was sent: nothing answered in time.
CONNECT_TIMEOUT = "connect_timeout"


@attrs.frozen
class RequestMetadata:
    """What a caller says about a request, decoded from its headers.

    Attributes:
        attempt_id: The caller's id of this submission; replicas echo it.
        budget_s: How long the caller will wait, in seconds; None if unsaid.
        key: Key of a workspace; empty if none was shown.
        model: Model that it asks for; empty for plain services.
        prompt_tokens: Tokens of its prompt.
        max_output_tokens: Most tokens of its answer.
        last_event_id: Id of the last event that the caller has; 0 if none.
    """

    attempt_id: str
    budget_s: float | None = None
    key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: int = 0


@attrs.frozen
class Request:
    """A request as it is forwarded.

    Attributes:
        request_id: This gateway's own name for it.
        metadata: What the caller says about it.
        route: Its route.
        service: Service that was drawn from the route.
        workspace: Name of the caller's workspace; empty if none.
        method: HTTP method.
        target: Path and query, byte for byte as the caller sent them.
        headers: Headers to pass on.
        body: The whole body.
        urgency: Priority of its workspace or route; 0 is the most urgent.
        waited_s: How long it has waited here before it could be forwarded, in
            seconds.
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
        """Says whether the answer is a stream of events."""
        return self.route.kind is document_module.RouteKind.STREAM


@attrs.frozen
class Load:
    """Load that a replica told with an answer."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class ResponseHead:
    """The head of a replica's answer, decoded.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on to the caller.
        echoed_attempt_id: The attempt id that the replica repeats; empty if
            none.
        is_signed: Whether the replica signed it.
        not_run: Whether the replica says that it did not run the request.
        has_content_encoding: Whether something on the way changed the body's
            encoding.
        load: The replica's load, if told.
        limit_per_s: Requests a second that the replica takes from all gateways
            together, as long as it says so; None if it takes what comes.
        retry_after_s: How long the replica wants no request from this gateway,
            in seconds; None if unsaid.
        is_leaving: Whether the replica is about to end.
        malformed_headers: Names of headers whose values can't be read.
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
    """Where requests can be sent: a group's head, or a plain server.

    Attributes:
        name: Instance that takes the requests.
        service: Its service.
        model: Its model; empty for plain services.
        address: `ip:port`.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        epoch: Fencing number of the group; 0 for plain services.
        is_silent: Whether control nodes have not heard it for long.
        born: When its present life began, in Unix milliseconds; 0 if unsaid.
    """

    name: str
    service: str
    model: str
    address: str
    zone: str
    slots: int
    epoch: int = 0
    is_silent: bool = False
    born: int = 0
