"""The choice of a replica, under late and partial knowledge.

Two replicas are drawn for a request and the better one is taken. Where the
prompt has a known prefix, the four replicas that rendezvous hashing gives for
it are weighed as well, with a gain, so that requests with one prefix meet its
cache without any index of what is cached where.
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

# A report holds for the time a load takes to change by much; one this much
# older than now is taken as made this long ago.
REPORT_LAG_S = 1.0
OVERCOMMIT = 1.0
# Where the prefix is cached a short wait costs less than reading it elsewhere.
PREFERRED_OVERCOMMIT = 1.5
URGENT_OVERCOMMIT = 2.0
URGENT = 1
PREFERRED = 4
# Loads are in units of a full batch.
OTHER_ZONE_COST = 0.25
PREFIX_GAIN = 0.8


@attrs.frozen
class Weighed:
    """A replica that was weighed for a request.

    Attributes:
        group: The replica.
        cost: Its cost; the lowest is taken.
        preferred: Whether the prompt's prefix leads to it.
    """

    group: str
    cost: float
    preferred: bool


@attrs.frozen
class Choice:
    """The replica taken, and all that were weighed for it."""

    replica: messages.Replica
    candidates: tuple[Weighed, ...]


@attrs.frozen
class Unavailable:
    """No replica can take the request now.

    Attributes:
        has_untried_replica: Whether the service has any replica that this
            request has not failed on; if so, waiting may help.
        pause_s: When the first of these takes work again, in seconds, if each
            of them asked for a pause; 0 if not.
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
        book: health.HealthTracker,
        rng: random.Random,
    ) -> None:
        """Makes a policy.

        Args:
            zone: Zone of the entry.
            table: Replicas that serve.
            book: What this entry has seen of them.
            rng: Source of the draws.
        """
        self._zone = zone
        self._table = table
        self._book = book
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
            failed: Groups on which it has failed; they are not taken again.
            now: Present time.
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
        pauses = [self._book.get(r.group).paused_until - now for r in usable]
        pause_s = max(0.0, min(pauses, default=0.0))
        return Unavailable(has_untried_replica=bool(usable), pause_s=pause_s)

    def _is_healthy(self, replica: messages.Replica, now: float) -> bool:
        health = self._book.get(replica.group)
        return now >= max(health.ejected_until, health.paused_until)

    def _choose_among(
        self,
        candidates: list[messages.Replica],
        request: model.Request,
        now: float,
    ) -> Choice | None:
        if not candidates:
            return None
        preferred = self._prefer(candidates, request)
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        choice = self._take_best([*preferred, *drawn], preferred, request, now)
        if choice is None:
            # All drawn are full: look at every one before giving up.
            choice = self._take_best(candidates, preferred, request, now)
        return choice

    def _prefer(
        self, candidates: list[messages.Replica], request: model.Request
    ) -> list[messages.Replica]:
        if not request.prefix_hashes:
            return []
        by_group = {replica.group: replica for replica in candidates}
        ranked = rendezvous.rank_names(request.prefix_hashes[0], by_group)
        return [by_group[group] for group in ranked[:PREFERRED]]

    def _take_best(
        self,
        candidates: list[messages.Replica],
        preferred: list[messages.Replica],
        request: model.Request,
        now: float,
    ) -> Choice | None:
        weighed: list[tuple[Weighed, messages.Replica]] = []
        seen: set[str] = set()
        for replica in candidates:
            if replica.group in seen:
                continue
            seen.add(replica.group)
            load = self._estimate_load(replica, now)
            is_preferred = replica in preferred
            if load >= _get_limit(replica, request, is_preferred):
                continue
            cost = self._weigh(replica, load, is_preferred, now)
            weighed.append(
                (Weighed(replica.group, cost, is_preferred), replica)
            )
        if not weighed:
            return None
        best = min(weighed, key=lambda pair: pair[0].cost)
        return Choice(best[1], tuple(pair[0] for pair in weighed))

    def _estimate_load(self, replica: messages.Replica, now: float) -> int:
        reported = self._table.loads.get(replica.group)
        if reported is None:
            return self._book.get(replica.group).inflight
        return self._book.estimate_load(
            replica.group,
            reported.requests,
            reported.reported_at - REPORT_LAG_S,
        )

    def _weigh(
        self,
        replica: messages.Replica,
        load: int,
        preferred: bool,
        now: float,
    ) -> float:
        slowness = self._book.get_slowness(replica.group, now)
        cost = (load + 1) / replica.slots * slowness + (slowness - 1)
        if replica.zone != self._zone:
            cost += OTHER_ZONE_COST
        if preferred:
            cost -= PREFIX_GAIN
        return cost


def _get_limit(
    replica: messages.Replica, request: model.Request, preferred: bool
) -> float:
    if request.urgency <= URGENT:
        return replica.slots * URGENT_OVERCOMMIT
    if preferred:
        return replica.slots * PREFERRED_OVERCOMMIT
    return replica.slots * OVERCOMMIT
