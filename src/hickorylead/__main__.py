"""Entry point of the program `hickorylead`."""

from __future__ import annotations

import sys


def run() -> None:
    """Runs the command given by the arguments."""
    from hickorylead.commands import program

    sys.exit(program.run_program(sys.argv[1:]))


if __name__ == "__main__":
    run()
