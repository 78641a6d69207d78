"""The command line: maps commands to functions."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import defopt

from hickorylead import errors
from hickorylead.commands import operations, roles

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

COMMANDS: dict[str, Callable | dict[str, Callable]] = {
    "entry": roles.make_entry_command(),
    "control": roles.make_control_command(),
    "cluster": {"init": operations.init_cluster},
    "service": {
        "apply": operations.apply_service,
        "delete": operations.delete_service,
        "list": operations.list_services,
    },
    "preset": {
        "apply": operations.apply_preset,
        "switch": operations.switch_preset,
        "list": operations.list_presets,
    },
    "drain": operations.drain,
    "status": operations.show_status,
    "explain": operations.explain,
    "losses": operations.show_losses,
}


def run_program(arguments: Sequence[str]) -> int:
    """Runs one command and returns the exit code."""
    try:
        defopt.run(
            COMMANDS,
            argv=list(arguments),
            cli_options="has_default",
            show_types=False,
            show_defaults=False,
            no_negated_flags=True,
            short={},
        )
    except errors.HickoryleadError as error:
        sys.stderr.write(f"hickorylead: {error}\n")
        return error.exit_code
    except KeyboardInterrupt:
        return 130
    return 0
