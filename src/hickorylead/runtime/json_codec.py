"""Converts JSON of the public APIs to and from typed messages."""

from __future__ import annotations

import base64
from typing import Any, TypeVar

import cattrs
from cattrs import strategies
import cattrs.gen
import orjson
from returns import result

from hickorylead.configuration import changes, model
from hickorylead.membership import announcements

T = TypeVar("T")

# Largest integer accepted in JSON. Nodes raise fencing numbers above those that
# they receive, so there must be room below the 64 bits of the wire format. A
# number too large for that format would fail at each encode in the process that
# accepted it.
MAX_NUMBER = 1 << 53

_OPERATION_KINDS = {
    changes.ApplyService: "apply_service",
    changes.DeleteService: "delete_service",
    changes.ApplyPreset: "apply_preset",
    changes.SwitchPreset: "switch_preset",
    changes.DrainVm: "drain_vm",
}


def _make_strict() -> cattrs.Converter:
    """Returns a converter for operators' input that rejects unknown fields.

    A misspelt field would otherwise be ignored and its default would apply.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    _require_types(converter)
    strategies.configure_tagged_union(
        changes.ApplyService
        | changes.DeleteService
        | changes.ApplyPreset
        | changes.SwitchPreset
        | changes.DrainVm,
        converter,
        tag_generator=lambda cls: _OPERATION_KINDS[cls],
        tag_name="kind",
    )
    return converter


def _make_lenient() -> cattrs.Converter:
    """Returns a converter for servers' input, which may have newer fields."""
    converter = cattrs.Converter()
    _require_types(converter)
    return converter


def _require_types(converter: cattrs.Converter) -> None:
    def require(kind: type, allowed: tuple[type, ...]) -> None:
        def check(value: Any, _: type) -> Any:
            if type(value) not in allowed:
                raise ValueError(
                    f"{value!r:.40} is not of type {kind.__name__}"
                )
            if kind is int and abs(value) > MAX_NUMBER:
                raise ValueError(f"{value!r:.40} is too large")
            return kind(value)

        converter.register_structure_hook(kind, check)

    require(int, (int,))
    require(str, (str,))
    require(bool, (bool,))
    require(float, (int, float))
    converter.register_structure_hook(
        bytes, lambda value, _: base64.b64decode(value, validate=True)
    )


_STRICT = _make_strict()
_LENIENT = _make_lenient()
_PLAIN = cattrs.Converter()
_PLAIN.register_unstructure_hook(
    bytes, lambda value: base64.b64encode(value).decode()
)

_Submittable = (
    changes.ApplyService
    | changes.DeleteService
    | changes.ApplyPreset
    | changes.SwitchPreset
    | changes.DrainVm
)


def decode_announcement(
    data: bytes,
) -> result.Result[announcements.Announcement, str]:
    """Returns a backend server's announcement, or what is wrong with it."""
    match _read(_LENIENT, data, announcements.Announcement):
        case result.Success(announcement):
            problems = announcements.validate_state(announcement.state)
            if problems:
                return result.Failure("; ".join(problems))
            return result.Success(announcement)
        case result.Failure(problem):
            return result.Failure(problem)
    raise AssertionError("a result is a success or a failure")


def decode_change(data: bytes) -> result.Result[changes.Change, str]:
    """Returns an operator's change, or what is wrong with it."""
    match _load(data):
        case result.Failure(problem):
            return result.Failure(problem)
        case result.Success(fields):
            pass
    try:
        operation: Any = _STRICT.structure(
            fields.get("operation"),
            _Submittable,  # type: ignore[arg-type]
        )
        change_id, expected = fields["change_id"], fields["expected_version"]
    except KeyError as error:
        return result.Failure(f"{error.args[0]} is missing")
    except Exception as error:  # noqa: BLE001 - the library raises many kinds
        return result.Failure(_explain(error))
    if not isinstance(change_id, str) or not 8 <= len(change_id) <= 64:
        return result.Failure("change_id is not a string of 8 to 64 characters")
    if type(expected) is not int or not 0 <= expected <= MAX_NUMBER:
        return result.Failure(
            "expected_version is not an integer of at least 0"
        )
    return result.Success(changes.Change(change_id, expected, operation))


def decode_service(value: Any) -> result.Result[model.Service, str]:
    """Returns the service in a JSON object."""
    return _structure(_STRICT, value, model.Service)


def decode_preset(value: Any) -> result.Result[model.Preset, str]:
    """Returns the preset in a JSON object."""
    return _structure(_STRICT, value, model.Preset)


def decode_configuration(
    value: Any,
) -> result.Result[model.Configuration, str]:
    """Returns the configuration in a JSON object."""
    return _structure(_LENIENT, value, model.Configuration)


def encode(value: Any) -> Any:
    """Returns a typed value as JSON objects."""
    return _PLAIN.unstructure(value)


def encode_operation(operation: changes.Operation) -> Any:
    """Returns an operation as the JSON object that `decode_change` decodes."""
    kind = _OPERATION_KINDS[type(operation)]
    return {"kind": kind, **_PLAIN.unstructure(operation)}


def _read(
    converter: cattrs.Converter, data: bytes, cls: type[T]
) -> result.Result[T, str]:
    match _load(data):
        case result.Success(fields):
            return _structure(converter, fields, cls)
        case result.Failure(problem):
            return result.Failure(problem)
    raise AssertionError("a result is a success or a failure")


def _load(data: bytes) -> result.Result[dict[str, Any], str]:
    try:
        fields = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return result.Failure(f"not JSON: {error}")
    if not isinstance(fields, dict):
        return result.Failure("not a JSON object")
    return result.Success(fields)


def _structure(
    converter: cattrs.Converter, value: Any, cls: type[T]
) -> result.Result[T, str]:
    try:
        return result.Success(converter.structure(value, cls))
    except Exception as error:  # noqa: BLE001 - the library raises many kinds
        return result.Failure(_explain(error))


def _explain(error: Exception) -> str:
    lines = cattrs.transform_error(error)
    return "; ".join(line.replace("$.", "") for line in lines)
