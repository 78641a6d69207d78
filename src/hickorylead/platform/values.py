"""Type checks of values in JSON bodies."""

from __future__ import annotations

from typing import Any


def expect_object(value: Any) -> dict[str, Any]:
    """Returns the value if it is a JSON object.

    Raises:
        TypeError: It is of another type.
    """
    if not isinstance(value, dict):
        raise TypeError(f"{value!r:.40} is not an object")
    return value


def expect_string(value: Any) -> str:
    """Returns the value if it is a string.

    Raises:
        TypeError: It is of another type.
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r:.40} is not a string")
    return value


def expect_integer(value: Any) -> int:
    """Returns the value if it is an integer.

    Raises:
        TypeError: It is of another type.
    """
    if type(value) is not int:
        raise TypeError(f"{value!r:.40} is not an integer")
    return value
