"""A claim holder: stores which submission of an idempotency key may run.

An entry requests the claim on a key from one holder in each zone, and holders
of a majority of the zones must grant it. Nothing is stored on disk. Wall-clock
times are Unix seconds.
"""

from __future__ import annotations

import collections

import attrs

from hickorylead.claims import messages

RETENTION_S = 900.0
MAX_SKEW_S = 300.0
# Maximum number of claims, and maximum bytes of all stored response bodies
# together. Both limits keep a holder within its share of 64 MB; see
# docs/CAPACITY.md.
MAX_CLAIMS = 20_000
MAX_BODY_BYTES = 2 * 1024 * 1024


@attrs.define
class Claim:
    """A claim that was granted.

    Attributes:
        owner: Submission that holds the claim.
        fingerprint: Hash over the submission's request.
        made_at: Time in the key.
        answer: Final response to the request; None while the request may be
            running.
    """

    owner: str
    fingerprint: str
    made_at: float
    answer: messages.FinalAnswer | None = None


class ClaimHolder:
    """Claims stored by one control process."""

    def __init__(
        self,
        *,
        node: str,
        started_at: float,
        max_skew_s: float = MAX_SKEW_S,
    ) -> None:
        """Creates a holder without any claims.

        Args:
            node: Name of this control process.
            started_at: Wall-clock time of its start.
            max_skew_s: Largest difference between any two clocks.
        """
        self._node = node
        self._max_skew_s = max_skew_s
        # A restart loses all claims. The keys of the lost claims were made
        # before the restart, within the clock skew. A claim on a key that old
        # is not granted, so a lost claim is never granted twice.
        self._min_made_at = started_at + max_skew_s
        self._claims: collections.OrderedDict[str, Claim] = (
            collections.OrderedDict()
        )
        # Sizes of the stored response bodies by key, oldest first.
        self._body_sizes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._body_bytes = 0

    def __len__(self) -> int:
        """Returns the number of stored claims."""
        return len(self._claims)

    def receive(
        self, message: messages.Message, wall_time: float
    ) -> list[messages.Send]:
        """Handles a message of an entry, at a wall-clock time."""
        match message:
            case messages.ClaimRequest(entry):
                return [messages.Send(entry, self._claim(message, wall_time))]
            case messages.ClaimRelease(key, owner):
                claim = self._claims.get(key)
                if claim and claim.owner == owner and claim.answer is None:
                    del self._claims[key]
            case messages.ClaimFinish(key, owner, answer):
                claim = self._claims.get(key)
                if claim and claim.owner == owner:
                    claim.answer = answer
                    self._record_body(key, answer)
            case messages.ClaimReply():
                pass
        return []

    def _claim(
        self, request: messages.ClaimRequest, wall_time: float
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
        if wall_time - request.made_at > RETENTION_S:
            return reply(messages.TOO_OLD)
        if (
            abs(wall_time - request.wall) > self._max_skew_s
            or request.made_at > wall_time + self._max_skew_s
            or request.made_at < self._min_made_at
        ):
            return reply(messages.ABSTAINED)
        if not self._make_room(wall_time):
            return reply(messages.ABSTAINED)
        self._claims[request.key] = Claim(
            request.owner, request.fingerprint, request.made_at
        )
        return reply(messages.GRANTED)

    def _make_room(self, wall_time: float) -> bool:
        """Drops expired claims; returns whether there is room for another.

        A claim is stored until its key is older than the retention by every
        clock within the skew; from then on the key is refused as too old. When
        unexpired claims fill the store, new claims are refused: dropping an
        unexpired claim could let its request run twice.
        """
        drop_before = wall_time - RETENTION_S - 2 * self._max_skew_s
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.made_at >= drop_before:
                break
            del self._claims[key]
            self._body_bytes -= self._body_sizes.pop(key, 0)
        return len(self._claims) < MAX_CLAIMS

    def _record_body(self, key: str, answer: messages.FinalAnswer) -> None:
        """Records the body size of a response; drops the oldest bodies.

        A response without its body still shows that the request ran, which
        prevents a second run.
        """
        self._body_bytes -= self._body_sizes.pop(key, 0)
        if answer.body:
            self._body_sizes[key] = len(answer.body)
            self._body_bytes += len(answer.body)
        while self._body_bytes > MAX_BODY_BYTES:
            oldest, size = self._body_sizes.popitem(last=False)
            self._body_bytes -= size
            claim = self._claims[oldest]
            if claim.answer is not None:
                claim.answer = attrs.evolve(
                    claim.answer, body=b"", complete=False
                )
