"""The entry's side of a claim: ask one holder a zone until a majority grants.

Holders are asked one after another in the order that the key gives, the same
for every entry. So of several entries that claim one key at the same time,
the one that gets the first holder wins, instead of each getting one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import attrs

from hickorylead import rendezvous
from hickorylead.claims import messages

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# A holder that does not answer within this is passed over.
HOLDER_TIMEOUT_S = 0.25

ClaimResult = Literal[
    "waiting", "granted", "taken", "finished", "mismatch", "too_old", "none"
]


def choose_holders(
    key: str, controls: Mapping[str, Sequence[str]]
) -> list[str]:
    """Returns the holders of a key, one a zone, in the order of asking.

    Args:
        key: The claimed key.
        controls: Control processes by zone, from the settings. The set is
            fixed: two entries with different sets could find two majorities.
    """
    return [
        rendezvous.rank_names(key, controls[zone])[0]
        for zone in rendezvous.rank_names(key, controls)
    ]


@attrs.define
class Claimant:
    """One submission's way to its claim.

    Attributes:
        request: What is asked of each holder.
        holders: Who is asked, in order.
        result: How it stands.
        answer: The first submission's answer, if it is known.
        asked_at: When the present holder was asked.
    """

    request: messages.ClaimRequest
    holders: list[str]
    result: ClaimResult = "waiting"
    answer: messages.FinalAnswer | None = None
    asked_at: float = 0.0
    _place: int = -1
    _granted: list[str] = attrs.field(factory=list)
    _too_old: int = 0

    def start(self, now: float) -> list[messages.Send]:
        """Asks the first holder."""
        return self._ask_next(now)

    def tick(self, now: float) -> list[messages.Send]:
        """Passes over a holder that does not answer."""
        if self.result != "waiting":
            return []
        if now - self.asked_at < HOLDER_TIMEOUT_S:
            return []
        return self._ask_next(now)

    def receive(
        self, reply: messages.ClaimReply, now: float
    ) -> list[messages.Send]:
        """Takes a holder's reply, also one that comes after its time."""
        if self.result != "waiting" or reply.holder not in self.holders:
            return []
        match reply.state:
            case messages.GRANTED:
                if reply.holder not in self._granted:
                    self._granted.append(reply.holder)
                if 2 * len(self._granted) > len(self.holders):
                    self.result = "granted"
                    return []
            case messages.FINISHED:
                self.answer = reply.answer
                return self._give_up("finished")
            case messages.TAKEN:
                return self._give_up("taken")
            case messages.MISMATCH:
                return self._give_up("mismatch")
            case messages.TOO_OLD:
                self._too_old += 1
        if reply.holder != self.holders[self._place]:
            return []
        return self._ask_next(now)

    def release(self) -> list[messages.Send]:
        """Gives the claim back; only if the request has not run."""
        release = messages.ClaimRelease(self.request.key, self.request.owner)
        asked = self.holders[: self._place + 1]
        return [messages.Send(holder, release) for holder in asked]

    def finish(self, answer: messages.FinalAnswer) -> list[messages.Send]:
        """Tells every holder how the request ended."""
        finish = messages.ClaimFinish(
            self.request.key, self.request.owner, answer
        )
        asked = self.holders[: self._place + 1]
        return [messages.Send(holder, finish) for holder in asked]

    def _ask_next(self, now: float) -> list[messages.Send]:
        self._place += 1
        if self._place == len(self.holders):
            self._place -= 1
            return self._give_up("too_old" if self._too_old else "none")
        self.asked_at = now
        return [messages.Send(self.holders[self._place], self.request)]

    def _give_up(self, result: ClaimResult) -> list[messages.Send]:
        self.result = result
        return self.release()
