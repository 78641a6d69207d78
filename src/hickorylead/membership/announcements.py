"""Announcements of backend servers, as in the published interface.

A server sends its announcement to one entry of its zone about once a second.
The announced state, not the orders sent to the server, decides whether it may
serve.
"""

from __future__ import annotations

import attrs

KIND_ENGINE = "engine"
KIND_PLAIN = "plain"

PHASE_IDLE = "idle"
PHASE_LOADING = "loading"
PHASE_READY = "ready"
PHASE_LEAVING = "leaving"
PHASES = (PHASE_IDLE, PHASE_LOADING, PHASE_READY, PHASE_LEAVING)


@attrs.frozen
class ServerState:
    """The part of an announcement that rarely changes.

    Attributes:
        vm: Name of the backend server's VM, unique in the deployment.
        boot: Wall-clock second at which the server started.
        zone: Availability zone.
        domain: Fabric domain; replica groups do not cross it.
        address: `ip:port` of its HTTP interface.
        kind: `engine` or `plain`.
        phase: One of PHASES.
        service: Service of the group, or of the plain server.
        group: Replica group it belongs to; empty if none.
        generation: Generation of the group's member list.
        rank: Its rank in the group; rank 0 accepts requests.
        size: VMs in the group.
        weights: Weights in memory, named as in `Service.weights`.
        fence: Highest fencing number it has received.
        checks_fence: Whether it refuses orders with a lower fencing number.
        slots: Number of requests that it runs at the same time.
        keepalive_s: Longest gap between two frames of a live stream, in
            seconds.
    """

    vm: str
    boot: int
    zone: str
    domain: str
    address: str
    kind: str = KIND_ENGINE
    phase: str = PHASE_IDLE
    service: str = ""
    group: str = ""
    generation: int = 0
    rank: int = 0
    size: int = 0
    weights: str = ""
    fence: int = 0
    checks_fence: bool = False
    slots: int = 1
    keepalive_s: float = 1.0


@attrs.frozen
class Load:
    """The load of a server as it last reported it.

    Attributes:
        running: Requests in the batch.
        queued: Requests waiting for a slot.
    """

    running: int = 0
    queued: int = 0


@attrs.frozen
class CacheEvents:
    """Prefix-cache events; a gap in the sequence means lost events.

    Attributes:
        first: Sequence number of the first event.
        added: Prefix hashes stored.
        removed: Prefix hashes evicted.
    """

    first: int = 0
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen
class Announcement:
    """One announcement of a backend server."""

    state: ServerState
    load: Load = Load()
    cache: CacheEvents = CacheEvents()


def validate_state(state: ServerState) -> list[str]:
    """Returns the problems of an announced state; empty if it is valid."""
    problems = [
        f"{name} is empty"
        for name in ("vm", "zone", "domain", "address")
        if not getattr(state, name)
    ]
    if state.kind not in (KIND_ENGINE, KIND_PLAIN):
        problems.append(f"kind {state.kind!r} is unknown")
    if state.phase not in PHASES:
        problems.append(f"phase {state.phase!r} is unknown")
    if state.slots < 1:
        problems.append("slots is below 1")
    if not 0 < state.keepalive_s <= 3600:
        problems.append("keepalive_s is not within 0..3600")
    if state.group and not 0 <= state.rank < state.size:
        problems.append("rank is not within the size of the group")
    return problems
