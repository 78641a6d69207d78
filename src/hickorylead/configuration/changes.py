"""Changes of the configuration: compare-and-set, with change ids."""

from __future__ import annotations

import re
from typing import TypeAlias

import attrs
from returns import result

from hickorylead.configuration import model

MAX_GROUP_SIZE = 64
MAX_REPLICAS = 10_000
MAX_NAME = 64
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]*")


@attrs.frozen
class ApplyService:
    """Creates a service, or replaces the one of the same name."""

    service: model.Service


@attrs.frozen
class DeleteService:
    """Removes a service that no preset uses."""

    name: str


@attrs.frozen
class ApplyPreset:
    """Creates a preset, or replaces the one of the same name."""

    preset: model.Preset


@attrs.frozen
class SwitchPreset:
    """Puts a preset in force."""

    name: str


@attrs.frozen
class DrainVm:
    """Drains a VM, or undoes its drain."""

    vm: str
    drained: bool


@attrs.frozen
class ReplaceWhole:
    """Replaces the full configuration, under the operator's own version.

    The highest version wins; a lower or equal one changes nothing, so that a
    late or repeated request never restores an older configuration.

    Attributes:
        outside_version: Version assigned by the operator, above 0.
        content: The compressed configuration; validated before it is
            proposed.
    """

    outside_version: int
    content: bytes


@attrs.frozen
class NoChange:
    """Changes nothing; a new leader commits it to know what is committed."""


@attrs.frozen
class SetVoters:
    """Replaces the set of voters; the new set may differ by one voter only.

    Attributes:
        voters: The voters, each as `node#incarnation`.
        leaving: The voter whose successor this change has added. The next
            change removes it, also if another leader makes it; empty if none.
    """

    voters: tuple[str, ...]
    leaving: str = ""


Operation: TypeAlias = (
    ApplyService
    | DeleteService
    | ApplyPreset
    | SwitchPreset
    | DrainVm
    | NoChange
    | SetVoters
    | ReplaceWhole
)


@attrs.frozen
class Change:
    """One operation as an operator submitted it.

    Attributes:
        change_id: Chosen by the operator's client; the same in every resend.
        expected_version: The version that the change was made against.
        operation: The operation to apply.
    """

    change_id: str
    expected_version: int
    operation: Operation


@attrs.frozen
class Outcome:
    """The outcome of a change, stored to be returned to resends of it.

    Attributes:
        change_id: The id of the change.
        accepted: Whether the change took effect.
        version: Version after the change, or the version in force if it was
            refused.
        reason: Stable code of a refusal; empty when accepted.
        detail: Explanation of a refusal for people.
    """

    change_id: str
    accepted: bool
    version: int
    reason: str = ""
    detail: str = ""


def apply_change(
    current: model.Configuration, change: Change
) -> tuple[model.Configuration, Outcome]:
    """Returns the configuration after a change, and the outcome."""
    if isinstance(change.operation, ReplaceWhole):
        return _replace_configuration(
            current, change.change_id, change.operation
        )
    if change.expected_version != current.version:
        return current, Outcome(
            change_id=change.change_id,
            accepted=False,
            version=current.version,
            reason="version_conflict",
            detail=(
                f"made against version {change.expected_version}, but version"
                f" {current.version} is in force"
            ),
        )
    applied = _apply_operation(current, change.operation)
    match applied:
        case result.Success(document):
            document = attrs.evolve(document, version=current.version + 1)
            return document, Outcome(change.change_id, True, document.version)
        case result.Failure(problem):
            return current, Outcome(
                change.change_id, False, current.version, "invalid", problem
            )
    raise AssertionError("a result is a success or a failure")


def _replace_configuration(
    current: model.Configuration, change_id: str, operation: ReplaceWhole
) -> tuple[model.Configuration, Outcome]:
    if operation.outside_version > current.outside_version:
        current = attrs.evolve(
            current,
            version=current.version + 1,
            outside_version=operation.outside_version,
            content=operation.content,
        )
    return current, Outcome(change_id, True, current.version)


