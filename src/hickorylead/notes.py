"""What a reducer wants to be logged, as an effect."""

from __future__ import annotations

from typing import Any, Literal

import attrs

Level = Literal["debug", "info", "warning", "error"]


@attrs.frozen
class Note:
    """Effect: write one log line about a decision.

    Attributes:
        event: Stable name of the decision; docs/reference/logs.md lists them.
        request_id: The request that it touches; empty if it touches none.
        fields: Inputs that decided it, their age or version, the outcome.
        level: Lines of a lower level give way when too many are written.
    """

    event: str
    request_id: str = ""
    fields: dict[str, Any] = attrs.field(factory=dict)
    level: Level = "info"


def note(event: str, *, level: Level = "info", **fields: Any) -> Note:
    """Returns a note about a decision that touches no request."""
    return Note(event, fields=fields, level=level)
