"""Free backend servers: the models they hold, and those they should hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import instances

# Where a server gets a model from: its memory, if its last group had the model
# (0.2 s), its VM, where the model is staged (1.1 to 1.6 s), or the weight store
# (12 to 16 s). Lower values are closer to serving.
WARM, STAGED, COLD = 0, 1, 2
# Time for which a server must have been free to count as a standby, in seconds;
# before that, it may be moving from one group to the next.
IDLE_S = 1.2


class Standbys:
    """Tracks how long servers have been free, which they do not report."""

    def __init__(self) -> None:
        """Makes a tracker without servers."""
        self._free_since: dict[str, float] = {}

    def update(self, present: Iterable[instances.Instance], now: float) -> None:
        """Updates which servers are free from the present reports."""
        names = set()
        for instance in present:
            names.add(instance.name)
            if instance.has_group:
                self._free_since.pop(instance.name, None)
            else:
                self._free_since.setdefault(instance.name, now)
        self._free_since = {
            n: t for n, t in self._free_since.items() if n in names
        }

    def classify(self, instance: instances.Instance, model: str) -> int:
        """Returns whether a server is warm, staged or cold for a model."""
        if instance.last_model == model:
            return WARM
        return STAGED if model in instance.staged else COLD

    def is_idle(self, instance: instances.Instance, now: float) -> bool:
        """Returns whether a server has been free for `IDLE_S`."""
        return now - self._free_since.get(instance.name, now) >= IDLE_S

    def is_settled(self, instance: instances.Instance, now: float) -> bool:
        """Returns whether a server is not moving between two groups."""
        return instance.has_group or self.is_idle(instance, now)

    def sort(
        self, free: list[instances.Instance], model: str
    ) -> list[instances.Instance]:
        """Returns free servers, the closest to serving a model first."""
        return sorted(free, key=lambda i: (self.classify(i, model), i.name))


def choose_secondary(
    engine: document_module.EngineProfile, loaded_model: str
) -> str:
    """Returns the model that a server should stage as its secondary one.

    This is the model with the greatest share, other than the model in the
    server's memory; empty if there is none.
    """
    candidates = [m for m in engine.models if m.name != loaded_model]
    if not candidates:
        return ""
    return max(candidates, key=lambda m: (m.initial_vm_share, m.name)).name


def choose_model(
    engine: document_module.EngineProfile,
    serving: Mapping[str, int],
    held: Mapping[str, int],
) -> str:
    """Returns the model that the next standby of a domain should hold.

    The more VMs serve a model, the more often its groups lose a member, so the
    standbys are divided in proportion to the VMs that serve each model.

    Args:
        engine: The models.
        serving: Groups of the domain by model.
        held: Standbys of the domain by model.
    """
    return max(
        engine.models,
        key=lambda m: (
            max(1, serving.get(m.name, 0))
            * m.group_size
            / (1 + held.get(m.name, 0)),
            m.name,
        ),
    ).name
