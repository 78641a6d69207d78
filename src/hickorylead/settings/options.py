"""Settings: each is a flag and an environment variable, validated at start."""

from __future__ import annotations

import ipaddress
import math
import re
from typing import TYPE_CHECKING, Any, Literal

import attrs
from returns import result

from hickorylead import errors
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

Kind = Literal["name", "text", "ip", "int", "float", "controls", "tokens"]
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]*")
PREFIX = "HICKORYLEAD_"


@attrs.frozen
class Option:
    """One setting.

    Attributes:
        name: Name as a Python identifier; the flag and the variable are derived
            from it.
        kind: How its text is parsed.
        help: Its description in the help text.
        default: Text used if nothing is given; None if the option is required.
        unit: Unit of a number.
        low: Smallest number allowed.
        high: Largest number allowed.
    """

    name: str
    kind: Kind
    help: str
    default: str | None = None
    unit: str = ""
    low: float = 0
    high: float = math.inf

    @property
    def variable(self) -> str:
        """The environment variable."""
        return PREFIX + self.name.upper()

    @property
    def flag(self) -> str:
        """The flag."""
        return "--" + self.name.replace("_", "-")

    def describe(self) -> str:
        """Returns the help text with unit, default and variable."""
        default = (
            "required"
            if self.default is None
            else (f"default: {self.default or 'none'}")
        )
        unit = f"{self.unit}; " if self.unit else ""
        return f"{self.help} [{unit}{default}; {self.variable}]"


def read_settings(
    options: Sequence[Option],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> dict[str, Any]:
    """Returns the value of every option; a flag overrides a variable.

    Raises:
        errors.SettingsError: Options are missing or invalid; the message lists
            all of them.
    """
    values: dict[str, Any] = {}
    problems: list[str] = []
    for option in options:
        text = flags.get(option.name)
        if text is None:
            text = environment.get(option.variable, option.default)
        if text is None:
            problems.append(f"{_describe_name(option)} is required")
            continue
        match _parse_value(option, text):
            case result.Success(value):
                values[option.name] = value
            case result.Failure(problem):
                problems.append(f"{_describe_name(option)}: {problem}")
    if problems:
        raise errors.SettingsError("\n".join(problems))
    return values


def _describe_name(option: Option) -> str:
    return f"{option.flag} ({option.variable})"


def _parse_value(option: Option, text: str) -> result.Result[Any, str]:
    match option.kind:
        case "text":
            return result.Success(text)
        case "name":
            if _NAME.fullmatch(text):
                return result.Success(text)
            return result.Failure(f"{text!r} is not a name of [A-Za-z0-9_-]")
        case "ip":
            return _parse_ip(text)
        case "int" | "float":
            return _parse_number(option, text)
        case "controls":
            return _parse_controls(text)
        case "tokens":
            return _parse_tokens(text)


def _parse_ip(text: str) -> result.Result[str, str]:
    try:
        return result.Success(str(ipaddress.ip_address(text)))
    except ValueError:
        return result.Failure(f"{text!r} is not an IP number")


def _parse_number(option: Option, text: str) -> result.Result[int | float, str]:
    try:
        number = int(text) if option.kind == "int" else float(text)
    except ValueError:
        return result.Failure(f"{text!r} is not a number")
    if not option.low <= number <= option.high:
        return result.Failure(
            f"{text} is not within {option.low:g}..{option.high:g}"
        )
    return result.Success(number)


def _parse_controls(text: str) -> result.Result[dict[str, str], str]:
    """Parses `zone/vm=ip:port,...` into addresses by node name."""
    found: dict[str, str] = {}
    for item in filter(None, text.split(",")):
        target, _, address = item.strip().partition("=")
        zone, _, vm = target.partition("/")
        ip, _, port = address.rpartition(":")
        if not (_NAME.fullmatch(zone) and _NAME.fullmatch(vm)):
            return result.Failure(f"{item!r} is not zone/vm=ip:port")
        try:
            ipaddress.ip_address(ip.strip("[]"))
            number = int(port)
        except ValueError:
            return result.Failure(f"{item!r} is not zone/vm=ip:port")
        if not 1 <= number <= 65535:
            return result.Failure(f"port of {item!r} is not within 1..65535")
        node = nodes.make_node_name(zone, vm, nodes.CONTROL)
        if node in found:
            return result.Failure(f"{target} is given twice")
        found[node] = address
    if not found:
        return result.Failure("no control process is given")
    return result.Success(found)


def _parse_tokens(text: str) -> result.Result[dict[str, str], str]:
    """Parses `token=workspace,...` into workspaces by token."""
    found: dict[str, str] = {}
    for item in filter(None, text.split(",")):
        token, _, workspace = item.strip().partition("=")
        if len(token) < 8 or not _NAME.fullmatch(workspace):
            # The message does not contain the token, because errors are logged.
            return result.Failure(
                "an item is not token=workspace with a token of 8 characters"
                " or more"
            )
        found[token] = workspace
    if not found:
        return result.Failure("no token is given")
    return result.Success(found)
