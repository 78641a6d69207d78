"""Timeouts of the configuration log's voters, and how they add up.

The users' bound is the catch-up time: a machine that was removed stops counting
as lost once its successor has run for that long, and another machine may then
be lost at once. By then the successor must vote in place of the lost voter.
What has to happen after the loss, in the worst case that is allowed:

- the leader was lost, and its election ends in a split vote once: two longest
  election timeouts. The time without contact until a voter counts as missed
  passes meanwhile, since contacts before the election count for a new leader;
- the successor, which has started and found the others meanwhile, asks the new
  leader for the log: one join period;
- it receives the log and is added, the lost voter is removed: what is left.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class VoterOptions:
    """Timeouts after which voters react to a lost voter or leader.

    Attributes:
        heartbeat_s: Interval between two heartbeats of a leader, in seconds.
        election_min_s: Shortest time without a leader after which a voter
            starts an election, and longest time that a leader continues
            without a majority, in seconds.
        election_max_s: Longest time without a leader after which a voter
            starts an election, in seconds.
        first_election_max_s: Longest election timeout of a voter that has just
            started, in seconds; 0 for the usual timeout. After all voters were
            killed, there is no leader to wait for; if there is a leader, the
            trial vote keeps the new voter from deposing it.
        replace_after_s: Time without contact after which a voter is replaced,
            or removed from a set that stays large enough, in seconds; 0 if
            voters are never removed for this reason.
        min_voters: Smallest number of voters that removals leave.
        rejoin_after_s: Time without a leader after which a voter requests to
            join again, in seconds. A voter may have been removed while it was
            frozen. The log entry that removed it is not sent to it, so without
            this request it would request votes in vain for ever. A leader
            ignores the request of a member that is still a voter.
        join_period_s: Interval at which a member without a vote requests to
            receive the log, in seconds.
        zones: All availability zones, among which voters are spread.
    """

    heartbeat_s: float = 0.5
    election_min_s: float = 2.0
    election_max_s: float = 4.0
    first_election_max_s: float = 0.0
    replace_after_s: float = 0.0
    min_voters: int = 3
    rejoin_after_s: float = 8.0
    join_period_s: float = 1.0
    zones: tuple[str, ...] = ()


DEFAULT_OPTIONS = VoterOptions()

# Shares of the catch-up time; together with what is left for the changes
# themselves they make one: 2 * 0.35 + 0.125 + 0.175.
MAX_ELECTION_SHARE = 0.35
JOIN_SHARE = 0.125
REPLACE_SHARE = 0.5
# Longest election timeout that is needed, in seconds: syncs to a disk 25 times
# slower than usual delay the event loop by 50 ms at most.
MAX_ELECTION_S = 1.4
MAX_HEARTBEAT_S = 0.15
HEARTBEATS_PER_ELECTION = 4


def derive_options(*, catch_up_s: float, max_lost_disks: int) -> VoterOptions:
    """Returns options with which a lost voter is replaced in time.

    Args:
        catch_up_s: Time after which a successor that has started is relied
            upon, in seconds.
        max_lost_disks: Number of disks that may be lost at the same time.
    """
    election_max_s = min(MAX_ELECTION_S, MAX_ELECTION_SHARE * catch_up_s)
    election_min_s = election_max_s / 2
    return VoterOptions(
        heartbeat_s=min(
            MAX_HEARTBEAT_S, election_min_s / HEARTBEATS_PER_ELECTION
        ),
        election_min_s=election_min_s,
        election_max_s=election_max_s,
        first_election_max_s=0.4,
        replace_after_s=REPLACE_SHARE * catch_up_s,
        min_voters=2 * max_lost_disks + 1,
        rejoin_after_s=2.0,
        join_period_s=JOIN_SHARE * catch_up_s,
    )
