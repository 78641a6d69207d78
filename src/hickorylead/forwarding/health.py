"""What one gateway has seen of each replica: load, stalls, failures."""

from __future__ import annotations

import attrs

from hickorylead.forwarding import model

# A replica whose streams all stopped is left alone for this long, in seconds:
# within it control nodes take a group apart that really lost a member. One that
# only was slow is wanted back soon.
STALL_HOLD_S = 1.2
# The largest prompts of a model are remembered for about this long, in seconds.
PROMPT_MEMORY_S = 10.0
# After a failure a replica is used less for this long, in seconds.
FAILURE_MEMORY_S = 5.0
# A load told by a replica counts for this long, in seconds; some requests
# have come and gone after it.
LOAD_MEMORY_S = 1.0


@attrs.define
class ReplicaStats:
    """One replica, as one gateway sees it.

    Attributes:
        epoch: Fencing number of the group that all this is about.
        own_requests: Own requests that run there.
        reading: Tokens of own prompts that have given nothing yet.
        other_gateway_requests: Requests of the other gateways of the zone, as
            last told.
        told: Load that the replica told, less own requests at that time.
        told_at: When it told it.
        progress_at: When it last gave something to any own request.
        stalled_until: Until when it is left alone.
        noticed_until: The same, if running streams here showed the stall.
        failures: Failures lately; falls with time.
        failed_at: When it last failed.
    """

    epoch: int = 0
    own_requests: int = 0
    reading: int = 0
    other_gateway_requests: int = 0
    told: int = 0
    told_at: float = -1e9
    progress_at: float = -1e9
    stalled_until: float = -1e9
    noticed_until: float = -1e9
    failures: float = 0.0
    failed_at: float = -1e9


class HealthTracker:
    """All replicas, by the name of the instance that takes requests."""

    def __init__(self) -> None:
        """Makes an empty book."""
        self.stats: dict[str, ReplicaStats] = {}
        self._prompts: dict[str, tuple[float, float]] = {}

    def get(self, replica: model.Replica) -> ReplicaStats:
        """Returns what was seen of a replica."""
        seen = self.stats.get(replica.name)
        if seen is None:
            seen = self.stats[replica.name] = ReplicaStats(epoch=replica.epoch)
        elif seen.epoch != replica.epoch:
            # The head serves in another group now: what was seen of the
            # former one says nothing about it.
            seen.epoch = replica.epoch
            seen.stalled_until = seen.noticed_until = -1e9
            seen.failures = 0.0
        return seen

    def note_prompt(self, name: str, tokens: int, now: float) -> None:
        """Takes the size of a prompt for a model."""
        if tokens >= self.find_largest_prompt(name, now):
            self._prompts[name] = (float(tokens), now)

    def find_largest_prompt(self, name: str, now: float) -> float:
        """Returns the tokens of the largest prompts of a model lately."""
        tokens, at = self._prompts.get(name, (0.0, now))
        return tokens * 0.5 ** ((now - at) / PROMPT_MEMORY_S)

    def note_load(
        self, replica: model.Replica, load: model.Load, now: float
    ) -> None:
        """Takes the load that a replica told with an answer."""
        seen = self.get(replica)
        seen.told = max(0, load.running + load.waiting - seen.own_requests)
        seen.told_at = now

    def note_failure(self, replica: model.Replica, now: float) -> None:
        """Takes a failure of a replica."""
        seen = self.get(replica)
        seen.failures = self.count_failures(replica, now) + 1.0
        seen.failed_at = now

    def note_success(self, replica: model.Replica) -> None:
        """Takes a whole answer of a replica."""
        seen = self.get(replica)
        seen.failures = max(0.0, seen.failures - 0.5)

    def count_failures(self, replica: model.Replica, now: float) -> float:
        """Returns the failures of a replica, old ones counted less."""
        seen = self.get(replica)
        age_s = now - seen.failed_at
        return seen.failures * max(0.0, 1.0 - age_s / FAILURE_MEMORY_S)

    def count_requests(self, replica: model.Replica, now: float) -> int:
        """Returns an estimate of the requests that run at a replica."""
        seen = self.get(replica)
        told = seen.told if now - seen.told_at < LOAD_MEMORY_S else 0
        return seen.own_requests + max(told, seen.other_gateway_requests)

    def note_progress(self, replica: model.Replica, now: float) -> None:
        """Takes that a replica gave something to a request.

        One that was left alone for a stall is wanted back at once.
        """
        seen = self.get(replica)
        seen.progress_at = now
        seen.stalled_until = seen.noticed_until = -1e9

    def mark_stalled(
        self, replica: model.Replica, now: float, *, is_sure: bool = True
    ) -> None:
        """Leaves a replica alone whose streams have all stopped.

        Args:
            replica: The replica.
            now: Present time.
            is_sure: Whether it was seen here, by streams that ran.
        """
        seen = self.get(replica)
        seen.stalled_until = now + STALL_HOLD_S
        if is_sure:
            seen.noticed_until = seen.stalled_until

    def is_stalled(self, replica: model.Replica, now: float) -> bool:
        """Says whether a replica is left alone."""
        return now < self.get(replica).stalled_until

    def list_stalled(self, now: float) -> tuple[str, ...]:
        """Returns the replicas whose stall others should know.

        What was told from there would come back as news from each of them, and
        what only waited here says little.
        """
        return tuple(
            n for n, seen in self.stats.items() if now < seen.noticed_until
        )

    def list_progressing(
        self, within_s: float, now: float
    ) -> tuple[tuple[str, float], ...]:
        """Returns the replicas that gave something lately, and how long ago."""
        return tuple(
            (name, now - seen.progress_at)
            for name, seen in self.stats.items()
            if now - seen.progress_at < within_s
        )

    def retain(self, names: set[str]) -> None:
        """Drops replicas that are no more and have no requests."""
        for name in [n for n in self.stats if n not in names]:
            if not self.stats[name].own_requests:
                del self.stats[name]
