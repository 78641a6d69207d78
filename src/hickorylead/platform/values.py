"""Type checks of values in JSON bodies."""

from __future__ import annotations

from typing import Any

# Largest integer in messages between nodes.
MAX_INTEGER = 2**63 - 1


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


def expect_count(value: Any) -> int:
    """Returns the value if it is an integer from 0 that nodes can send.

    Raises:
        TypeError: It is of another type.
        ValueError: It is out of range.
    """
    if not 0 <= expect_integer(value) <= MAX_INTEGER:
        raise ValueError(f"{value} is out of range")
    return value


def expect_number(value: Any) -> float:
    """Returns the value if it is an integer or another finite number.

    Raises:
        TypeError: It is of another type. In Python, `true` is an integer too,
            and `float` accepts strings such as "nan".
    """
    if type(value) is not int and type(value) is not float:
        raise TypeError(f"{value!r:.40} is not a number")
    return value


def expect_flag(value: Any) -> bool:
    """Returns the value if it is `true` or `false`.

    Raises:
        TypeError: It is of another type.
    """
    if not isinstance(value, bool):
        raise TypeError(f"{value!r:.40} is not a flag")
    return value


def expect_list(value: Any) -> list[Any]:
    """Returns the value if it is a list.

    Raises:
        TypeError: It is of another type.
    """
    if not isinstance(value, list):
        raise TypeError(f"{value!r:.40} is not a list")
    return value
