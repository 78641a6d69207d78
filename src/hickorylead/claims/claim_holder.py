"""A holder of claims: remembers which submission of a key may run.

One holder in each zone is asked about a key, and a majority of zones must
grant it. Nothing is kept on disk. Wall-clock times are Unix seconds.
"""

from __future__ import annotations

import collections

import attrs

from hickorylead.claims import messages

MEMORY_S = 900.0
MAX_SKEW_S = 300.0
# Both bounds keep a holder within its share of 64 MB; see docs/CAPACITY.md.
MAX_CLAIMS = 20_000
MAX_KEPT_BYTES = 2 * 1024 * 1024


@attrs.define
class Claim:
    """A claim that was granted.

    Attributes:
        owner: Submission that holds it.
        fingerprint: Hash over its request.
        made_at: Time in the key.
        answer: How it ended; None while it may be running.
    """

    owner: str
    fingerprint: str
    made_at: float
    answer: messages.FinalAnswer | None = None


class ClaimHolder:
    """Claims kept by one control process."""

    def __init__(
        self,
        *,
        node: str,
        started_at: float,
        max_skew_s: float = MAX_SKEW_S,
    ) -> None:
        """Makes a holder with no memory.

        Args:
            node: Name of this control process.
            started_at: Wall-clock time of its start.
            max_skew_s: Largest difference between any two clocks.
        """
        self._node = node
        self._max_skew_s = max_skew_s
        # What was claimed before a restart is forgotten. Any such key was
        # made before the restart, give or take the skew of clocks; none of
        # those is granted, so a forgotten claim is never granted twice.
        self._remembers_from = started_at + max_skew_s
        self._claims: collections.OrderedDict[str, Claim] = (
            collections.OrderedDict()
        )
        # Keys whose answers have a body, the oldest first.
        self._bodies: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._kept_bytes = 0

    def __len__(self) -> int:
        """Returns how many claims are kept."""
        return len(self._claims)

    def receive(
        self, message: messages.Message, wall: float
    ) -> list[messages.Send]:
        """Handles a message of an entry, at a wall-clock time."""
        match message:
            case messages.ClaimRequest(entry):
                return [messages.Send(entry, self._claim(message, wall))]
            case messages.ClaimRelease(key, owner):
                claim = self._claims.get(key)
                if claim and claim.owner == owner and claim.answer is None:
                    del self._claims[key]
            case messages.ClaimFinish(key, owner, answer):
                claim = self._claims.get(key)
                if claim and claim.owner == owner:
                    claim.answer = answer
                    self._keep_body(key, answer)
            case messages.ClaimReply():
                pass
        return []

    def _claim(
        self, request: messages.ClaimRequest, wall: float
    ) -> messages.ClaimReply:
        def reply(
            state: str, answer: messages.FinalAnswer | None = None
        ) -> messages.ClaimReply:
            return messages.ClaimReply(
                self._node,
                request.key,
                request.owner,
                state,
                answer or messages.FinalAnswer(),
            )

        claim = self._claims.get(request.key)
        if claim is not None:
            if claim.fingerprint != request.fingerprint:
                return reply(messages.MISMATCH)
            if claim.owner == request.owner:
                return reply(messages.GRANTED)
            if claim.answer is not None:
                return reply(messages.FINISHED, claim.answer)
            return reply(messages.TAKEN)
        if wall - request.made_at > MEMORY_S:
            return reply(messages.TOO_OLD)
        if (
            abs(wall - request.wall) > self._max_skew_s
            or request.made_at > wall + self._max_skew_s
            or request.made_at < self._remembers_from
        ):
            return reply(messages.ABSTAINED)
        if not self._make_room(wall):
            return reply(messages.ABSTAINED)
        self._claims[request.key] = Claim(
            request.owner, request.fingerprint, request.made_at
        )
        return reply(messages.GRANTED)

    def _make_room(self, wall: float) -> bool:
        """Forgets what no resend can ask for; says whether there is room.

        A key is refused as too old once it is older than the memory by any
        clock within the skew, so it is kept for that much longer. When all
        room is taken by younger ones, new claims are refused: to forget one
        of them could let it run twice.
        """
        oldest_kept = wall - MEMORY_S - 2 * self._max_skew_s
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.made_at >= oldest_kept:
                break
            del self._claims[key]
            self._kept_bytes -= self._bodies.pop(key, 0)
        return len(self._claims) < MAX_CLAIMS

    def _keep_body(self, key: str, answer: messages.FinalAnswer) -> None:
        """Counts the body of an answer; the oldest ones give way.

        Without its body an answer still says that the request ran, which is
        what keeps it from running twice.
        """
        self._kept_bytes -= self._bodies.pop(key, 0)
        if answer.body:
            self._bodies[key] = len(answer.body)
            self._kept_bytes += len(answer.body)
        while self._kept_bytes > MAX_KEPT_BYTES:
            oldest, size = self._bodies.popitem(last=False)
            self._kept_bytes -= size
            claim = self._claims[oldest]
            if claim.answer is not None:
                claim.answer = attrs.evolve(
                    claim.answer, body=b"", complete=False
                )
