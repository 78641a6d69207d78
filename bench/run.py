"""Measures everything anew and writes the tables into the pages.

    .venv/bin/python bench/run.py            all
    .venv/bin/python bench/run.py policy     one of: live, policy, placement,
                                             sizes, fleet

A table stands in its page between `<!-- figures: NAME -->` and
`<!-- end -->`; nothing else of the page is changed.
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
BENCHES = {
    "live": live.run,
    "policy": policy.run,
    "placement": lambda: placement.run(ROOT / "docs"),
    "sizes": sizes.run,
    "fleet": fleet.run,
}


def write(name: str, figures: str) -> None:
    """Puts figures into every page that has a place for them."""
    pattern = re.compile(
        rf"(<!-- figures: {name} -->\n).*?(<!-- end -->)", re.S
    )
    for page in PAGES:
        text = page.read_text(encoding="utf-8")
        replaced = pattern.sub(rf"\g<1>\n{figures}\n\g<2>", text)
        page.write_text(replaced, encoding="utf-8")


def run(names: list[str]) -> int:
    """Measures the named benches, or all."""
    unknown = [name for name in names if name not in BENCHES]
    if unknown:
        print(f"unknown: {unknown}; there are {list(BENCHES)}")
        return 2
    for name in names or BENCHES:
        print(f"measuring: {name}", flush=True)
        write(name, BENCHES[name]())
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
