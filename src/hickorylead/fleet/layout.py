"""Chooses the groups of a fabric domain by its VMs and model supply."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorylead.configuration import document as document_module

# A domain keeps a model that it serves unless another model is scarcer by this
# fraction of its target supply. A change of model ends a working group, and
# takes the time of that group's running requests and of a load from the VM,
# about 3 s.
STAY_MARGIN = 0.25


def measure_supply(
    engine: document_module.EngineProfile,
    serving_vms: Mapping[str, int],
    alive: int,
    spare_share: float,
) -> dict[str, float]:
    """Returns each model's VMs as a fraction of its target; 1 is on target.

    Args:
        engine: The models with their shares.
        serving_vms: VMs that serve each model, or are about to, in all domains.
        alive: Number of VMs of the service that are alive, in all domains.
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

    First, one group of each model is placed, starting with the scarcest model,
    even if that uses the standbys: while each domain serves all models, the
    loss of a domain or a VM leaves some groups of each model. Further groups
    follow by the models' shares, as long as the standbys are kept.

    Args:
        engine: The models.
        alive: Number of VMs of the domain that are alive.
        serving: Groups of the domain by model.
        supply: Supply of each model in all domains; see `measure_supply`.
        spare_share: Share of the domain's VMs kept as standbys.
    """
    layout: collections.Counter[str] = collections.Counter()
    remaining = alive
    by_need = sorted(
        engine.models,
        key=lambda m: (
            supply[m.name] - (STAY_MARGIN if serving.get(m.name) else 0.0),
            -m.initial_vm_share,
            m.name,
        ),
    )
    for profile in by_need:
        if profile.group_size <= remaining:
            layout[profile.name] += 1
            remaining -= profile.group_size
    remaining -= round(spare_share * alive)
    while True:
        fitting = [m for m in engine.models if m.group_size <= remaining]
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
        remaining -= best.group_size
