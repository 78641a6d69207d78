"""The entry's side of a claim: requests it from one holder in each zone.

Requests go to one holder after another until a majority has granted the claim.
The order follows from the key and is the same for every entry: if several
entries claim one key at the same time, the entry that gets the grant of the
first holder wins. In different orders, each entry could get the grant of one
holder.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import attrs

from hickorylead import rendezvous
from hickorylead.claims import messages

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Time after which a holder that has not replied is skipped, in seconds.
HOLDER_TIMEOUT_S = 0.25

ClaimResult = Literal[
    "waiting", "granted", "taken", "finished", "mismatch", "too_old", "none"
]


def choose_holders(
    key: str, controls: Mapping[str, Sequence[str]]
) -> list[str]:
    """Returns the holders of a key, one per zone, in the order of requests.

    Args:
        key: The claimed key.
        controls: Control processes by zone, from the settings. The set is
            fixed: two entries with different sets could each get a majority.
    """
    return [
        rendezvous.rank_names(key, controls[zone])[0]
        for zone in rendezvous.rank_names(key, controls)
    ]


@attrs.define
class Claimant:
    """One submission's attempt to get its claim.

    Attributes:
        request: The request sent to each holder.
        holders: The holders, in the order of requests.
        result: The result so far.
        answer: The first submission's response, if it is known.
        requested_at: When the request was sent to the current holder.
    """

    request: messages.ClaimRequest
    holders: list[str]
    result: ClaimResult = "waiting"
    answer: messages.FinalAnswer | None = None
    requested_at: float = 0.0
    _position: int = -1
    _granted: list[str] = attrs.field(factory=list)
    _too_old: int = 0

    def start(self, now: float) -> list[messages.Send]:
        """Sends the request to the first holder."""
        return self._request_next(now)

    def tick(self, now: float) -> list[messages.Send]:
        """Skips a holder that does not reply in time."""
        if self.result != "waiting":
            return []
        if now - self.requested_at < HOLDER_TIMEOUT_S:
            return []
        return self._request_next(now)

    def receive(
        self, reply: messages.ClaimReply, now: float
    ) -> list[messages.Send]:
        """Handles a holder's reply, even one that arrives after the timeout."""
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
                return self._fail("finished")
            case messages.TAKEN:
                return self._fail("taken")
            case messages.MISMATCH:
                return self._fail("mismatch")
            case messages.TOO_OLD:
                self._too_old += 1
        if reply.holder != self.holders[self._position]:
            return []
        return self._request_next(now)

    def release(self) -> list[messages.Send]:
        """Releases the claim; only if the request has not run."""
        release = messages.ClaimRelease(self.request.key, self.request.owner)
        requested = self.holders[: self._position + 1]
        return [messages.Send(holder, release) for holder in requested]

    def finish(self, answer: messages.FinalAnswer) -> list[messages.Send]:
        """Sends the final response to every holder that got the request."""
        finish = messages.ClaimFinish(
            self.request.key, self.request.owner, answer
        )
        requested = self.holders[: self._position + 1]
        return [messages.Send(holder, finish) for holder in requested]

    def _request_next(self, now: float) -> list[messages.Send]:
        self._position += 1
        if self._position == len(self.holders):
            self._position -= 1
            return self._fail("too_old" if self._too_old else "none")
        self.requested_at = now
        return [messages.Send(self.holders[self._position], self.request)]

    def _fail(self, result: ClaimResult) -> list[messages.Send]:
        self.result = result
        return self.release()
