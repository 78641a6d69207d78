"""The program `hickorylead-standin`."""

from __future__ import annotations

import sys

import defopt

from hickorylead_standins import engines, plain, weights


def run() -> None:
    """Runs the stand-in that the arguments name."""
    defopt.run(
        {
            "engines": engines.run_engines,
            "plain": plain.run_plain,
            "weights": weights.run_weights,
        },
        argv=sys.argv[1:],
        cli_options="all",
        short={},
    )


if __name__ == "__main__":
    run()