def _apply_operation(
    current: model.Configuration, operation: Operation
) -> result.Result[model.Configuration, str]:
    match operation:
        case ApplyService(service):
            return _apply_service(current, service)
        case DeleteService(name):
            return _delete_service(current, name)
        case ApplyPreset(preset):
            return _apply_preset(current, preset)
        case SwitchPreset(name):
            if current.find_preset(name) is None:
                return result.Failure(f"there is no preset {name!r}")
            return result.Success(attrs.evolve(current, preset=name))
        case DrainVm(vm, drained):
            names = set(current.drained) | {vm}
            if not drained:
                names.discard(vm)
            return result.Success(
                attrs.evolve(current, drained=tuple(sorted(names)))
            )
        case NoChange() | SetVoters() | ReplaceWhole():
            return result.Failure("this is not a change of the configuration")


def _apply_service(
    current: model.Configuration, service: model.Service
) -> result.Result[model.Configuration, str]:
    problems = validate_service(service)
    if problems:
        return result.Failure("; ".join(problems))
    others = [s for s in current.services if s.name != service.name]
    services = sorted([*others, service], key=lambda s: s.name)
    return result.Success(attrs.evolve(current, services=tuple(services)))


def _delete_service(
    current: model.Configuration, name: str
) -> result.Result[model.Configuration, str]:
    if current.find_service(name) is None:
        return result.Failure(f"there is no service {name!r}")
    dependents = [
        p.name
        for p in current.presets
        if any(s.service == name and s.replicas for s in p.shares)
    ]
    if dependents:
        return result.Failure(f"presets still name it: {', '.join(dependents)}")
    services = tuple(s for s in current.services if s.name != name)
    return result.Success(attrs.evolve(current, services=services))


def _apply_preset(
    current: model.Configuration, preset: model.Preset
) -> result.Result[model.Configuration, str]:
    problems = validate_preset(current, preset)
    if problems:
        return result.Failure("; ".join(problems))
    others = [p for p in current.presets if p.name != preset.name]
    presets = sorted([*others, preset], key=lambda p: p.name)
    return result.Success(attrs.evolve(current, presets=tuple(presets)))


def validate_service(service: model.Service) -> list[str]:
    """Returns the problems of a service; empty if it is valid."""
    problems = []
    if not _is_name(service.name):
        problems.append(f"name {service.name!r} is not a valid name")
    if service.kind not in (model.KIND_MODEL, model.KIND_PLAIN):
        problems.append(f"kind {service.kind!r} is neither model nor plain")
    if service.kind == model.KIND_MODEL and not service.model:
        problems.append("model is empty")
    if not 1 <= service.group_size <= MAX_GROUP_SIZE:
        problems.append(f"group_size is not within 1..{MAX_GROUP_SIZE}")
    if not 0 <= service.replicas <= MAX_REPLICAS:
        problems.append(f"replicas is not within 0..{MAX_REPLICAS}")
    if not 0 <= service.rank <= 100:
        problems.append("rank is not within 0..100")
    return problems


def validate_preset(
    current: model.Configuration, preset: model.Preset
) -> list[str]:
    """Returns the problems of a preset; empty if it is valid."""
    problems = []
    if not _is_name(preset.name):
        problems.append(f"name {preset.name!r} is not a valid name")
    seen: set[tuple[str, str]] = set()
    for share in preset.shares:
        if current.find_service(share.service) is None:
            problems.append(f"there is no service {share.service!r}")
        if not 0 <= share.replicas <= MAX_REPLICAS:
            problems.append(f"replicas is not within 0..{MAX_REPLICAS}")
        if (share.service, share.zone) in seen:
            problems.append(f"{share.service} in {share.zone} is listed twice")
        seen.add((share.service, share.zone))
    return problems


def _is_name(text: str) -> bool:
    return len(text) <= MAX_NAME and _NAME.fullmatch(text) is not None
