"""Values of JSON bodies, checked for their type."""

from __future__ import annotations

from typing import Any


def read_table(value: Any) -> dict[str, Any]:
    """Returns a table.

    Raises:
        TypeError: It is none.
    """
    if not isinstance(value, dict):
        raise TypeError(f"{value!r:.40} is not a table")
    return value


def read_text(value: Any) -> str:
    """Returns a text.

    Raises:
        TypeError: It is none.
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r:.40} is not a text")
    return value


def read_whole(value: Any) -> int:
    """Returns a whole number.

    Raises:
        TypeError: It is none.
    """
    if type(value) is not int:
        raise TypeError(f"{value!r:.40} is not a whole number")
    return value
