"""Messages about pauses and leave notices in responses of servers."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class Pause:
    """A pause that a server asked for or that a gateway estimated for it.

    Attributes:
        server: The server.
        born: Start of the server's incarnation, in Unix milliseconds; 0 if the
            server does not report it.
        left_ms: Remaining duration of the pause, in milliseconds.
        is_estimated: Whether the gateway estimated the duration because the
            server named no time. Such a pause ends early if the server runs a
            request that was sent after the refusal.
        age_ms: Time since the refusal, in milliseconds.
    """

    server: str
    born: int
    left_ms: int
    is_estimated: bool = False
    age_ms: int = 0


@attrs.frozen
class PauseNews:
    """Pauses that servers asked gateways for or gateways estimated.

    Attributes:
        sender: Node that sends the message.
        pauses: The pauses.
    """

    sender: str
    pauses: tuple[Pause, ...]


@attrs.frozen
class Leave:
    """A server's notice, sent with a response, that it is about to end.

    Attributes:
        server: The server.
        born: Start of the server's incarnation, in Unix milliseconds; 0 if the
            server does not report it.
    """

    server: str
    born: int


@attrs.frozen
class LeaveNews:
    """Leaving servers that coordinators still list as ready.

    Attributes:
        sender: The gateway.
        leaves: Notices of these servers.
    """

    sender: str
    leaves: tuple[Leave, ...]


Message: TypeAlias = PauseNews | LeaveNews
