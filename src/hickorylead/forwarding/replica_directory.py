"""The replicas that a gateway may use, from what backend servers tell."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from hickorylead.fleet import groups as groups_module, instances
from hickorylead.forwarding import model

if TYPE_CHECKING:
    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import registry as registry_module


class ReplicaDirectory:
    """Replicas by service and model, kept up to date with a registry."""

    def __init__(self, registry: registry_module.Registry) -> None:
        """Makes a view.

        Args:
            registry: Backend servers that the gateway knows.
        """
        self._registry = registry
        self._document: document_module.Document | None = None
        self._seen = (-1, -1)
        self._replicas: dict[tuple[str, str], list[model.Replica]] = {}
        self._by_name: dict[str, model.Replica] = {}

    def set_document(self, document: document_module.Document) -> None:
        """Takes the configuration in force."""
        self._document = document

    def _refresh(self) -> None:
        """Looks at all servers again if anything changed since.

        Only when somebody asks: while many groups form, 30 news a second came
        to a gateway that had two requests a second.
        """
        document = self._document
        if document is None:
            return
        seen = (self._registry.changes, document.version)
        if seen == self._seen:
            return
        self._seen = seen
        self._replicas = collections.defaultdict(list)
        present = self._registry.list_present()
        by_service = collections.defaultdict(list)
        for instance in present:
            by_service[instance.service].append(instance)
        for service in document.services:
            found = by_service.get(service.name, [])
            if service.engine is None:
                self._add_plain(service.name, found)
            else:
                self._add_groups(service.name, service.engine, found)
        self._by_name = {
            replica.name: replica
            for replicas in self._replicas.values()
            for replica in replicas
        }

    def list_replicas(self, service: str, name: str) -> list[model.Replica]:
        """Returns the replicas of a service and model, in a stable order."""
        self._refresh()
        return self._replicas.get((service, name), [])

    def count(self) -> int:
        """Returns how many replicas there are."""
        self._refresh()
        return len(self._by_name)

    def find(self, name: str) -> model.Replica | None:
        """Returns the replica whose requests an instance takes."""
        self._refresh()
        return self._by_name.get(name)

    def _add_plain(self, service: str, found: list[instances.Instance]) -> None:
        for instance in sorted(found, key=lambda i: i.name):
            if instance.phase == instances.PHASE_READY:
                self._replicas[service, ""].append(
                    _make_replica(instance, "", instance.slots)
                )

    def _add_groups(
        self,
        service: str,
        engine: document_module.EngineProfile,
        found: list[instances.Instance],
    ) -> None:
        groups = groups_module.collect_groups(found)
        for _, group in sorted(groups.items()):
            figures = engine.find_model(group.model)
            if figures is None or not groups_module.may_serve(group, figures):
                continue
            head = group.head
            assert head is not None
            self._replicas[service, figures.name].append(
                _make_replica(head, figures.name, engine.slots)
            )


def _make_replica(
    instance: instances.Instance, name: str, slots: int
) -> model.Replica:
    return model.Replica(
        name=instance.name,
        service=instance.service,
        model=name,
        address=instance.address,
        zone=instance.zone,
        slots=max(1, slots),
        epoch=instance.member.epoch,
        is_silent=instance.silent,
        born=instance.born,
    )
