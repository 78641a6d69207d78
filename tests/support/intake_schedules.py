"""Random clients of one account, and what must hold for them."""

from __future__ import annotations

import random

import attrs

from hickorylead.intake import (
    account as account_module,
    limits,
    usage as usage_module,
)

KIB = 1024
PORTS = {"clients": 0.8, "readiness": 0.2}
SLICE_BYTES = 64 * KIB
STEPS = 400
# A piece is read before it is counted.
SLACK_BYTES = SLICE_BYTES + account_module.UNREAD_BYTES
LONGEST_WAIT_S = account_module.LONGEST_WAIT_S + 1.0


@attrs.define
class Client:
    """One client.

    Attributes:
        usage: Its connection.
        length: Size of its body, in bytes.
        sent: What of it has arrived, in bytes.
        is_silent: Whether it stops short of its end.
    """

    usage: usage_module.ConnectionUsage
    length: int
    sent: int = 0
    is_silent: bool = False


class Schedule:
    """One run of random clients."""

    def __init__(self, seed: int) -> None:
        """Makes a run without clients."""
        self._rng = random.Random(f"intake {seed}")
        self._limits = limits.IntakeLimits(4096 * KIB, 3072 * KIB, 20)
        self._account = account_module.Account(self._limits, PORTS)
        self._clients: dict[int, Client] = {}
        self._paused: set[int] = set()
        self._count = 0
        self._now = 0.0

    def run(self) -> None:
        """Runs the clients, and checks after each step."""
        for _ in range(STEPS):
            self._now += self._rng.choice((0.001, 0.01, 0.3))
            step = self._rng.choice(
                (self._open, self._send, self._send, self._close, self._tick)
            )
            step()
            self._check()
        for _ in range(40):
            self._now += 0.25
            self._tick()
            self._check()
        assert not self._paused, self._paused

    def _open(self) -> None:
        self._count += 1
        port = self._rng.choice(tuple(PORTS))
        usage, decisions = self._account.open(self._count, port, self._now)
        client = Client(
            usage,
            self._rng.choice((KIB, 100 * KIB, 1024 * KIB)),
            is_silent=self._rng.random() < 0.4,
        )
        self._clients[self._count] = client
        self._apply(decisions)
        if not usage.is_evicted:
            usage.enter(usage_module.Phase.BODY, self._now)
            usage.timeout_s = 5.0

    def _send(self) -> None:
        sending = [
            client
            for number, client in self._clients.items()
            if number not in self._paused
            and client.sent < client.length - client.is_silent
        ]
        if not sending:
            return
        client = self._rng.choice(sending)
        size = min(SLICE_BYTES, client.length - client.is_silent - client.sent)
        client.sent += size
        missing = client.length - client.sent
        if missing:
            client.usage.record_input(size, self._now)
        else:
            client.usage.enter(usage_module.Phase.BUSY, self._now)
        decisions = self._account.update(
            client.usage, client.sent, missing, self._now
        )
        self._apply(decisions)

    def _close(self) -> None:
        if self._clients:
            number = self._rng.choice(tuple(self._clients))
            client = self._clients.pop(number)
            self._paused.discard(number)
            self._apply(self._account.close(client.usage, self._now))

    def _tick(self) -> None:
        self._apply(self._account.tick(self._now))

    def _apply(self, decisions: list[account_module.Decision]) -> None:
        for decision in decisions:
            number = decision.number
            match decision:
                case account_module.Pause():
                    assert number not in self._paused
                    self._paused.add(number)
                case account_module.Resume():
                    self._paused.remove(number)
                case account_module.Evict(_, phase, _):
                    assert phase is not usage_module.Phase.BUSY, decision
                    client = self._clients.pop(number)
                    self._paused.discard(number)
                    self._account.close(client.usage, self._now)

    def _check(self) -> None:
        held = sum(c.usage.held_bytes for c in self._clients.values())
        assert held == self._account.held_bytes, (held, self._account)
        busy = sum(
            client.usage.held_bytes
            for client in self._clients.values()
            if client.usage.phase is usage_module.Phase.BUSY
        )
        # Complete requests are not ended, and hold what they had reserved.
        most = max(1.25 * self._limits.max_bytes, busy) + SLACK_BYTES
        assert held <= most, (held, most)
        assert self._account.count_connections() == len(self._clients)
        assert len(self._clients) <= self._limits.max_connections
        for number in self._paused:
            since = self._clients[number].usage.waits_since
            assert since is not None, number


def run_schedule(seed: int) -> None:
    """Runs the clients of one seed.

    Raises:
        AssertionError: An invariant was violated.
    """
    Schedule(seed).run()
