"""Which groups a fabric domain should have, by its VMs and what is scarce."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorylead.configuration import document as document_module

# A model that the domain serves already stays unless another one is scarcer by
# this much of its wanted supply: a change ends a group that works, and takes
# the time of its running requests and of a load from the VM, about 3 s.
STAY_MARGIN = 0.25


def measure_supply(
    engine: document_module.EngineProfile,
    serving_vms: Mapping[str, int],
    alive: int,
    spare_share: float,
) -> dict[str, float]:
    """Returns what each model has of the VMs that it should have; 1 is right.

    Args:
        engine: The models with their shares.
        serving_vms: VMs that serve each model, or are about to, anywhere.
        alive: VMs of the service that live, anywhere.
        spare_share: Share of VMs kept as standbys.
    """
    usable = max(1.0, alive * (1.0 - spare_share))
    return {
        m.name: serving_vms.get(m.name, 0)
        / (usable * max(m.initial_vm_share, 0.01))
        for m in engine.models
    }


def choose_layout(
    engine: document_module.EngineProfile,
    *,
    alive: int,
    serving: Mapping[str, int],
    supply: Mapping[str, float],
    spare_share: float,
) -> collections.Counter[str]:
    """Returns how many groups of each model a domain should have.

    One of each model comes first, even from the standbys, the scarcest model
    before the others: while a domain holds both, the loss of a domain or a VM
    leaves some of each. More follow by the models' shares, as long as the
    standbys stay.

    Args:
        engine: The models.
        alive: VMs of the domain that live.
        serving: Groups of the domain by model.
        supply: What each model has everywhere; see `measure_supply`.
        spare_share: Share of the domain's VMs kept as standbys.
    """
    layout: collections.Counter[str] = collections.Counter()
    left = alive
    by_need = sorted(
        engine.models,
        key=lambda m: (
            supply[m.name] - (STAY_MARGIN if serving.get(m.name) else 0.0),
            -m.initial_vm_share,
            m.name,
        ),
    )
    for figures in by_need:
        if figures.group_size <= left:
            layout[figures.name] += 1
            left -= figures.group_size
    left -= round(spare_share * alive)
    while True:
        fitting = [m for m in engine.models if m.group_size <= left]
        if not fitting:
            return layout
        best = min(
            fitting,
            key=lambda m: (
                layout[m.name] * m.group_size / max(m.initial_vm_share, 0.01),
                m.name,
            ),
        )
        layout[best.name] += 1
        left -= best.group_size
