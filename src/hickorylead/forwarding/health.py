"""Load, stalls and failures of each replica, as observed by one gateway."""

from __future__ import annotations

import attrs

from hickorylead.forwarding import model

# Time for which a stalled replica is avoided, in seconds. If the group has lost
# a member, coordinators disband the group within this time. If the replica was
# only slow, it should be used again soon.
STALL_HOLD_S = 1.2
# Half-life of the recorded size of a model's largest prompt, in seconds: the
# size of an old prompt counts less and less.
PROMPT_HALF_LIFE_S = 10.0
# Time for which a failure makes a replica less likely to be chosen, in seconds.
FAILURE_RETENTION_S = 5.0
# Time for which the load that a replica reported is used, in seconds. After
# that, so many requests have started and ended that the report is outdated.
LOAD_RETENTION_S = 1.0


@attrs.define
class ReplicaStats:
    """State of one replica, as observed by one gateway.

    Attributes:
        epoch: Fencing number of the group that the other values describe.
        own_requests: Requests of this gateway that run on the replica.
        prefill_tokens: Prompt tokens of own requests without any output yet.
        other_gateway_requests: Requests of the other gateways of the zone, as
            last reported.
        reported_requests: Requests that the replica last reported, without the
            own ones at that time.
        reported_at: When it reported them.
        progress_at: When it last sent output for any own request.
        stalled_until: When the replica is no longer avoided for a stall.
        confirmed_until: Same as `stalled_until` if this gateway confirmed the
            stall itself.
        failures: Recent failures; reduced with time and by each success.
        failed_at: When it last failed.
    """

    epoch: int = 0
    own_requests: int = 0
    prefill_tokens: int = 0
    other_gateway_requests: int = 0
    reported_requests: int = 0
    reported_at: float = -1e9
    progress_at: float = -1e9
    stalled_until: float = -1e9
    confirmed_until: float = -1e9
    failures: float = 0.0
    failed_at: float = -1e9


class HealthTracker:
    """Statistics of all replicas, by the instance that receives requests."""

    def __init__(self) -> None:
        """Makes a tracker without replicas."""
        self.stats: dict[str, ReplicaStats] = {}
        self._prompts: dict[str, tuple[float, float]] = {}

    def get(self, replica: model.Replica) -> ReplicaStats:
        """Returns the statistics of a replica."""
        stats = self.stats.get(replica.name)
        if stats is None:
            stats = self.stats[replica.name] = ReplicaStats(epoch=replica.epoch)
        elif stats.epoch != replica.epoch:
            # The server is now the head of another group; stalls and failures
            # of the previous group do not apply to the new one.
            stats.epoch = replica.epoch
            stats.stalled_until = stats.confirmed_until = -1e9
            stats.failures = 0.0
        return stats

    def record_prompt(self, name: str, tokens: int, now: float) -> None:
        """Records the size of a prompt for a model."""
        if tokens >= self.find_largest_prompt(name, now):
            self._prompts[name] = (float(tokens), now)

    def find_largest_prompt(self, name: str, now: float) -> float:
        """Returns the tokens of the largest recent prompt of a model."""
        tokens, at = self._prompts.get(name, (0.0, now))
        return tokens * 0.5 ** ((now - at) / PROMPT_HALF_LIFE_S)

    def record_load(
        self, replica: model.Replica, load: model.Load, now: float
    ) -> None:
        """Records the load that a replica reported with a response."""
        stats = self.get(replica)
        stats.reported_requests = max(
            0, load.running + load.waiting - stats.own_requests
        )
        stats.reported_at = now

    def record_failure(self, replica: model.Replica, now: float) -> None:
        """Records a failure of a replica."""
        stats = self.get(replica)
        stats.failures = self.count_failures(replica, now) + 1.0
        stats.failed_at = now

    def record_success(self, replica: model.Replica) -> None:
        """Records a complete response of a replica."""
        stats = self.get(replica)
        stats.failures = max(0.0, stats.failures - 0.5)

    def count_failures(self, replica: model.Replica, now: float) -> float:
        """Returns the failures of a replica; they count less with age."""
        stats = self.get(replica)
        age_s = now - stats.failed_at
        return stats.failures * max(0.0, 1.0 - age_s / FAILURE_RETENTION_S)

    def count_requests(self, replica: model.Replica, now: float) -> int:
        """Returns an estimate of the requests that run at a replica."""
        stats = self.get(replica)
        reported = (
            stats.reported_requests
            if now - stats.reported_at < LOAD_RETENTION_S
            else 0
        )
        return stats.own_requests + max(reported, stats.other_gateway_requests)

    def record_progress(self, replica: model.Replica, now: float) -> None:
        """Records that a replica sent output for a request.

        A replica that was avoided for a stall may be used again at once.
        """
        stats = self.get(replica)
        stats.progress_at = now
        stats.stalled_until = stats.confirmed_until = -1e9

    def mark_stalled(
        self, replica: model.Replica, now: float, *, is_confirmed: bool = True
    ) -> None:
        """Avoids a replica whose streams have all stopped.

        Args:
            replica: The replica.
            now: Present time.
            is_confirmed: Whether this gateway confirmed the stall itself, by
                running streams or a connection timeout.
        """
        stats = self.get(replica)
        stats.stalled_until = now + STALL_HOLD_S
        if is_confirmed:
            stats.confirmed_until = stats.stalled_until

    def is_stalled(self, replica: model.Replica, now: float) -> bool:
        """Returns whether a replica is avoided for a stall."""
        return now < self.get(replica).stalled_until

    def list_stalled(self, now: float) -> tuple[str, ...]:
        """Returns the replicas whose stall is to be reported to other gateways.

        Only stalls confirmed here are reported. A stall that another gateway
        reported would come back as new from each gateway, and streams that
        wait for their first event are weak evidence.
        """
        return tuple(
            n for n, stats in self.stats.items() if now < stats.confirmed_until
        )

    def list_progressing(
        self, within_s: float, now: float
    ) -> tuple[tuple[str, float], ...]:
        """Returns the replicas with recent output, and its age in seconds."""
        return tuple(
            (name, now - stats.progress_at)
            for name, stats in self.stats.items()
            if now - stats.progress_at < within_s
        )

    def retain(self, names: set[str]) -> None:
        """Drops replicas that are not in `names` and have no requests."""
        for name in [n for n in self.stats if n not in names]:
            if not self.stats[name].own_requests:
                del self.stats[name]
