"""Attempts on backend servers over HTTP."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any, cast

import aiohttp
from aiohttp import client_proto, http_exceptions
import orjson

from hickorylead import http_status, verdict as verdict_module
from hickorylead.requests import events, model

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.telemetry import traces

Verdict = verdict_module.Verdict

CONNECT_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_LINE_BYTES = 1024 * 1024


class _Connection(client_proto.ResponseHandler):
    """A connection whose reset completes no response.

    The HTTP client itself ends a response without a length in the same way
    whether its connection was closed or reset; bytes may then be missing.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handles the end of the connection, clean or not."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("the connection was reset"), exc
            )
        super().connection_lost(exc)


class _Connector(aiohttp.TCPConnector):
    """Opens connections whose reset completes no response."""

    def __init__(self, **options: Any) -> None:
        super().__init__(limit=0, **options)
        self._factory = cast(
            "functools.partial[client_proto.ResponseHandler]",
            functools.partial(_Connection, loop=asyncio.get_running_loop()),
        )


class Backends:
    """All attempts of one entry that are in flight."""

    def __init__(
        self, *, deliver: Callable[[events.Event], None], tracer: traces.Tracer
    ) -> None:
        """Makes the HTTP clients of an entry for backend servers.

        Args:
            deliver: Called with each event of an attempt.
            tracer: Makes a span for each attempt.
        """
        self._deliver = deliver
        self._tracer = tracer
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        )
        self._pooled = aiohttp.ClientSession(
            timeout=timeout,
            connector=_Connector(keepalive_timeout=30),
            read_bufsize=MAX_LINE_BYTES,
        )
        # In the meantime, the server may have closed a pooled connection, or a
        # middlebox may have dropped it; it is then unknown whether the call
        # ran. Calls that may run only once, and calls that attach to a stream
        # again, use a new connection.
        self._fresh = aiohttp.ClientSession(
            timeout=timeout,
            connector=_Connector(force_close=True),
            read_bufsize=MAX_LINE_BYTES,
        )

    async def close(self) -> None:
        """Closes all connections."""
        tasks = [*self._tasks.values(), *self._cancel_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._pooled.close()
        await self._fresh.close()

    def count_cancellations(self) -> int:
        """Returns how many cancellations no server has answered yet."""
        return len(self._cancel_tasks)

    def start(self, attempt: events.StartAttempt) -> None:
        """Starts an attempt."""
        task = asyncio.create_task(self._run(attempt))
        self._tasks[attempt.attempt_id] = task
        task.add_done_callback(
            lambda _: self._tasks.pop(attempt.attempt_id, None)
        )

    def cancel(self, effect: events.CancelAttempt) -> None:
        """Closes an attempt's connection and cancels it on the server."""
        task = self._tasks.get(effect.attempt_id)
        if task is not None:
            task.cancel()
        if effect.cancel_on_server and effect.replica.keepalive_s:
            cancel_task = asyncio.create_task(self._cancel_on_server(effect))
            self._cancel_tasks.add(cancel_task)
            cancel_task.add_done_callback(self._cancel_tasks.discard)

    async def _cancel_on_server(self, effect: events.CancelAttempt) -> None:
        url = f"http://{effect.replica.address}/v1/cancel"
        body = orjson.dumps({"request_id": effect.request_id})
        try:
            async with self._fresh.post(
                url, data=body, timeout=aiohttp.ClientTimeout(total=2)
            ):
                pass
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Either the server has ended, or it notices that the connection is
            # closed.
            pass

    async def _run(self, attempt: events.StartAttempt) -> None:
        span = self._tracer.start("attempt", attempt.request.traceparent)
        span.set_attribute("hickorylead.attempt", attempt.attempt_id)
        span.set_attribute("hickorylead.replica", attempt.replica.group)
        try:
            if attempt.replica.keepalive_s:
                event = await self._run_stream(attempt, span.traceparent)
            else:
                event = await self._run_call(attempt, span.traceparent)
        except aiohttp.ClientConnectorError:
            event = _fail(attempt, Verdict.NOT_RUN, "unreachable")
        except aiohttp.ConnectionTimeoutError:
            event = _fail(attempt, Verdict.NOT_RUN, "connect_timeout")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            reason = f"broken_{type(error).__name__}"
            event = _fail(attempt, Verdict.MAY_HAVE_RUN, reason)
        except (orjson.JSONDecodeError, ValueError, KeyError, TypeError):
            event = _fail(attempt, Verdict.MAY_HAVE_RUN, "bad_answer")
        except http_exceptions.HttpProcessingError:
            # A line without end, among others.
            event = _fail(attempt, Verdict.MAY_HAVE_RUN, "bad_answer")
        finally:
            span.end()
        if event is not None:
            self._deliver(event)

    async def _run_stream(
        self, attempt: events.StartAttempt, traceparent: str
    ) -> events.Event | None:
        request = attempt.request
        path = "attach" if attempt.attach else "run"
        session = self._fresh if attempt.attach else self._pooled
        if request.idempotency_key:
            session = self._fresh
        body = {
            "request_id": request.request_id,
            "attempt_id": attempt.attempt_id,
            "service": request.service,
            "group": attempt.replica.group,
            "generation": attempt.replica.generation,
            "position": attempt.position,
            "text": attempt.text,
            "urgency": request.urgency,
            "max_tokens": request.max_tokens,
            "request": orjson.Fragment(request.body),
        }
        async with session.post(
            f"http://{attempt.replica.address}/v1/{path}",
            data=orjson.dumps(body),
            headers=_make_headers(traceparent),
        ) as response:
            if response.status != 200:
                return await _decode_refusal(attempt, response)
            async for line in response.content:
                frame = _decode_frame(attempt.attempt_id, line)
                self._deliver(frame)
                if frame.finish_reason:
                    return None
        return _fail(attempt, Verdict.MAY_HAVE_RUN, "stream_ended")

    async def _run_call(
        self, attempt: events.StartAttempt, traceparent: str
    ) -> events.Event:
        request = attempt.request
        headers = _make_headers(traceparent)
        headers["Content-Type"] = request.content_type
        headers["Request-Id"] = request.request_id
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        session = self._fresh if request.idempotency_key else self._pooled
        async with session.request(
            request.method,
            f"http://{attempt.replica.address}/{request.path}",
            data=request.body,
            headers=headers,
        ) as response:
            if not http_status.is_final(response.status):
                return _fail(attempt, Verdict.MAY_HAVE_RUN, "bad_status")
            if response.status == 503:
                return await _decode_refusal(attempt, response)
            body = await response.content.read(MAX_RESPONSE_BYTES + 1)
            while not response.content.at_eof():
                body += await response.content.read(MAX_RESPONSE_BYTES)
                if len(body) > MAX_RESPONSE_BYTES:
                    return _fail(attempt, Verdict.RAN, "answer_too_large")
            return events.AnswerArrived(
                attempt.attempt_id,
                response.headers.get("Request-Id", request.request_id),
                response.status,
                response.headers.get("Content-Type", ""),
                body,
            )


def _make_headers(traceparent: str) -> dict[str, str]:
    headers = {"Content-Type": "application/json"}
    if traceparent:
        headers["traceparent"] = traceparent
    return headers


def _decode_frame(attempt_id: str, line: bytes) -> events.FrameArrived:
    fields: dict[str, Any] = orjson.loads(line)
    usage = fields.get("usage") or {}
    return events.FrameArrived(
        attempt_id=attempt_id,
        request_id=str(fields["request_id"]),
        position=int(fields["position"]),
        tokens=int(fields["tokens"]),
        text=str(fields["text"]),
        finish_reason=str(fields.get("finish_reason") or ""),
        usage=model.Usage(
            prompt_tokens=int(usage.get("prompt_tokens", 0)),
            completion_tokens=int(usage.get("completion_tokens", 0)),
            cached_tokens=int(usage.get("cached_tokens", 0)),
        ),
    )


async def _decode_refusal(
    attempt: events.StartAttempt, response: aiohttp.ClientResponse
) -> events.AttemptFailed:
    """Returns the failure of an attempt that the server refused.

    Only a refusal that carries the server's own VM name proves that the
    attempt did not run: any other refusal could come from a proxy in between.
    """
    body = await response.content.read(MAX_LINE_BYTES)
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        fields = {}
    if not isinstance(fields, dict):
        fields = {}
    is_from_server = fields.get("vm") == attempt.replica.vm
    if is_from_server and fields.get("verdict") == Verdict.NOT_RUN.value:
        reason = str(fields.get("reason", "refused"))[:64]
        retry_after = fields.get("retry_after_s")
        retry_after_s = (
            max(0.0, float(retry_after))
            if isinstance(retry_after, int | float)
            else None
        )
        return events.AttemptFailed(
            attempt.attempt_id, Verdict.NOT_RUN, reason, retry_after_s
        )
    reason = f"status_{response.status}"
    return _fail(attempt, Verdict.MAY_HAVE_RUN, reason)


def _fail(
    attempt: events.StartAttempt,
    verdict: verdict_module.Verdict,
    reason: str,
) -> events.AttemptFailed:
    return events.AttemptFailed(attempt.attempt_id, verdict, reason)
