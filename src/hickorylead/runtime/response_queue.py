"""Queue of one request's effects for its HTTP handler."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hickorylead.requests import events


@attrs.define
class ResponseQueue:
    """Effects of one request that its HTTP handler has to send.

    Attributes:
        service: Requested service.
        effects: Effects from the reducer, in order.
    """

    service: str
    effects: asyncio.Queue[events.Effect] = attrs.field(factory=asyncio.Queue)
