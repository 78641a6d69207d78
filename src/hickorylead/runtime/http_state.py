"""State of an HTTP connection: what it owes to its client."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

from hickorylead.draining import owed as owed_module
from hickorylead.runtime import http_input

if TYPE_CHECKING:
    import asyncio

    from uvicorn.protocols.http import httptools_impl

_numbers = itertools.count(1)


class HttpState(http_input.HttpInput):
    """A connection whose state can be observed."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Makes the protocol of one connection."""
        super().__init__(*args, **kwargs)
        self.number = next(_numbers)
        # Set by the application once it has decoded the head.
        self.request_id = ""
        self.attempt_id = ""
        self._in_head = False
        self._began_at = 0.0
        # The request that is being handled; `cycle` is the latest one whose
        # head is complete, which may be queued behind it.
        self._current: httptools_impl.RequestResponseCycle | None = None
        self._linger_timer: asyncio.TimerHandle | None = None

    @property
    def in_body(self) -> bool:
        """Whether a part of the body of the request in hand is missing."""
        return self._is_latest_open and self._current is self.cycle

    @property
    def is_idle(self) -> bool:
        """Whether each complete head has its complete response."""
        return self._current is None or self._current.response_complete

    @property
    def is_unanswered(self) -> bool:
        """Whether the response to the request in hand has not begun."""
        return self._current is not None and not self._current.response_started

    def has_capacity(self) -> bool:
        """Returns whether much more may wait to be written."""
        return True

    def record_response(self, waiting_bytes: int) -> None:
        """Records what waits to be written, in bytes."""

    def can_write(self) -> bool:
        """Returns whether data can be sent now without waiting."""
        return not self.flow.write_paused

    def list_queued_headers(self) -> list[list[tuple[bytes, bytes]]]:
        """Returns the headers of the requests that are queued, in order."""
        return [cycle.scope["headers"] for cycle, _ in reversed(self.pipeline)]

    def describe_unfinished(self) -> owed_module.Owed | None:
        """Returns the request that ends if the connection is lost now."""
        current = self._current
        if current is not None and not current.response_complete:
            if current.response_started:
                phase = owed_module.Phase.RESPONDING
            elif current.more_body:
                phase = owed_module.Phase.BODY
            else:
                phase = owed_module.Phase.WAITING
            return self.describe(phase)
        if self._in_head:
            return self.describe(owed_module.Phase.HEAD)
        return None

    def describe_owed(self) -> owed_module.Owed | None:
        """Returns what the connection owes; None if it owes nothing."""
        if not self.transport.is_closing():
            unfinished = self.describe_unfinished()
            if unfinished is not None:
                return unfinished
        if (
            self.transport.get_write_buffer_size()
            or self._linger_timer is not None
        ):
            return self.describe(owed_module.Phase.FLUSHING)
        return None

    def describe(self, phase: owed_module.Phase) -> owed_module.Owed:
        """Returns what the connection owes, in a given phase."""
        is_head = phase is owed_module.Phase.HEAD
        return owed_module.Owed(
            self.number,
            phase,
            self._began_at,
            "" if is_head else self.request_id,
            "" if is_head else self.attempt_id,
            len(self.pipeline),
        )
