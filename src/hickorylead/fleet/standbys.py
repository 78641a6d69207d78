"""Free backend servers: what they hold, and what they should hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import instances

# How far a server is from serving a model: in memory from its last group
# (0.2 s), staged on its VM (1.1 to 1.6 s), or in the weight store (12 to 16 s).
WARM, STAGED, COLD = 0, 1, 2
# A server is a standby once it was free for this long, in seconds; before, it
# may just be on its way from one group to the next.
IDLE_S = 1.2


class Standbys:
    """What is known of free servers beyond what they tell."""

    def __init__(self) -> None:
        """Makes a book without servers."""
        self._free_since: dict[str, float] = {}

    def note(self, present: Iterable[instances.Instance], now: float) -> None:
        """Takes what all servers tell now."""
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

    def rate(self, instance: instances.Instance, model: str) -> int:
        """Returns how far a server is from serving a model."""
        if instance.last_model == model:
            return WARM
        return STAGED if model in instance.staged else COLD

    def is_idle(self, instance: instances.Instance, now: float) -> bool:
        """Says whether a server has been free for a while."""
        return now - self._free_since.get(instance.name, now) >= IDLE_S

    def is_settled(self, instance: instances.Instance, now: float) -> bool:
        """Says whether a server is not on its way between two groups."""
        return instance.has_group or self.is_idle(instance, now)

    def sort(
        self, free: list[instances.Instance], model: str
    ) -> list[instances.Instance]:
        """Returns free servers, the nearest to serving a model first."""
        return sorted(free, key=lambda i: (self.rate(i, model), i.name))


def choose_other(engine: document_module.EngineProfile, warm: str) -> str:
    """Returns what a server should stage beside the model in its memory.

    It is the other model with the greatest share; empty if there is none.
    """
    others = [m for m in engine.models if m.name != warm]
    if not others:
        return ""
    return max(others, key=lambda m: (m.initial_vm_share, m.name)).name


def choose_model(
    engine: document_module.EngineProfile,
    serving: Mapping[str, int],
    held: Mapping[str, int],
) -> str:
    """Returns the model that the next standby of a domain should hold.

    A model's groups lose a member the more often the more VMs they have, so
    the standbys are split by the VMs that serve each model.

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
