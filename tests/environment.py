"""Makes the fakes importable, and stops processes that a scenario started."""

from __future__ import annotations

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))
sys.path.insert(0, str(ROOT / "examples"))


def after_scenario(context, _):
    deployment = getattr(context, "deployment", None)
    if deployment is not None:
        deployment.stop()
