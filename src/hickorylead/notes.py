"""The effect with which a reducer writes a log line."""

from __future__ import annotations

from typing import Any, Literal

import attrs

Level = Literal["debug", "info", "warning", "error"]


@attrs.frozen
class Note:
    """Effect: write one log line about a decision.

    Attributes:
        event: Stable name of the decision; docs/reference/logs.md lists them.
        request_id: Request that the decision is about; empty if none.
        fields: Inputs of the decision, their age or version, the outcome.
        level: Lines of lower levels are dropped first when there are too many.
    """

    event: str
    request_id: str = ""
    fields: dict[str, Any] = attrs.field(factory=dict)
    level: Level = "info"


def note(event: str, *, level: Level = "info", **fields: Any) -> Note:
    """Returns a note about a decision that concerns no single request."""
    return Note(event, fields=fields, level=level)
