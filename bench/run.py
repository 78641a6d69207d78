"""Runs the benchmarks and writes their tables into the pages.

    .venv/bin/python bench/run.py            all
    .venv/bin/python bench/run.py policy     one of: live, policy, placement,
                                             sizes, fleet

A table is placed in its page between `<!-- figures: NAME -->` and
`<!-- end -->`; the rest of the page is unchanged.
"""

from __future__ import annotations

import pathlib
import re
import sys

import fleet
import live
import placement
import policy
import sizes

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = (ROOT / "docs/measurements.md", ROOT / "docs/CAPACITY.md")
BENCHMARKS = {
    "live": live.run,
    "policy": policy.run,
    "placement": lambda: placement.run(ROOT / "docs"),
    "sizes": sizes.run,
    "fleet": fleet.run,
}


def write(name: str, tables: str) -> None:
    """Replaces a benchmark's tables in every page that has markers for them."""
    pattern = re.compile(
        rf"(<!-- figures: {name} -->\n).*?(<!-- end -->)", re.S
    )
    for page in PAGES:
        text = page.read_text(encoding="utf-8")
        replaced = pattern.sub(rf"\g<1>\n{tables}\n\g<2>", text)
        page.write_text(replaced, encoding="utf-8")


def run(names: list[str]) -> int:
    """Runs the named benchmarks, or all."""
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        print(f"unknown benchmarks: {unknown}; known: {list(BENCHMARKS)}")
        return 2
    for name in names or BENCHMARKS:
        print(f"measuring: {name}", flush=True)
        write(name, BENCHMARKS[name]())
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
