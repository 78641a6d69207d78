"""A whole configuration as operators send it: routes, services, workspaces.

It is taken over whole under the operator's own version. The parts here are
plain data and the checks on them; formats belong to whoever reads them.
"""

from __future__ import annotations

import collections
import enum
import zlib

import attrs

# A packed configuration may unpack to much more than its size; this bounds it.
MAX_CONTENT_BYTES = 8 * 1024 * 1024


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen
class Target:
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go, and under which terms.

    Attributes:
        name: Name of the route.
        host: Value of the `Host` header.
        prefix: Start of the path; begins and ends with a slash.
        kind: What may be repeated.
        targets: Services with their weights.
        timeout_s: Longest time a caller is kept waiting, in seconds.
        objective_s: Time within which the answer should start, in seconds.
        max_event_gap_s: Longest pause between two events of a stream that still
            counts as on time, in seconds; 0 if there is no stream.
        priority: Rank; 0 is the most urgent.
        max_attempts: Replicas that one request may be sent to.
        needs_key: Whether callers must show a key of a workspace.
        has_prompts: Whether requests carry a prompt for a model.
        resumable: Whether a stream may go on at another replica.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    max_event_gap_s: float = 0.0
    priority: int = 1
    max_attempts: int = 1
    needs_key: bool = True
    has_prompts: bool = False
    resumable: bool = False

    @property
    def is_retryable(self) -> bool:
        """Says whether a request may run on more than one replica."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@attrs.frozen
class ModelProfile:
    """One model of an engine.

    Attributes:
        name: Name of the model.
        group_size: VMs that make one replica.
        initial_vm_share: Share of the VMs that the model needs at the start, 0
            to 1.
        time_factor: Factor on all times of a replica of this model.
        load_s: Time to load it from the weight store, in seconds.
        staged_load_s: Time to load it from the VM's own staging, in seconds.
    """

    name: str
    group_size: int
    initial_vm_share: float
    time_factor: float
    load_s: float
    staged_load_s: float


@attrs.frozen
class EngineProfile:
    """Figures of the engines of a service, for estimates of their times.

    Attributes:
        slots: Requests that a replica runs at once.
        kv_cache_tokens: Tokens that fit into a replica's memory.
        decode_step_s: Time of a step that writes one token a request, in
            seconds.
        decode_step_per_request_s: More for each request that writes, in
            seconds.
        decode_step_per_context_token_s: More for each token of context, in
            seconds.
        prefill_per_token_s: Time to read one token of a prompt, in seconds.
        prefill_chunk_tokens: Most tokens of prompts that are read in one step.
        steps_per_event: Steps between two events of a stream.
        models: The models.
        max_load_starts_per_s: Loads that may start in a second, over all VMs.
        max_concurrent_loads: Loads that the weight store serves at full speed
            at the same time, over all VMs; more of them slow each other down. 0
            if unsaid.
        max_staged_models: Models that a VM keeps staged.
        group_start_s: Time from the order to serve until a replica serves.
    """

    slots: int
    kv_cache_tokens: int
    decode_step_s: float
    decode_step_per_request_s: float
    decode_step_per_context_token_s: float
    prefill_per_token_s: float
    prefill_chunk_tokens: int
    steps_per_event: int
    models: tuple[ModelProfile, ...]
    max_load_starts_per_s: float
    max_concurrent_loads: int = 0
    max_staged_models: int = 1
    group_start_s: float = 0.3

    def find_model(self, name: str) -> ModelProfile | None:
        """Returns the model of that name, if there is one."""
        return next((m for m in self.models if m.name == name), None)


@attrs.frozen
class Service:
    """A service that routes lead to.

    Attributes:
        name: Name of the service.
        health_path: Path of its health check.
        max_connections: Connections that one replica takes from all callers; 0
            for no limit.
        engine: Figures of its engines; None for a plain service.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineProfile | None = None


@attrs.frozen
class Limits:
    """What callers may send, and how long they may take.

    Attributes:
        max_header_bytes: Longest head of a request, in bytes.
        max_body_bytes: Longest body of a request, in bytes.
        header_timeout_s: Longest time for the head of a request, in seconds.
        idle_timeout_s: How long a connection may be idle, in seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Workspace:
    """A workspace with the keys that its callers show.

    Attributes:
        name: Name that backend servers are told.
        keys: Keys that are valid.
        priority: Rank that goes before that of the route; None if it has none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen
class Document:
    """A whole configuration.

    Attributes:
        version: Version that the operator gave; the highest is in force.
        routes: All routes.
        services: All services.
        limits: What callers may send.
        workspaces: All workspaces; with none, no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    workspaces: tuple[Workspace, ...] = ()

    def find_service(self, name: str) -> Service | None:
        """Returns the service of that name, if there is one."""
        return next((s for s in self.services if s.name == name), None)


def check_document(document: Document) -> list[str]:
    """Returns what is wrong with a configuration; empty if nothing is."""
    problems = []
    if document.version < 1:
        problems.append("the version is not above 0")
    names = {service.name for service in document.services}
    if len(names) != len(document.services):
        problems.append("two services share a name")
    places = collections.Counter(
        (route.host.lower(), route.prefix) for route in document.routes
    )
    problems += [
        f"two routes share {host}{prefix}"
        for (host, prefix), count in places.items()
        if count > 1
    ]
    for route in document.routes:
        problems += _check_route(route, names)
    keys = collections.Counter(
        key for workspace in document.workspaces for key in workspace.keys
    )
    if any(count > 1 for count in keys.values()):
        # Which workspace a caller belongs to could not be told.
        problems.append("two workspaces share a key")
    return problems


def _check_route(route: Route, services: set[str]) -> list[str]:
    problems = [
        f"route {route.name} names the unknown service {target.service}"
        for target in route.targets
        if target.service not in services
    ]
    if any(target.weight < 0 for target in route.targets):
        problems.append(f"a weight of route {route.name} is below 0")
    if sum(target.weight for target in route.targets) <= 0:
        problems.append(f"the weights of route {route.name} add up to 0")
    if route.timeout_s <= 0:
        problems.append(f"the timeout of route {route.name} is 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        problems.append(f"the prefix of route {route.name} has no slashes")
    return problems


def compress_content(content: bytes) -> bytes:
    """Returns a configuration's bytes, made small for the log and the wire."""
    return zlib.compress(content, 1)


def decompress_content(packed: bytes) -> bytes:
    """Returns the bytes that were packed.

    Raises:
        ValueError: They are damaged or too many.
    """
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"damaged configuration: {error}") from error
    if not unpacker.eof:
        raise ValueError("the configuration is cut or too large")
    return content
