"""Finds what lost runs have in common, by spectrum-based fault localization.

A trait is the hash of a whole request, or of a part of its prompt that other
requests share. Servers that end while running requests with a trait count
against it, and runs that their server survives count for it; see Abreu et al.,
"On the Accuracy of Spectrum-based Fault Localization" (2007). A hot trait is in
every lost batch, so the number of losses alone decides nothing.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

# Number of servers that must end one after the other, each under a run that was
# sent after the previous end, before their common traits are blocked. Servers
# that end together, such as those of a zone, count once.
BLOCK_THRESHOLD = 3
# The same number from which their common traits are suspected.
SUSPICION_THRESHOLD = 2
# Differences between the times that several gateways report, in seconds.
TIME_TOLERANCE_S = 0.02


@attrs.frozen
class LostRun:
    """A run that was not known to be sound when its server ended.

    Attributes:
        traits: Traits of the request, without those that recent runs proved
            sound.
        sent_at: When the request was sent to the server.
        proven: Those traits that had a sound run some time ago.
    """

    traits: frozenset[int]
    sent_at: float
    proven: frozenset[int] = frozenset()


@attrs.frozen
class End:
    """The end of one incarnation of a server.

    Attributes:
        name: Identifies the incarnation.
        lost_at: When its connections were lost.
        runs: Runs that may have ended it.
    """

    name: str
    lost_at: float
    runs: tuple[LostRun, ...]


@attrs.frozen
class Suspect:
    """Traits that explain the ends of servers.

    Attributes:
        traits: Traits that always came together; a request with all of them is
            expected to end its server.
        count: Number of servers that ended one after the other.
        lost_at: When the last of these servers ended.
        ends: Names of the incarnations that the traits explain.
    """

    traits: frozenset[int]
    count: int
    lost_at: float
    ends: frozenset[str]


@attrs.frozen
class _Loss:
    name: str
    lost_at: float
    sent_at: float


def localize(
    ends: Collection[End], cleared: Mapping[int, float]
) -> list[Suspect]:
    """Returns the fewest traits that explain the ends, the strongest first.

    Each round takes the traits with the most unexplained ends, preferably such
    that never had a sound run. Traits that explain the same ends cannot be told
    apart: those of one request become one suspect.

    Args:
        ends: Servers that ended.
        cleared: For each trait that a sound run had, the time up to which its
            losses do not count.
    """
    losses = _collect_losses(ends, cleared)
    proven = {t for end in ends for run in end.runs for t in run.proven}

    def rank(trait: int) -> tuple[bool, bool]:
        return trait in cleared, trait in proven

    by_name = {end.name: end for end in ends}
    suspects: list[Suspect] = []
    while losses:
        best = min(losses, key=lambda t: (rank(t), -len(losses[t]), t))
        found = losses[best]
        names = frozenset(loss.name for loss in found)
        tied = frozenset(
            trait
            for trait, other in losses.items()
            if len(other) == len(found)
            and rank(trait) == rank(best)
            and names == {loss.name for loss in other}
        )
        last = max(found, key=lambda loss: (loss.lost_at, loss.name))
        for group in _group_by_run(tied, by_name[last.name].runs):
            suspect = Suspect(
                group, _count_consecutive(found), last.lost_at, names
            )
            suspects.append(suspect)
        losses = _drop_explained(losses, names)
    return suspects


def _collect_losses(
    ends: Iterable[End], cleared: Mapping[int, float]
) -> dict[int, list[_Loss]]:
    """Returns the losses of each trait that has enough of them."""
    by_trait: dict[int, dict[str, _Loss]] = collections.defaultdict(dict)
    for end in ends:
        for run in end.runs:
            for trait in run.traits:
                if end.lost_at <= cleared.get(trait, -1e9):
                    continue
                known = by_trait[trait].get(end.name)
                if known is None or known.sent_at < run.sent_at:
                    loss = _Loss(end.name, end.lost_at, run.sent_at)
                    by_trait[trait][end.name] = loss
    return {
        trait: list(found.values())
        for trait, found in by_trait.items()
        if len(found) >= SUSPICION_THRESHOLD
        and _count_consecutive(found.values()) >= SUSPICION_THRESHOLD
    }


def _drop_explained(
    losses: Mapping[int, list[_Loss]], names: Collection[str]
) -> dict[int, list[_Loss]]:
    rest = {
        trait: [loss for loss in found if loss.name not in names]
        for trait, found in losses.items()
    }
    return {
        trait: found
        for trait, found in rest.items()
        if _count_consecutive(found) >= SUSPICION_THRESHOLD
    }


def _count_consecutive(losses: Iterable[_Loss]) -> int:
    """Returns how many servers ended one after the other.

    A run that was sent before the previous end is no independent trial.
    """
    count = 0
    previous = -1e9
    for loss in sorted(losses, key=lambda loss: loss.lost_at):
        if loss.sent_at >= previous - TIME_TOLERANCE_S:
            count += 1
            previous = loss.lost_at
    return count


def _group_by_run(
    tied: frozenset[int], runs: Iterable[LostRun]
) -> list[frozenset[int]]:
    """Returns the tied traits of each run, without subsets of others."""
    found = {run.traits & tied for run in runs} - {frozenset()}
    groups = [g for g in found if not any(g < other for other in found)]
    return sorted(groups, key=sorted)
