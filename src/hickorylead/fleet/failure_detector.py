"""Which backend servers are taken for dead, and why."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.fleet import instances, registry as registry_module

# Heartbeat periods without a heartbeat after which a server is asked for its
# state. Heartbeats spread by a tenth, and one that got no answer within its
# second goes to the next control node.
SILENCE_PERIODS = 1.5
# A question that got no answer is put again after this, in seconds.
PROBE_INTERVAL_S = 0.7
# One that answered is not suspected again for this long, in seconds.
CLEARED_S = 1.0
# A replica that gave something to a gateway within this time is not dead,
# whatever control nodes hear of it, in seconds: a report period of a gateway
# and the longest pass of a replica that works.
OUTPUT_TIMEOUT_S = 0.45


@attrs.define
class _Suspicion:
    since: float
    asked_at: float
    unanswered: int = 0
    answered_at: float = -1e9


class FailureDetector:
    """Backend servers that may be dead.

    A server that is silent, or whose replica gives nothing any more, is asked
    for its state. If it does not answer that either it is taken for dead,
    unless a gateway still gets something from its replica: then it is only
    cut off from here, and taking its group apart would end good work.
    """

    def __init__(self, heartbeat_s: float) -> None:
        """Makes a book without suspects.

        Args:
            heartbeat_s: Pause between heartbeats, in seconds.
        """
        self.silence_s = SILENCE_PERIODS * heartbeat_s
        self._suspicions: dict[str, _Suspicion] = {}
        self._cleared: dict[str, float] = {}
        self._flows: dict[str, float] = {}

    def add_suspects(
        self, members: Iterable[instances.Instance], now: float
    ) -> list[instances.Instance]:
        """Notes suspects; returns those that are to be asked now."""
        asked = []
        for member in members:
            found = self._suspicions.get(member.name)
            if member.silent:
                continue
            if found is None:
                if now - self._cleared.get(member.name, -1e9) < CLEARED_S:
                    continue
                self._suspicions[member.name] = _Suspicion(now, now)
                asked.append(member)
            elif now - found.asked_at >= PROBE_INTERVAL_S:
                found.asked_at = now
                asked.append(member)
        return asked

    def handle_report(self, name: str, *, answered: bool, now: float) -> None:
        """Takes whether a server answered the question for its state."""
        found = self._suspicions.get(name)
        if found is None:
            return
        if answered:
            del self._suspicions[name]
            self._cleared[name] = now
        else:
            found.unanswered += 1

    def clear_suspicion(self, name: str) -> None:
        """Takes a heartbeat of a server: it lives."""
        self._suspicions.pop(name, None)

    def record_output(self, head: str, now: float) -> None:
        """Takes that a gateway got something from a replica at a time."""
        self._flows[head] = max(now, self._flows.get(head, now))

    def list_lost(
        self, registry: registry_module.Registry, now: float
    ) -> frozenset[str]:
        """Returns the servers that are taken for dead."""
        self._flows = {
            h: t for h, t in self._flows.items() if now - t < OUTPUT_TIMEOUT_S
        }
        flowing = set()
        for head in self._flows:
            instance = registry.instances.get(head)
            if instance is not None and instance.has_group:
                flowing.add((instance.member.group, instance.member.epoch))
        lost = set()
        for name, found in list(self._suspicions.items()):
            instance = registry.instances.get(name)
            if instance is None:
                del self._suspicions[name]
                continue
            group = (instance.member.group, instance.member.epoch)
            if found.unanswered and group not in flowing:
                lost.add(name)
        lost.update(
            i.name
            for i in registry.list_present()
            if i.silent
            and (i.member.group, i.member.epoch) not in flowing
            and not registry.may_be_unheard(i.name, now)
        )
        return frozenset(lost)
