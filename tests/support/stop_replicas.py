"""Replicas of a simulated gateway, and requests that are relayed to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from support import stop_callers


class Relayed:
    """A request that another gateway sends through the gateway.

    Attributes:
        plan: What was planned.
        end: How it ended: nothing yet, `complete`, or the verdict.
        reason: Why it failed.
        ended_at: When it ended.
    """

    def __init__(self, plan: stop_callers.Plan) -> None:
        self.plan = plan
        self.end = self.reason = ""
        self.ended_at = 0.0
        self._loop = asyncio.get_running_loop()

    def on_connected(self) -> None:
        """Does nothing."""

    def on_headers(self, status: int, headers: list[Any]) -> None:
        """Does nothing."""

    def on_body_chunk(self, data: bytes) -> None:
        """Does nothing."""

    def on_complete(self) -> None:
        """Records the end of a complete response."""
        self.end, self.ended_at = "complete", self._loop.time()

    def on_failure(self, verdict: Any, reason: str) -> None:
        """Records the end without a complete response."""
        self.end, self.reason = verdict.value, reason
        self.ended_at = self._loop.time()


@attrs.define
class Run:
    """A run of a request at a replica.

    Attributes:
        attempt_id: The caller's id of the request.
        began_at: When the replica had read the request.
        end: How it ended: nothing yet, `complete`, `refused`, `reset` or
            `cut` by the gateway.
        ended_at: When.
    """

    attempt_id: str
    began_at: float
    end: str = ""
    ended_at: float = 0.0


class Replica(asyncio.Protocol):
    """A connection of a replica, which runs requests by their plans."""

    def __init__(
        self, plans: dict[str, stop_callers.Plan], runs: list[Run]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._plans = plans
        self._runs = runs
        self._data = b""
        self._run: Run | None = None
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Records the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Starts a run when a request is complete."""
        self._data += data
        head, found, body = self._data.partition(b"\r\n\r\n")
        if not found:
            return
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
        )
        if len(body) < int(fields.get(b"content-length", b"0")):
            return
        self._data = b""
        self._start(fields[b"attempt-id"].decode())

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the run."""
        if self._run is not None:
            self._end("cut")

    def _start(self, attempt_id: str) -> None:
        plan = self._plans[attempt_id]
        is_first = not any(r.attempt_id == attempt_id for r in self._runs)
        run = self._run = Run(attempt_id, self._loop.time())
        self._runs.append(run)
        head = b"attempt-id: %b\r\nserver-seal: s\r\n" % attempt_id.encode()
        if is_first and plan.failure == "refused":
            self.transport.write(
                b"HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n"
                b"content-length: 0\r\n" + head + b"\r\n"
            )
            self._end("refused")
        elif is_first and plan.failure == "reset":
            self._loop.call_later(plan.run_s / 3, self._reset, run)
        elif plan.is_stream:
            count = max(1, int(plan.run_s / 0.1))
            self._loop.call_later(
                plan.run_s / count,
                self._write_event,
                run,
                1,
                count,
                b"HTTP/1.1 200 OK\r\n" + head + b"transfer-encoding: chunked"
                b"\r\ncontent-type: text/event-stream\r\n\r\n",
            )
        else:
            response = (
                b"HTTP/1.1 200 OK\r\n"
                + head
                + b"content-length: %d\r\n\r\n" % plan.size
                + bytes(plan.size)
            )
            self._loop.call_later(plan.run_s, self._respond, run, response)

    def _end(self, how: str) -> None:
        assert self._run is not None
        self._run.end, self._run.ended_at = how, self._loop.time()
        self._run = None

    def _reset(self, run: Run) -> None:
        if run is self._run:
            self._end("reset")
            self.transport.abort()

    def _respond(self, run: Run, response: bytes) -> None:
        if run is self._run:
            self.transport.write(response)
            self._end("complete")

    def _write_event(
        self, run: Run, number: int, count: int, head: bytes
    ) -> None:
        if run is not self._run:
            return
        plan = self._plans[run.attempt_id]
        text = b"x" * (plan.size // count)
        event = b"id: %d\ndata: %b\n\n" % (number, text)
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        if number == count:
            self.transport.write(head + chunk + b"0\r\n\r\n")
            self._end("complete")
            return
        self.transport.write(head + chunk)
        self._loop.call_later(
            plan.run_s / count, self._write_event, run, number + 1, count, b""
        )
