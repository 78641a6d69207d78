"""Log lines and metrics about the voters and their leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import notes
from hickorylead.consensus import messages

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorylead.consensus import voter as voter_module

# Time without a leader after which this is reported, and interval of further
# reports, in seconds. Elections end sooner.
REPORT_AFTER_S = 5.0


class VoterMonitor:
    """Reports changes of the voters and of their leader."""

    def __init__(self, now: float) -> None:
        """Creates a monitor that has not seen a leader yet."""
        self._voters: tuple[str, ...] = ()
        self._leader = ""
        self._role = "follower"
        self._led_at = now
        self._next_report = now + REPORT_AFTER_S

    def measure_leaderless(self, now: float) -> float:
        """Returns the time since a leader was last known, in seconds."""
        return now - self._led_at

    def observe(
        self,
        voter: voter_module.Voter,
        heard_at: Mapping[str, float],
        now: float,
    ) -> list[notes.Note]:
        """Returns what has changed since the last call.

        Args:
            voter: The voter of this node.
            heard_at: When each other node was last heard of.
            now: Present time.
        """
        found = []
        if voter.voters != self._voters:
            found.append(
                notes.note(
                    "voters_changed",
                    before=list(self._voters),
                    voters=list(voter.voters),
                    term=voter.term,
                )
            )
            self._voters = voter.voters
        if voter.leader and voter.leader != self._leader:
            found.append(
                notes.note(
                    "leader_changed", leader=voter.leader, term=voter.term
                )
            )
            self._leader = voter.leader
        if voter.role != self._role:
            found += self._describe_role(voter, now)
            self._role = voter.role
        if voter.has_leader(now) or not voter.cluster:
            self._led_at = now
            self._next_report = now + REPORT_AFTER_S
        elif now >= self._next_report:
            self._next_report = now + REPORT_AFTER_S
            silent = [
                member
                for member in voter.voters
                if member != voter.member
                and now - heard_at.get(messages.get_node(member), 0.0)
                > REPORT_AFTER_S
            ]
            found.append(
                notes.note(
                    "no_leader",
                    level="error",
                    seconds=round(self.measure_leaderless(now), 1),
                    voters=list(voter.voters),
                    silent_voters=silent,
                    is_majority_silent=2 * len(silent) >= len(voter.voters),
                )
            )
        return found

    def _describe_role(
        self, voter: voter_module.Voter, now: float
    ) -> list[notes.Note]:
        """Returns why this voter leads no more, or wants to lead."""
        if self._role == "leader":
            return [
                notes.note(
                    "leadership_lost",
                    level="warning",
                    term=voter.term,
                    silent_ms=voter.measure_silences(now),
                )
            ]
        if voter.role == "candidate":
            return [
                notes.note(
                    "election_started",
                    term=voter.term,
                    last_contact_ms=round(
                        1000 * (now - voter.last_leader_contact_at)
                    ),
                )
            ]
        return []
