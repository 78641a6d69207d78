"""Messages about what servers said with their answers."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class Pause:
    """A server asked one gateway for a pause.

    Attributes:
        server: The server.
        born: When the life began that asked, in Unix milliseconds; 0 if it does
            not tell.
        left_ms: How long the pause still lasts, in milliseconds.
    """

    server: str
    born: int
    left_ms: int


@attrs.frozen
class PauseNews:
    """A node tells which servers asked some gateway for a pause.

    Attributes:
        sender: Node that tells.
        pauses: The pauses.
    """

    sender: str
    pauses: tuple[Pause, ...]


Message: TypeAlias = PauseNews
