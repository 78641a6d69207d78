"""Sets import paths; starts and stops deployments that features share."""

from __future__ import annotations

import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))
sys.path.insert(0, str(ROOT / "examples"))


def before_feature(context, feature):
    """Starts a deployment of real processes for features that are so tagged."""
    if "processes" not in feature.tags:
        return
    from support import processes

    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.deployment = processes.start(pathlib.Path(folder.name))
    context.add_cleanup(context.deployment.stop)
    processes.configure(context.deployment)
