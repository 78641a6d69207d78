"""Whether a voter that does not lead holds a recent configuration."""

from __future__ import annotations

import math

# In place of the time of a follower's last reply: the leader has received none.
NO_REPLY = -1.0


class Freshness:
    """What the messages of leaders prove about the entries of a voter.

    The arrival of a message proves nothing about its age: it may have waited
    while the process was stopped. Each reply to a leader therefore has the time
    of this voter's clock, and the leader's next messages repeat it, so they
    were sent after that time.
    """

    def __init__(self, max_age_s: float) -> None:
        """Makes the state of a voter that has heard of no leader.

        Args:
            max_age_s: Age from which a message of a leader proves nothing, in
                seconds.
        """
        self._max_age_s = max_age_s
        self._is_caught_up = False
        self._sent_after = -math.inf

    def record_append(
        self, *, is_caught_up: bool, echoed_at: float, now: float
    ) -> None:
        """Records a message of a leader.

        Args:
            is_caught_up: Whether this voter has applied all that the leader had
                committed, including an entry of its own term. Before it has
                committed one, a leader does not know all committed entries.
            echoed_at: Time of this voter's last reply that the leader had
                received, by this voter's clock; 0 from a leader of a build that
                repeats no times.
            now: Present time.
        """
        self._is_caught_up = is_caught_up
        self._sent_after = echoed_at or now

    def is_current(self, now: float) -> bool:
        """Returns whether all that was committed recently is applied here."""
        if self._sent_after == NO_REPLY:
            return False
        # A time in the future is that of a clock before a restart of the VM.
        return (
            self._is_caught_up and 0 <= now - self._sent_after < self._max_age_s
        )
