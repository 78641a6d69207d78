"""Where the effects of one request wait for its HTTP handler."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hickorylead.requests import events


@attrs.define
class ResponseQueue:
    """The caller's side of one request.

    Attributes:
        service: Service asked.
        effects: What the reducer decided, in order.
    """

    service: str
    effects: asyncio.Queue[events.Effect] = attrs.field(factory=asyncio.Queue)
