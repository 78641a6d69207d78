"""The choice of a replica for a request, by estimated time to first token."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.forwarding import reachability as reachability_module

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    import random

    from hickorylead.configuration import document as document_module
    from hickorylead.forwarding import (
        health as health_module,
        model,
        replica_directory,
    )
    from hickorylead.notices import notice_store as notice_store_module
    from hickorylead.ratelimits import permit_pool as permit_pool_module
    from hickorylead.relaying import messages, relay_directory

# Added to the estimate for a replica of another zone, in seconds. A round trip
# between zones takes about 2 ms; the rest of the penalty is there because
# traffic between zones is expensive. It does no harm to objectives: first
# events arrive some 120 ms before theirs.
REMOTE_ZONE_PENALTY_S = 0.012
# Maximum random time that is added to each estimate, in seconds. Load reports
# are late, so without it all gateways would choose the same replica.
JITTER_S = 0.006
# Added to the estimate for each recent failure, in seconds: about half of the
# shortest objective of streams, so a replica that fails every second request
# loses nearly all of its traffic while other replicas are free.
FAILURE_PENALTY_S = 0.15
# Added to the estimate for a replica that is likely to refuse the request, in
# seconds: as much as for one recent failure.
PROBATION_PENALTY_S = FAILURE_PENALTY_S
# Added to the estimate for a replica from which coordinators receive no
# heartbeats, in seconds. Only a replica that seems to have stalled is a worse
# choice.
MISSING_PENALTY_S = 0.5
# Number of requests that may be queued at a replica, as a share of its slots:
# a replica is full when it has this many requests more than slots.
QUEUE_SHARE = 0.25


@attrs.frozen
class Choice:
    """The chosen replica, and how many candidates there were.

    Attributes:
        replica: The replica.
        estimate_s: Estimated time to the first token, in seconds.
        candidates: Replicas whose estimates were compared.
        withheld: A better replica, not chosen because no permit is left for it.
        paused_count: Number of replicas that requested a pause.
        relay: Gateway through which to send it; None if directly.
    """

    replica: model.Replica
    estimate_s: float
    candidates: int
    withheld: model.Replica | None = None
    paused_count: int = 0
    relay: relay_directory.Relay | None = None


@attrs.frozen
class NoChoice:
    """No replica can accept the request now.

    Attributes:
        known: Known replicas, whether or not they can accept it.
        is_full: Whether any replica was passed over because it is full.
        withheld: The best of the replicas that only lack a permit.
        permit_s: Time until there may be a permit for it, in seconds; 0 if
            unknown.
        pause_s: Time until the first paused replica accepts requests again, in
            seconds; 0 if none is paused.
        unreachable_count: Number of replicas that are passed over because
            neither this gateway nor any known relay can connect to them.
    """

    known: int
    is_full: bool
    withheld: model.Replica | None = None
    permit_s: float = 0.0
    pause_s: float = 0.0
    unreachable_count: int = 0

    @property
    def is_unreachable(self) -> bool:
        """Whether all other replicas are out of the question."""
        return (
            self.unreachable_count > 0
            and not self.is_full
            and self.withheld is None
            and not self.pause_s
        )

    @property
    def wait_s(self) -> float:
        """Seconds until a replica may accept the request; 0 if unknown."""
        if self.withheld is not None:
            return self.permit_s
        return 0.0 if self.is_full else self.pause_s


@attrs.frozen
class _Candidate:
    """A replica that a request could be sent to.

    Attributes:
        replica: The replica.
        estimate_s: Estimated time to the first token, in seconds.
        permit_s: Time until there may be a permit for it, in seconds.
    """

    replica: model.Replica
    estimate_s: float
    permit_s: float = 0.0


@attrs.frozen
class _Limits:
    """Limits of one choice; see `Chooser.choose`."""

    may_probe: bool
    max_own_requests: int | None


@attrs.frozen
class _Comparison:
    """Outcome of comparing some replicas.

    Attributes:
        best: The best that may be sent the request.
        withheld: The best of those that only lack a permit.
        full_count: Number of full replicas.
    """

    best: _Candidate | None
    withheld: _Candidate | None
    full_count: int

    def combine(self, other: _Comparison) -> _Comparison:
        """Returns the outcome for the replicas of both comparisons."""
        withheld = [c for c in (self.withheld, other.withheld) if c is not None]
        return _Comparison(
            self.best or other.best,
            min(withheld, key=_rank, default=None),
            self.full_count + other.full_count,
        )


class Chooser:
    """Chooses replicas for one gateway."""

    def __init__(
        self,
        *,
        zone: str,
        directory: replica_directory.ReplicaDirectory,
        health: health_module.HealthTracker,
        notices: notice_store_module.NoticeStore,
        permits: permit_pool_module.PermitPool,
        reachability: reachability_module.Reachability,
        relays: relay_directory.RelayDirectory,
        rng: random.Random,
    ) -> None:
        """Makes a chooser.

        Args:
            zone: Zone of the gateway.
            directory: Replicas that may be used.
            health: Load, stalls and failures observed of them.
            notices: Pauses and departures that they announced.
            permits: Permits for those that name a rate limit.
            reachability: Those to which this gateway can connect.
            relays: Gateways that relay requests to the others.
            rng: Source of the jitter.
        """
        self._zone = zone
        self._directory = directory
        self._health = health
        self._notices = notices
        self._permits = permits
        self._reachability = reachability
        self._relays = relays
        self._rng = rng

    def find(self, name: str) -> model.Replica | None:
        """Returns the replica for which an instance receives requests."""
        return self._directory.find(name)

    def choose(
        self,
        request: model.Request,
        engine: document_module.EngineProfile | None,
        *,
        avoid: Collection[str],
        may_probe: bool,
        max_own_requests: int | None = None,
        now: float,
    ) -> Choice | NoChoice:
        """Returns the replica with the lowest estimated time to first token.

        Args:
            request: The request.
            engine: Profile of the service's engines; None if it is plain.
            avoid: Replicas on which this request has failed.
            may_probe: Whether the request may probe whether a replica that
                refused requests accepts them again.
            max_own_requests: Most requests of this gateway that one replica may
                run at once, each on its own connection; None for no limit.
            now: Present time.
        """
        known = self._list_not_leaving(request, now)
        pauses = self._find_pauses(known, now)
        ready = [r for r in known if r.name not in pauses] if pauses else known
        limits = _Limits(may_probe, max_own_requests)
        direct, others = self._split_by_reachability(ready)
        found = self._compare(direct, request, engine, avoid, limits, now)
        relay = None
        unreachable_count = 0
        if found.best is None and others:
            # A replica without a relay is left out: an attempt would end
            # without a connection, and only after a timeout.
            relays = self._find_relays(others, now)
            relayed = [
                r for r in others if reachability_module.find_scope(r) in relays
            ]
            unreachable_count = len(others) - len(relayed)
            found = self._compare(
                relayed, request, engine, avoid, limits, now
            ).combine(found)
            if found.best is not None:
                scope = reachability_module.find_scope(found.best.replica)
                relay = relays[scope]
        best, withheld = found.best, found.withheld
        if best is None:
            return NoChoice(
                len(known),
                found.full_count > 0,
                withheld.replica if withheld else None,
                withheld.permit_s if withheld else 0.0,
                min(pauses.values(), default=0.0),
                unreachable_count,
            )
        is_better = (
            withheld is not None and withheld.estimate_s < best.estimate_s
        )
        return Choice(
            best.replica,
            best.estimate_s,
            len(known),
            withheld.replica if withheld and is_better else None,
            len(pauses),
            relay,
        )

    def _split_by_reachability(
        self, ready: list[model.Replica]
    ) -> tuple[list[model.Replica], list[model.Replica]]:
        """Returns the replicas to connect to directly, and the others."""
        if not self._reachability.has_failures():
            return ready, []
        direct = [r for r in ready if self._reachability.is_reachable(r)]
        others = [r for r in ready if not self._reachability.is_reachable(r)]
        return direct, others

    def _find_relays(
        self, replicas: list[model.Replica], now: float
    ) -> dict[messages.Scope, relay_directory.Relay]:
        """Returns a relay for each service and zone of replicas with one."""
        scopes = {reachability_module.find_scope(r): None for r in replicas}
        relays = {scope: self._relays.choose(scope, now) for scope in scopes}
        return {scope: found for scope, found in relays.items() if found}

    def _compare(
        self,
        ready: list[model.Replica],
        request: model.Request,
        engine: document_module.EngineProfile | None,
        avoid: Collection[str],
        limits: _Limits,
        now: float,
    ) -> _Comparison:
        """Returns the best of some replicas, and the best without a permit."""
        best: _Candidate | None = None
        withheld: _Candidate | None = None
        full_count = 0
        max_utilization = 1.0 + QUEUE_SHARE
        # If all ready replicas seem to have stalled, requests are sent to them
        # anyway: refusing all requests would turn a few slow passes into an
        # outage.
        usable = [r for r in ready if not self._health.is_stalled(r, now)]
        for replica in usable or ready:
            if replica.name in avoid:
                continue
            running = self._health.count_requests(replica, now)
            own_requests = self._health.get(replica).own_requests
            if running >= replica.slots * max_utilization or (
                limits.max_own_requests is not None
                and own_requests >= limits.max_own_requests
            ):
                full_count += 1
                continue
            estimate_s = self._estimate(replica, request, engine, running, now)
            if self._notices.is_likely_to_refuse(
                replica, now, may_probe=limits.may_probe
            ):
                estimate_s += PROBATION_PENALTY_S
            if self._permits.may_send(replica, now):
                found = _Candidate(replica, estimate_s)
                best = found if best is None else min(best, found, key=_rank)
                continue
            # The replica named a rate limit that all gateways share, and this
            # gateway has no permit left for it. If gateways sent requests
            # without permits, their total rate would be many times the limit.
            permit_s = self._permits.get_wait_remaining_s(replica, now)
            found = _Candidate(replica, estimate_s, permit_s)
            withheld = (
                found if withheld is None else min(withheld, found, key=_rank)
            )
        return _Comparison(best, withheld, full_count)

    def _list_not_leaving(
        self, request: model.Request, now: float
    ) -> list[model.Replica]:
        """Returns the replicas for a request that are not about to stop."""
        known = self._directory.list_replicas(
            request.service, request.metadata.model
        )
        if not len(self._notices):
            return known
        return [r for r in known if not self._notices.is_leaving(r, now)]

    def _find_pauses(
        self, known: Iterable[model.Replica], now: float
    ) -> dict[str, float]:
        """Returns the names of paused replicas, with the seconds left."""
        if not len(self._notices):
            return {}
        pauses = {
            r.name: self._notices.get_pause_remaining_s(r, now) for r in known
        }
        return {name: left_s for name, left_s in pauses.items() if left_s}

    def _estimate(
        self,
        replica: model.Replica,
        request: model.Request,
        engine: document_module.EngineProfile | None,
        running: int,
        now: float,
    ) -> float:
        estimate_s = self._rng.random() * JITTER_S
        if replica.zone != self._zone:
            estimate_s += REMOTE_ZONE_PENALTY_S
        estimate_s += FAILURE_PENALTY_S * self._health.count_failures(
            replica, now
        )
        if replica.is_missing:
            estimate_s += MISSING_PENALTY_S
        if engine is None:
            # Plain services report no processing times. If all slots of a
            # replica are busy, they add a tenth of the objective to its
            # estimate; as many queued requests as slots add half of it.
            busy = min(running, replica.slots)
            waiting = max(0, running - replica.slots + 1)
            share = 0.1 * busy / replica.slots + 0.5 * waiting / replica.slots
            return estimate_s + request.route.objective_s * share
        profile = engine.find_model(replica.model)
        time_factor = profile.time_factor if profile else 1.0
        prefill_tokens = (
            self._health.get(replica).prefill_tokens
            + request.metadata.prompt_tokens
        )
        step_s = engine.decode_step_s + engine.decode_step_per_request_s * (
            running + 1
        )
        waiting = max(0, running + 1 - replica.slots)
        # On a full replica a new request waits until another request ends.
        queue_s = step_s * 100 * waiting / replica.slots
        return estimate_s + time_factor * (
            step_s * engine.steps_per_event
            + prefill_tokens * engine.prefill_per_token_s
            + queue_s
        )


def _rank(candidate: _Candidate) -> tuple[float, float]:
    """Returns the sort key of a candidate; the better one sorts first."""
    return candidate.permit_s, candidate.estimate_s
