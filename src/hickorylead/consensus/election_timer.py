"""When a voter without contact to a leader starts an election."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from hickorylead.consensus import options as options_module
    from hickorylead.turns import own_pauses


class ElectionTimer:
    """A timer with a random timeout, restarted by each contact."""

    def __init__(
        self,
        options: options_module.VoterOptions,
        *,
        pauses: own_pauses.OwnPauses,
        rng: random.Random,
        now: float,
    ) -> None:
        """Starts the timer of a voter that has just started.

        Args:
            options: Limits of the timeouts.
            pauses: Pauses of the process, which do not count.
            rng: Source of the jitter of timeouts.
            now: Present time.
        """
        self._options = options
        self._pauses = pauses
        self._rng = rng
        self._started_at = now
        self._timeout_s = 0.0
        self.restart(now)
        if options.first_election_max_s:
            longest_s = options.first_election_max_s
            self._timeout_s = rng.uniform(longest_s / 4, longest_s)

    def restart(self, now: float) -> None:
        """Starts the timer again, with another timeout."""
        self._started_at = now
        self._timeout_s = self._rng.uniform(
            self._options.election_min_s, self._options.election_max_s
        )

    def expire(self) -> None:
        """Makes the timer expire at once."""
        self._timeout_s = 0.0

    def is_expired(self, now: float) -> bool:
        """Returns whether an election is due."""
        waited_s = self._pauses.measure_silence(self._started_at, now)
        return waited_s >= self._timeout_s
