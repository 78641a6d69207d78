"""Simulated backend servers in simulated time, with a list of their runs."""

from __future__ import annotations

import collections

import attrs

from hickorylead.membership import announcements
from hickorylead_standins import batch, member


@attrs.define
class Run:
    """A run of a request on a server."""

    request_id: str
    attempt_id: str
    key: str
    at: float


@attrs.define
class Server:
    """A simulated backend server."""

    member: member.Member
    batch: batch.Batch
    load_s: float
    alive: bool = True
    paused_since: float = 0.0
    paused_until: float = 0.0
    loaded_at: float | None = None
    stepping: bool = False
    left_at: float | None = None
    runs: list[Run] = attrs.field(factory=list)
    streams: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    sent: dict[str, list[batch.Frame]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    service_s: float = 0.05
    # If set, the server refuses each request and requests this pause. The list
    # holds the time and the entry of each refusal.
    refusal_retry_after_s: float | None = None
    refusals: list[tuple[float, str]] = attrs.field(factory=list)

    @property
    def state(self) -> announcements.ServerState:
        """The state that it announces."""
        return self.member.state

    @property
    def is_plain(self) -> bool:
        """Whether it is a plain service."""
        return self.state.kind == announcements.KIND_PLAIN

    def is_up(self, now: float) -> bool:
        """Whether it is running and not paused."""
        return self.alive and now >= self.paused_until


def make_engine(
    zone: str,
    number: int,
    *,
    domain: str,
    checks_fence: bool = False,
    load_s: float = 2.0,
    speed: batch.Speed | None = None,
) -> Server:
    """Returns an idle engine."""
    vm = f"{zone}-vm{number:02}"
    state = announcements.ServerState(
        vm=vm,
        boot=1,
        zone=zone,
        domain=domain,
        address=vm,
        slots=8,
        keepalive_s=1.0,
    )
    return Server(
        member.Member(state, checks_fence=checks_fence),
        batch.Batch(speed or batch.Speed(step_s=0.05)),
        load_s,
    )


def make_plain(zone: str, service: str) -> Server:
    """Returns a plain service."""
    vm = f"{zone}-{service}"
    state = announcements.ServerState(
        vm=vm,
        boot=1,
        zone=zone,
        domain="-",
        address=vm,
        kind=announcements.KIND_PLAIN,
        phase=announcements.PHASE_READY,
        service=service,
        slots=64,
    )
    return Server(
        member.Member(state, checks_fence=False),
        batch.Batch(batch.Speed()),
        0.0,
    )
