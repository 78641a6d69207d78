"""A simulated model engine with continuous batching; its caller keeps time.

It has slots, a prefix cache of limited size, and a queue ordered by urgency.
Responses depend only on the request, so that each chunk of a response shows
to which request and position it belongs.
"""

from __future__ import annotations

import collections
import hashlib

import attrs


@attrs.frozen
class Work:
    """One request as the engine receives it.

    Attributes:
        request_id: Unique id.
        digest: Digest of the request's body; each token contains it.
        urgency: Requests with lower values run first.
        prompt_tokens: Tokens to prefill before the first output token.
        max_tokens: Output tokens of the response.
        prefixes: Hashes of growing prefixes of the prompt.
        position: Output tokens that an earlier attempt has produced.
    """

    request_id: str
    digest: str
    urgency: int
    prompt_tokens: int
    max_tokens: int
    prefixes: tuple[str, ...] = ()
    position: int = 0


@attrs.frozen
class Frame:
    """One token of a response."""

    request_id: str
    position: int
    text: str
    is_last: bool
    prompt_tokens: int
    cached_tokens: int


@attrs.define
class _Stream:
    work: Work
    position: int
    cached_tokens: int = 0


@attrs.frozen
class Speed:
    """Performance parameters of an engine.

    Attributes:
        slots: Maximum number of requests in a batch.
        step_s: Seconds of one step, which produces one token of each stream.
        prefill_s: Seconds for each prompt token that is not cached.
        cached_prefixes: Prefixes that the cache holds.
    """

    slots: int = 8
    step_s: float = 0.02
    prefill_s: float = 0.0001
    cached_prefixes: int = 64


def make_token(digest: str, position: int) -> str:
    """Returns the token at a position of the response to a request."""
    return f"{digest}.{position} "


def make_text(digest: str, tokens: int) -> str:
    """Returns the complete response to a request."""
    return "".join(make_token(digest, i) for i in range(tokens))


def digest_body(body: bytes) -> str:
    """Returns the digest of a request's body."""
    return hashlib.blake2b(body, digest_size=4).hexdigest()


class Batch:
    """The running batch and the queue of an engine."""

    def __init__(self, speed: Speed) -> None:
        """Creates an empty batch with an empty queue.

        Args:
            speed: Performance parameters of the engine.
        """
        self.speed = speed
        self.slowdown_factor = 1.0
        self.events: list[tuple[str, bool]] = []
        self._queue: list[tuple[int, int, Work]] = []
        self._sequence = 0
        self._running: dict[str, _Stream] = {}
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests waiting for a slot."""
        return len(self._queue)

    def submit(self, work: Work) -> None:
        """Adds a request to the queue."""
        self._sequence += 1
        self._queue.append((work.urgency, self._sequence, work))
        self._queue.sort(key=lambda item: item[:2])

    def cancel(self, request_id: str) -> None:
        """Removes a request."""
        self._running.pop(request_id, None)
        self._queue = [
            item for item in self._queue if item[2].request_id != request_id
        ]

    def clear(self) -> list[str]:
        """Removes all requests and returns their ids."""
        dropped = [*self._running, *(i[2].request_id for i in self._queue)]
        self._running.clear()
        self._queue.clear()
        return dropped

    def begin_step(self) -> float:
        """Fills the batch and returns how long the step takes; 0 if idle."""
        prefill_tokens = 0
        while self._queue and len(self._running) < self.speed.slots:
            _, _, work = self._queue.pop(0)
            stream = _Stream(work, work.position)
            stream.cached_tokens = self._use_cache(work)
            prefill_tokens += work.prompt_tokens - stream.cached_tokens
            self._running[work.request_id] = stream
        if not self._running:
            return 0.0
        step_s = self.speed.step_s + prefill_tokens * self.speed.prefill_s
        return step_s * self.slowdown_factor

    def end_step(self) -> list[Frame]:
        """Produces and returns one token of each stream in the batch."""
        frames = []
        for stream in list(self._running.values()):
            work = stream.work
            is_last = stream.position + 1 >= work.max_tokens
            frames.append(
                Frame(
                    work.request_id,
                    stream.position,
                    make_token(work.digest, stream.position),
                    is_last,
                    work.prompt_tokens,
                    stream.cached_tokens,
                )
            )
            stream.position += 1
            if is_last:
                del self._running[work.request_id]
        return frames

    def _use_cache(self, work: Work) -> int:
        """Returns the prompt tokens found in the cache, and fills it."""
        cached = 0
        for count, prefix in enumerate(work.prefixes, start=1):
            if prefix in self._cache:
                self._cache.move_to_end(prefix)
                cached = work.prompt_tokens * count // (len(work.prefixes) + 1)
                continue
            self._cache[prefix] = None
            self.events.append((prefix, True))
            if len(self._cache) > self.speed.cached_prefixes:
                evicted, _ = self._cache.popitem(last=False)
                self.events.append((evicted, False))
        return cached
