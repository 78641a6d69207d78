"""Runs the soak: `python tests/soak/run.py --first 1 --count 50`."""

from __future__ import annotations

import argparse
import asyncio
import collections
from collections.abc import Callable
import functools
import pathlib
import signal
import sys
import tempfile
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

from soak import cluster as cluster_module  # noqa: E402


async def run_seed(
    seed: int,
    seconds: float,
    make_cluster: Callable[[], cluster_module.Cluster],
):
    """Runs one seed; an error of the harness counts as a violation."""
    try:
        return await make_cluster().run(seconds)
    except Exception as error:  # noqa: BLE001 - reported with its place
        text = "".join(traceback.format_exception(error, limit=-3))
        empty = collections.Counter()
        return cluster_module.Result(
            seed, [f"harness: {text}"], empty, empty, empty
        )


def print_result(result) -> None:
    """Prints the result of one run."""
    print(  # noqa: T201
        f"seed {result.seed}: {len(result.violations)} violations,"
        f" {sum(result.faults.values())} faults,"
        f" responses {dict(sorted(result.outcomes.items()))},"
        f" repeats {result.most_repeats:.2f}",
        flush=True,
    )
    if result.details:
        print(f"  {dict(sorted(result.details.items()))}", flush=True)  # noqa: T201
    for line in result.violations[:8]:
        print(f"  {line}", flush=True)  # noqa: T201


def make_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser of the options of a run."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--slot", type=int, default=0, help="address block")
    parser.add_argument("--keep", help="folder for the processes' logs")
    return parser


def run_seeds(
    options: argparse.Namespace,
    make_cluster: Callable[[int, pathlib.Path], cluster_module.Cluster],
) -> int:
    """Runs the given seeds; returns 1 if any invariant was violated.

    Args:
        options: Options of `make_parser`.
        make_cluster: Makes the cluster of a seed, with its files in a folder.
    """
    # Exits through SystemExit, so that the started processes are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    results = []
    for seed in range(options.first, options.first + options.count):
        with tempfile.TemporaryDirectory() as temporary:
            base = pathlib.Path(options.keep or temporary) / f"seed{seed}"
            result = asyncio.run(
                run_seed(
                    seed,
                    options.seconds,
                    functools.partial(make_cluster, seed, base),
                )
            )
        results.append(result)
        print_result(result)
    faults, checked = collections.Counter(), collections.Counter()
    for result in results:
        faults += result.faults
        checked += result.checked
    failed = [r.seed for r in results if r.violations]
    print("faults:", dict(faults))  # noqa: T201
    print("checked:", dict(checked))  # noqa: T201
    print(f"seeds: {len(results)} run, with violations: {failed}")  # noqa: T201
    return 1 if failed else 0


def main() -> int:
    """Runs the given seeds; returns 1 if any invariant was violated."""
    options = make_parser(__doc__).parse_args()
    return run_seeds(
        options,
        lambda seed, base: cluster_module.Cluster(seed, base, options.slot),
    )


if __name__ == "__main__":
    sys.exit(main())
