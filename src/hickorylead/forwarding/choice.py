"""The choice of a replica for a request, by estimated time to its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

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

# A replica of another zone is taken if it is this much faster, in seconds: a
# round trip is about 2 ms, and bytes between zones are dear. Nobody feels the
# rest: first events come some 120 ms before their objective.
REMOTE_S = 0.012
# Reports are late, so the same replica looks best to every gateway at once.
# A random part of the estimate, of this size, spreads them.
SPREAD_S = 0.006
# A failure lately counts like this much more time, in seconds: about half of
# the shortest objective, so a replica that fails each second request loses
# nearly all of its traffic while others are free.
FAILURE_S = 0.15
# A replica that may turn requests away counts like one that failed lately.
DOUBT_S = FAILURE_S
# A replica that control nodes miss is a last choice but one, in seconds.
SILENT_S = 0.5
# Requests beyond the slots of a replica that it may be given; it queues a few.
QUEUE_SHARE = 0.25


@attrs.frozen
class Choice:
    """The replica chosen, and how many were weighed.

    Attributes:
        replica: The replica.
        estimate_s: Estimated time to the first token, in seconds.
        weighed: Replicas that were weighed.
        withheld: A better one that may get no request without a permit.
        paused: Replicas that want no request for now.
    """

    replica: model.Replica
    estimate_s: float
    weighed: int
    withheld: model.Replica | None = None
    paused: int = 0


@attrs.frozen
class NoChoice:
    """No replica can take the request now.

    Attributes:
        known: Replicas that are known, whether or not they can.
        is_full: Whether there are some, but all are full.
        withheld: The best of those that would take it but for a permit.
        permit_s: When there may be one for it, in seconds; 0 if unknown.
        pause_s: When the first replica that wants no request for now takes
            some again, in seconds; 0 if there is none.
    """

    known: int
    is_full: bool
    withheld: model.Replica | None = None
    permit_s: float = 0.0
    pause_s: float = 0.0

    @property
    def wait_s(self) -> float:
        """When a replica may take the request, in seconds; 0 if unknown."""
        if self.withheld is not None:
            return self.permit_s
        return 0.0 if self.is_full else self.pause_s


@attrs.frozen
class _Candidate:
    """A replica that a request could be sent to.

    Attributes:
        replica: The replica.
        estimate_s: Estimated time to the first token, in seconds.
        permit_s: When there may be a permit for it, in seconds.
    """

    replica: model.Replica
    estimate_s: float
    permit_s: float = 0.0


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
        rng: random.Random,
    ) -> None:
        """Makes a chooser.

        Args:
            zone: Zone of the gateway.
            directory: Replicas that may be used.
            health: What was seen of them.
            notices: What they said about requests to come.
            permits: Permits for those that name a rate limit.
            rng: Source of the spread.
        """
        self._zone = zone
        self._view = directory
        self._book = health
        self._notices = notices
        self._permits = permits
        self._rng = rng

    def find(self, name: str) -> model.Replica | None:
        """Returns the replica whose requests an instance takes."""
        return self._view.find(name)

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
        """Returns the replica that should answer first.

        Args:
            request: The request.
            engine: Figures of the service's engines; None if it is plain.
            avoid: Replicas that this request has failed at.
            may_probe: Whether it may find out if a replica that turned requests
                away takes some again.
            max_own_requests: Most requests of this gateway that one replica may
                run at once, each on its own connection; None for no limit.
            now: Present time.
        """
        known = self._list_staying(request, now)
        pauses = self._find_pauses(known, now)
        ready = [r for r in known if r.name not in pauses] if pauses else known
        pause_s = min(pauses.values(), default=0.0)
        best: _Candidate | None = None
        withheld: _Candidate | None = None
        full = 0
        most = 1.0 + QUEUE_SHARE
        # With nothing better, one that seems to have stopped is tried again:
        # to refuse all would turn a few slow passes into an outage.
        usable = [r for r in ready if not self._book.is_stalled(r, now)]
        for replica in usable or ready:
            if replica.name in avoid:
                continue
            running = self._book.count_requests(replica, now)
            own_requests = self._book.get(replica).own_requests
            if running >= replica.slots * most or (
                max_own_requests is not None
                and own_requests >= max_own_requests
            ):
                full += 1
                continue
            estimate_s = self._estimate(replica, request, engine, running, now)
            if self._notices.is_likely_to_refuse(
                replica, now, may_probe=may_probe
            ):
                estimate_s += DOUBT_S
            if self._permits.may_send(replica, now):
                found = _Candidate(replica, estimate_s)
                best = found if best is None else min(best, found, key=_rank)
                continue
            # It named a limit for all gateways together. Each sent it what
            # seemed right by itself, and it got many times what it takes.
            permit_s = self._permits.get_wait_remaining_s(replica, now)
            found = _Candidate(replica, estimate_s, permit_s)
            withheld = (
                found if withheld is None else min(withheld, found, key=_rank)
            )
        if best is None:
            return NoChoice(
                len(known),
                full > 0,
                withheld.replica if withheld else None,
                withheld.permit_s if withheld else 0.0,
                pause_s,
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
        )

    def _list_staying(
        self, request: model.Request, now: float
    ) -> list[model.Replica]:
        """Returns the replicas for a request that are not about to end."""
        known = self._view.list_replicas(
            request.service, request.metadata.model
        )
        if not len(self._notices):
            return known
        return [r for r in known if not self._notices.is_leaving(r, now)]

    def _find_pauses(
        self, known: Iterable[model.Replica], now: float
    ) -> dict[str, float]:
        """Returns the replicas that want no request, and for how long."""
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
        estimate_s = self._rng.random() * SPREAD_S
        if replica.zone != self._zone:
            estimate_s += REMOTE_S
        estimate_s += FAILURE_S * self._book.count_failures(replica, now)
        if replica.is_silent:
            estimate_s += SILENT_S
        if engine is None:
            # Work times are not told; a busy slot counts like a tenth of the
            # objective, a waiting place like half of it.
            busy = min(running, replica.slots)
            waiting = max(0, running - replica.slots + 1)
            share = 0.1 * busy / replica.slots + 0.5 * waiting / replica.slots
            return estimate_s + request.route.objective_s * share
        figures = engine.find_model(replica.model)
        pace = figures.time_factor if figures else 1.0
        reading = (
            self._book.get(replica).reading + request.metadata.prompt_tokens
        )
        step_s = engine.decode_step_s + engine.decode_step_per_request_s * (
            running + 1
        )
        waiting = max(0, running + 1 - replica.slots)
        # A full replica lets a newcomer wait until one of its requests ends.
        usual_s = step_s * 100 * waiting / replica.slots
        return estimate_s + pace * (
            step_s * engine.steps_per_event
            + reading * engine.prefill_per_token_s
            + usual_s
        )


def _rank(candidate: _Candidate) -> tuple[float, float]:
    """Returns what the better of two candidates has the lesser of."""
    return candidate.permit_s, candidate.estimate_s
