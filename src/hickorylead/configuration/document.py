"""A full configuration as operators send it: routes, services, workspaces.

It replaces the previous one completely, under the operator's own version. This
module has the data classes and their validation; encoding and decoding are left
to its users.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING
import zlib

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Largest size of a decompressed configuration, in bytes. Without a limit, a
# small compressed configuration could expand to far more memory than its own
# size.
MAX_CONTENT_BYTES = 8 * 1024 * 1024
# Largest version: messages and the log hold it in 64 bits with a sign.
MAX_VERSION = 2**63 - 1


class RouteKind(enum.Enum):
    """Whether the requests of a route may be sent again."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen
class Target:
    """A service that a route sends requests to, with its weight."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go, and their limits.

    Attributes:
        name: Name of the route.
        host: Value of the `Host` header.
        prefix: Start of the path; begins and ends with a slash.
        kind: Whether its requests may be sent again.
        targets: Services with their weights.
        timeout_s: Longest time that a caller waits, in seconds.
        objective_s: Time within which the response should start, in seconds.
        max_event_gap_s: Longest time between two events of a stream that is
            still on time, in seconds; 0 if the route has no streams.
        priority: Priority; 0 is the most urgent.
        max_attempts: Replicas that one request may be sent to.
        needs_key: Whether callers must send a key of a workspace.
        has_prompts: Whether requests carry a prompt for a model.
        resumable: Whether another replica may continue a stream.
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
        """Whether a request may run on more than one replica."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@attrs.frozen
class ModelProfile:
    """Performance parameters of one model of an engine.

    Attributes:
        name: Name of the model.
        group_size: VMs of one replica.
        initial_vm_share: Share of the VMs that the model needs at the start, 0
            to 1.
        time_factor: Factor that multiplies all durations of a replica of this
            model.
        load_s: Time to load it from the weight store, in seconds.
        staged_load_s: Time to load it on a VM that has it staged, in seconds.
    """

    name: str
    group_size: int
    initial_vm_share: float
    time_factor: float
    load_s: float
    staged_load_s: float


@attrs.frozen
class EngineProfile:
    """Performance parameters of a service's engines, to estimate durations.

    Attributes:
        slots: Requests that a replica runs at the same time.
        kv_cache_tokens: Tokens that fit into the KV cache of a replica.
        decode_step_s: Base time of a step that decodes one token for each
            request, in seconds.
        decode_step_per_request_s: Additional step time for each request that is
            decoding, in seconds.
        decode_step_per_context_token_s: Additional step time for each token of
            context, in seconds.
        prefill_per_token_s: Time to prefill one token of a prompt, in seconds.
        prefill_chunk_tokens: Most prompt tokens that are prefilled in one step.
        steps_per_event: Steps between two events of a stream.
        models: The models.
        max_load_starts_per_s: Loads that may start per second, over all VMs.
        max_concurrent_loads: Loads that the weight store serves at full speed
            at the same time, over all VMs; more of them slow each other down. 0
            if not specified.
        max_staged_models: Models that a VM keeps staged.
        group_start_s: Time from the order to serve until a replica serves, in
            seconds.
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
    """A service that routes send requests to.

    Attributes:
        name: Name of the service.
        health_path: Path of its health check.
        max_connections: Connections that one replica accepts from all callers;
            0 for no limit.
        engine: Performance parameters of its engines; None for a plain service.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineProfile | None = None


@attrs.frozen
class Limits:
    """Limits on the size and the duration of requests.

    Attributes:
        max_header_bytes: Largest head of a request, in bytes.
        max_body_bytes: Largest body of a request, in bytes.
        header_timeout_s: Longest time to receive the head of a request, in
            seconds.
        idle_timeout_s: How long a connection may be idle, in seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Workspace:
    """A workspace with the keys that its callers send.

    Attributes:
        name: Name that is sent to backend servers.
        keys: Valid keys.
        priority: Priority that overrides that of the route; None if it has
            none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen
class Document:
    """A full configuration.

    Attributes:
        version: Version assigned by the operator; the highest is in force.
        routes: All routes.
        services: All services.
        limits: Limits on requests.
        workspaces: All workspaces; if there are none, no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    workspaces: tuple[Workspace, ...] = ()

    def find_service(self, name: str) -> Service | None:
        """Returns the service of that name, if there is one."""
        return next((s for s in self.services if s.name == name), None)


def validate_document(
    document: Document, changed: Iterable[Route] | None = None
) -> list[str]:
    """Returns the problems of a configuration; empty if it is valid.

    Args:
        document: The configuration.
        changed: Its routes that were not part of a valid configuration with
            services of the same names; None if all of them are.
    """
    problems = []
    if document.version < 1:
        problems.append("the version is not above 0")
    if document.version > MAX_VERSION:
        problems.append(f"the version is above {MAX_VERSION}")
    names = {service.name for service in document.services}
    if len(names) != len(document.services):
        problems.append("two services share a name")
    prefixes = collections.Counter(
        (route.host.lower(), route.prefix) for route in document.routes
    )
    problems += [
        f"two routes share {host}{prefix}"
        for (host, prefix), count in prefixes.items()
        if count > 1
    ]
    for route in document.routes if changed is None else changed:
        problems += _validate_route(route, names)
    keys = collections.Counter(
        key for workspace in document.workspaces for key in set(workspace.keys)
    )
    if any(count > 1 for count in keys.values()):
        # A shared key would not identify the workspace of a caller.
        problems.append("two workspaces share a key")
    return problems


def _validate_route(route: Route, services: set[str]) -> list[str]:
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
    """Compresses an encoded configuration for the log and messages."""
    return zlib.compress(content, 1)


def decompress_content(compressed: bytes) -> bytes:
    """Decompresses an encoded configuration.

    Raises:
        ValueError: It is damaged or larger than MAX_CONTENT_BYTES.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"damaged configuration: {error}") from error
    if not decompressor.eof:
        raise ValueError("the configuration is truncated or too large")
    return content
