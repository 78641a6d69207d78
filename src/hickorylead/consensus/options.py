"""Timeouts and sizes of the configuration log's voters."""

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
        replace_after_s: Time without contact after which a voter is removed if
            another voter of its zone is reachable, in seconds; 0 if voters are
            never removed for this reason.
        min_voters: Smallest number of voters that such removals leave.
        rejoin_after_s: Time without a leader after which a voter requests to
            join again, in seconds. A voter may have been removed while it was
            frozen. The log entry that removed it is not sent to it, so without
            this request it would request votes in vain for ever. A leader
            ignores the request of a member that is still a voter.
    """

    heartbeat_s: float = 0.5
    election_min_s: float = 2.0
    election_max_s: float = 4.0
    first_election_max_s: float = 0.0
    replace_after_s: float = 0.0
    min_voters: int = 3
    rejoin_after_s: float = 8.0


DEFAULT_OPTIONS = VoterOptions()
