"""The commands that run a role until the process is stopped."""

from __future__ import annotations

import asyncio
import inspect
import os
from typing import TYPE_CHECKING, Any

from hickorylead import errors
from hickorylead.settings import options as options_module, roles

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

_LEVELS = ("debug", "info", "warning", "error")


def make_entry_command() -> Callable[..., None]:
    """Returns the command that runs an entry."""
    return _make_command(
        "entry",
        "Run an entry: it serves callers, backend servers and operators.",
        roles.ENTRY_OPTIONS,
        _run_entry,
    )


def make_control_command() -> Callable[..., None]:
    """Returns the command that runs a control process."""
    return _make_command(
        "control",
        "Run a control process: configuration, placement and claims.",
        roles.CONTROL_OPTIONS,
        _run_control,
    )


def _make_command(
    name: str,
    summary: str,
    options: Sequence[options_module.Option],
    run: Callable[[Mapping[str, Any]], None],
) -> Callable[..., None]:
    """Returns a function whose signature and doc comment list the options.

    All values are passed as text, so that one check finds and reports every
    error, instead of only the first one.
    """

    def command(**flags: str | None) -> None:
        settings = options_module.read_settings(options, flags, os.environ)
        if settings["log_level"] not in _LEVELS:
            raise errors.SettingsError(
                "--log-level (HICKORYLEAD_LOG_LEVEL) is none of"
                f" {', '.join(_LEVELS)}"
            )
        run(settings)

    command.__name__ = name
    command.__doc__ = "\n".join(
        [
            summary,
            "",
            "Args:",
            *(f"    {o.name}: {o.describe()}" for o in options),
        ]
    )
    command.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
        [
            inspect.Parameter(
                option.name,
                inspect.Parameter.KEYWORD_ONLY,
                default=None,
                annotation=str | None,
            )
            for option in options
        ]
    )
    command.__annotations__ = {o.name: str | None for o in options}
    return command


# The libraries of a role are imported in its function, after its settings have
# been validated, so that a process uses memory only for its own role.


def _run_entry(settings: Mapping[str, Any]) -> None:
    from hickorylead.runtime import entry
    from hickorylead.telemetry import library_log, logs

    logs.start_logs(
        settings["log_level"],
        role="entry",
        zone=settings["zone"],
        vm=settings["vm"],
    )
    library_log.install(logs.Log())
    _run_loop(entry.EntryProcess, settings)


def _run_control(settings: Mapping[str, Any]) -> None:
    from hickorylead.runtime import control
    from hickorylead.telemetry import library_log, logs

    logs.start_logs(
        settings["log_level"],
        role="control",
        zone=settings["zone"],
        vm=settings["vm"],
    )
    library_log.install(logs.Log())
    _run_loop(control.ControlProcess, settings)


def _run_loop(
    process_class: Callable[..., Any], settings: Mapping[str, Any]
) -> None:
    async def run() -> None:
        await process_class(settings).run()

    try:
        asyncio.run(run())
    except OSError as error:
        raise errors.SettingsError(f"cannot start: {error}") from error
