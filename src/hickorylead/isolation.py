"""Independent pieces of work, one of which may fail without the others."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING, Any, TypeVar

from hickorylead import notes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

Effect = TypeVar("Effect")


def describe_failure(
    work: str, error: Exception, *, request_id: str = ""
) -> notes.Note:
    """Returns the log line about a piece of work that has failed.

    Args:
        work: What failed.
        error: The error, with its traceback.
        request_id: The request that it concerns; empty if none.
    """
    place = "".join(traceback.format_exception(error, limit=-4))
    return notes.Note(
        "work_failed",
        request_id,
        {"reason": work, "why": repr(error), "place": place},
        "error",
    )


def collect_effects(
    steps: Mapping[str, Callable[[], Iterable[Any]]],
) -> list[Any]:
    """Returns the effects of all steps, in order.

    A reducer has already changed its state when it returns effects, so those
    of other steps must not be lost with a step that fails.

    Args:
        steps: The steps, by name for the log.
    """
    effects: list[Any] = []
    for name, step in steps.items():
        try:
            effects += step()
        except Exception as error:  # noqa: BLE001 - logged, with its place
            effects.append(describe_failure(name, error))
    return effects


def carry_out_all(
    effects: Iterable[Effect],
    carry_out: Callable[[Effect], None],
    write_log: Callable[[notes.Note], None],
) -> None:
    """Carries out effects, also those after one that fails.

    Args:
        effects: The effects, in order.
        carry_out: Carries out one of them.
        write_log: Called with the log line about each that fails.
    """
    for effect in effects:
        try:
            carry_out(effect)
        except Exception as error:  # noqa: BLE001 - logged, with its place
            write_log(describe_failure(type(effect).__name__, error))
