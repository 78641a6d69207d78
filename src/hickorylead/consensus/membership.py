"""Which voters the configuration log should have next.

A set of n voters tolerates the loss of (n - 1) // 2 of them. With f the number
of VMs that may be lost at the same time, the smallest set has 2f + 1 voters. A
set of 2f + 2 tolerates no more than that, so a VM that was replaced and still
votes leaves one loss too few. At the smallest size, a successor therefore takes
the place of its predecessor:

- A voter without contact stays until its successor votes as well. Removing
  it first would leave 2f voters: if it is only cut off and f others lose their
  disks meanwhile, the disks that remain would be no majority. A voter whose
  disk is certainly lost is removed first, as its node has joined anew.
- A voter that lives stays until its successor votes: one change adds the
  successor and names the voter that leaves, the next one removes that voter.
  Since the log names it, the next leader completes what another one has begun.

Sets of 2f + 3 and more tolerate a replaced VM besides f losses, so they take in
whoever joins.

Nobody reports which VM a new one replaces. It is taken to be a voter without
contact, or else the one that has been in the new VM's zone for longest.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hickorylead.configuration import changes

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class Candidate:
    """A reachable member without a vote.

    Attributes:
        member: The member.
        is_caught_up: Whether it holds all committed entries. Only then is it
            made a voter.
        is_founder: Whether it was started together with the whole system, so
            that it is no VM's successor.
        was_voter: Whether it has been a voter before.
    """

    member: str
    is_caught_up: bool = True
    is_founder: bool = False
    was_voter: bool = False

    @property
    def completes_first_set(self) -> bool:
        """Whether it was started with the first voters and never voted."""
        return self.is_founder and not self.was_voter

    @property
    def is_new(self) -> bool:
        """Whether it may be the successor of another VM."""
        return not self.is_founder and not self.was_voter


@attrs.frozen
class Situation:
    """What a leader knows when it decides about the voters.

    Attributes:
        voters: The voters in the order of their first admission; former voters
            that were admitted again come first.
        candidates: Reachable members without a vote.
        smallest: Smallest number of voters, 2f + 1.
        leaving: The voter whose successor was added; empty if none.
        lost: Voters that are certainly lost, as a newer incarnation of their
            node has joined.
        missed: Other voters without contact, the longest missed first.
        is_any_silent: Whether another voter does not reply at present, but is
            not missed yet.
        zones: All availability zones.
    """

    voters: tuple[str, ...]
    candidates: tuple[Candidate, ...]
    smallest: int
    leaving: str = ""
    lost: tuple[str, ...] = ()
    missed: tuple[str, ...] = ()
    is_any_silent: bool = False
    zones: tuple[str, ...] = ()

    @property
    def gone(self) -> tuple[str, ...]:
        """The voters that are lost or missed."""
        return (*self.lost, *self.missed)


def choose_voters(situation: Situation) -> changes.SetVoters | None:
    """Returns the next change of the voters; None if there should be none.

    The new set differs from the present one by one voter.
    """
    if situation.leaving in situation.voters:
        return _remove(situation, situation.leaving)
    count = len(situation.voters)
    if count < situation.smallest:
        return _fill(situation)
    if count == situation.smallest:
        return _change_smallest(situation)
    if count == situation.smallest + 1 and situation.gone:
        return _remove(situation, situation.gone[0])
    if count == situation.smallest + 1:
        return _add(situation, situation.candidates)
    return _change_larger(situation)


def _fill(situation: Situation) -> changes.SetVoters | None:
    zones = _count_zones(situation.voters)
    # A former voter may itself have been replaced, so it comes last.
    return _add(
        situation,
        sorted(
            situation.candidates,
            key=lambda c: (c.was_voter, zones[_get_zone(c.member)]),
        ),
    )


def _change_smallest(situation: Situation) -> changes.SetVoters | None:
    if situation.lost:
        # Its disk is lost as well, so its vote protects nothing any more.
        is_ready = any(c.is_caught_up for c in situation.candidates)
        return _remove(situation, situation.lost[0]) if is_ready else None
    if situation.missed:
        filled = _fill(situation)
        if filled is None:
            return None
        # The next leader may not miss that voter yet, or not any more.
        return attrs.evolve(filled, leaving=situation.missed[0])
    if situation.is_any_silent:
        # The silent voter may be the one that a new VM replaces.
        return None
    zones = _count_zones(situation.voters)
    for candidate in situation.candidates:
        in_zone = zones[_get_zone(candidate.member)]
        if max(zones.values()) - in_zone > 1:
            zone = max(zones, key=lambda name: zones[name])
            return _add(situation, [candidate], _find_oldest(situation, zone))
        if candidate.is_new and in_zone:
            zone = _get_zone(candidate.member)
            return _add(situation, [candidate], _find_oldest(situation, zone))
        if in_zone < max(zones.values()) and _is_balanced(
            (*situation.voters, candidate.member), situation.zones
        ):
            return _add(situation, [candidate])
    founders = [c for c in situation.candidates if c.completes_first_set]
    return _add(situation, founders) if len(founders) > 1 else None


def _change_larger(situation: Situation) -> changes.SetVoters | None:
    if situation.lost:
        return _remove(situation, situation.lost[0])
    # A zone without any reachable voter may be partitioned as a whole, and
    # will return.
    reachable_zones = {
        _get_zone(voter)
        for voter in situation.voters
        if voter not in situation.missed
    }
    removable = [
        voter
        for voter in situation.missed
        if _get_zone(voter) in reachable_zones
    ]
    if removable:
        rest = _remove(situation, removable[0])
        # An even smallest set tolerates no more than the present one.
        if (
            len(removable) > 1
            or len(rest.voters) != situation.smallest + 1
            or _is_balanced(rest.voters, situation.zones)
        ):
            return rest
    return _add(situation, situation.candidates)


def _add(
    situation: Situation, candidates: Iterable[Candidate], leaving: str = ""
) -> changes.SetVoters | None:
    for candidate in candidates:
        if not candidate.is_caught_up:
            continue
        if candidate.was_voter:
            voters = (candidate.member, *situation.voters)
        else:
            voters = (*situation.voters, candidate.member)
        return changes.SetVoters(voters, leaving)
    return None


def _remove(situation: Situation, removed: str) -> changes.SetVoters:
    return changes.SetVoters(
        tuple(voter for voter in situation.voters if voter != removed)
    )


def _find_oldest(situation: Situation, zone: str) -> str:
    return next(v for v in situation.voters if _get_zone(v) == zone)


def _count_zones(voters: Iterable[str]) -> collections.Counter[str]:
    return collections.Counter(_get_zone(voter) for voter in voters)


def _is_balanced(voters: Iterable[str], zones: Iterable[str]) -> bool:
    """Returns whether all zones have the same number of voters."""
    counts = _count_zones(voters)
    return len({counts[zone] for zone in (*zones, *counts)}) == 1


def _get_zone(member: str) -> str:
    return member.partition("/")[0]
