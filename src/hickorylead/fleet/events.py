"""Events and effects of a coordinator beside messages, disk and orders."""

from __future__ import annotations

import attrs

from hickorylead.crashes import messages
from hickorylead.fleet import instances


@attrs.frozen
class HeartbeatArrived:
    """Event: a backend server told of itself."""

    instance: instances.Instance


@attrs.frozen
class InstanceLeft:
    """Event: a backend server said that it leaves for good.

    Attributes:
        name: The server.
        born: When the life began that said so; 0 if it does not tell.
    """

    name: str
    born: int = 0


@attrs.frozen
class ReplaceRequested:
    """Event: an operator sent a whole configuration, already checked.

    Attributes:
        token: Names the call.
        version: The operator's version.
        content: The configuration, packed.
    """

    token: str
    version: int
    content: bytes


@attrs.frozen
class ReadRequested:
    """Event: an operator asked for the newest configuration."""

    token: str


@attrs.frozen
class SaveInstances:
    """Effect: remember the backend servers, for after a restart.

    Attributes:
        known: All that are known now.
    """

    known: tuple[instances.Instance, ...]


@attrs.frozen
class SaveCrashes:
    """Effect: remember lost runs, for after a restart.

    Attributes:
        known: All that are known now, with their ages.
    """

    known: messages.CrashNews


@attrs.frozen
class AnswerReplace:
    """Effect: answer an operator's configuration.

    Attributes:
        token: Names the call.
        accepted: True if it lasts; False if that is not known.
    """

    token: str
    accepted: bool


@attrs.frozen
class AnswerRead:
    """Effect: answer a read.

    Attributes:
        token: Names the call.
        version: The operator's version; 0 if there is none.
        content: The configuration, packed; None if the newest is not known.
    """

    token: str
    version: int
    content: bytes | None
