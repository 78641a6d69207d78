"""The choice of a replica, from load reports that are late and partial.

Two replicas are drawn at random for a request and the one with the lower cost
is chosen. If the prompt has a known prefix, the four replicas to which
rendezvous hashing maps it are scored as well, with a discount. So requests
with the same prefix reach replicas that have it cached, without an index of
the caches.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection
    import random

    from hickorylead.requests import model
    from hickorylead.routing import health, messages, table

# Assumed age of a load report when it arrives, in seconds. The load of a
# replica takes about as long to change much.
REPORT_LAG_S = 1.0
OVERCOMMIT = 1.0
# Load, as a multiple of its slots, up to which a preferred replica gets
# requests. It has the prompt's prefix cached, and a short wait for it costs
# less than the prefill on another replica.
PREFERRED_OVERCOMMIT = 1.5
URGENT_OVERCOMMIT = 2.0
URGENT_LEVEL = 1
PREFERRED_COUNT = 4
# The unit of these costs is the cost of a full batch.
OTHER_ZONE_COST = 0.25
PREFIX_GAIN = 0.8


@attrs.frozen
class Candidate:
    """A replica that was scored for a request.

    Attributes:
        group: Group of the replica.
        cost: Its cost; the replica with the lowest one is chosen.
        preferred: Whether the hash of the prompt's prefix maps to it.
    """

    group: str
    cost: float
    preferred: bool


@attrs.frozen
class Choice:
    """The chosen replica, and all replicas that were scored."""

    replica: messages.Replica
    candidates: tuple[Candidate, ...]


@attrs.frozen
class Unavailable:
    """No replica can accept the request now.

    Attributes:
        has_untried_replica: Whether the service has a replica on which this
            request has not failed; if so, waiting may help.
        pause_s: Seconds until the first of these replicas accepts requests
            again, if each of them asked for a pause; otherwise 0.
    """

    has_untried_replica: bool
    pause_s: float = 0.0


class LoadBalancingPolicy:
    """Chooses replicas for one entry."""

    def __init__(
        self,
        *,
        zone: str,
        table: table.ReplicaTable,
        health: health.HealthTracker,
        rng: random.Random,
    ) -> None:
        """Makes a policy.

        Args:
            zone: Zone of the entry.
            table: Replicas that accept requests.
            health: Health of the replicas, as observed by this entry.
            rng: Random number generator for the draws.
        """
        self._zone = zone
        self._table = table
        self._health = health
        self._rng = rng

    def choose(
        self,
        request: model.Request,
        failed: Collection[str],
        now: float,
    ) -> Choice | Unavailable:
        """Returns the replica for a request.

        Args:
            request: The request.
            failed: Groups on which it has failed; they are not chosen again.
            now: Current time.
        """
        usable = [
            replica
            for replica in self._table.list_replicas(request.service)
            if replica.group not in failed
        ]
        healthy = [r for r in usable if self._is_healthy(r, now)]
        near = [r for r in healthy if r.zone == self._zone]
        for candidates in (near, healthy):
            choice = self._choose_among(candidates, request, now)
            if choice is not None:
                return choice
        pauses = [self._health.get(r.group).paused_until - now for r in usable]
        pause_s = max(0.0, min(pauses, default=0.0))
        return Unavailable(has_untried_replica=bool(usable), pause_s=pause_s)

    def _is_healthy(self, replica: messages.Replica, now: float) -> bool:
        health = self._health.get(replica.group)
        return now >= max(health.ejected_until, health.paused_until)

    def _choose_among(
        self,
        candidates: list[messages.Replica],
        request: model.Request,
        now: float,
    ) -> Choice | None:
        if not candidates:
            return None
        preferred = self._list_preferred(candidates, request)
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        choice = self._choose_best(
            [*preferred, *drawn], preferred, request, now
        )
        if choice is None:
            # The drawn and the preferred replicas are all full: the other
            # replicas are considered before giving up.
            choice = self._choose_best(candidates, preferred, request, now)
        return choice

    def _list_preferred(
        self, candidates: list[messages.Replica], request: model.Request
    ) -> list[messages.Replica]:
        if not request.prefix_hashes:
            return []
        by_group = {replica.group: replica for replica in candidates}
        ranked = rendezvous.rank_names(request.prefix_hashes[0], by_group)
        return [by_group[group] for group in ranked[:PREFERRED_COUNT]]

    def _choose_best(
        self,
        candidates: list[messages.Replica],
        preferred: list[messages.Replica],
        request: model.Request,
        now: float,
    ) -> Choice | None:
        scored: list[tuple[Candidate, messages.Replica]] = []
        seen: set[str] = set()
        for replica in candidates:
            if replica.group in seen:
                continue
            seen.add(replica.group)
            load = self._estimate_load(replica, now)
            is_preferred = replica in preferred
            if load >= _get_limit(replica, request, is_preferred):
                continue
            cost = self._score(replica, load, is_preferred, now)
            scored.append(
                (Candidate(replica.group, cost, is_preferred), replica)
            )
        if not scored:
            return None
        best = min(scored, key=lambda pair: pair[0].cost)
        return Choice(best[1], tuple(pair[0] for pair in scored))

    def _estimate_load(self, replica: messages.Replica, now: float) -> int:
        reported = self._table.loads.get(replica.group)
        if reported is None:
            return self._health.get(replica.group).inflight
        return self._health.estimate_load(
            replica.group,
            reported.requests,
            reported.reported_at - REPORT_LAG_S,
        )

    def _score(
        self,
        replica: messages.Replica,
        load: int,
        preferred: bool,
        now: float,
    ) -> float:
        slowness = self._health.get_slowness(replica.group, now)
        cost = (load + 1) / replica.slots * slowness + (slowness - 1)
        if replica.zone != self._zone:
            cost += OTHER_ZONE_COST
        if preferred:
            cost -= PREFIX_GAIN
        return cost


def _get_limit(
    replica: messages.Replica, request: model.Request, preferred: bool
) -> float:
    if request.urgency <= URGENT_LEVEL:
        return replica.slots * URGENT_OVERCOMMIT
    if preferred:
        return replica.slots * PREFERRED_OVERCOMMIT
    return replica.slots * OVERCOMMIT
