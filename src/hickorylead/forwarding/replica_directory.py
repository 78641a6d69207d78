"""The replicas that a gateway may use, derived from the server registry."""

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

    def __init__(
        self, registry: registry_module.Registry, *, zone: str
    ) -> None:
        """Makes a directory.

        Args:
            registry: Backend servers known to the gateway.
            zone: Zone of the gateway.
        """
        self._zone = zone
        self._registry = registry
        self._document: document_module.Document | None = None
        self._built_versions = (-1, -1)
        self._replicas: dict[tuple[str, str], list[model.Replica]] = {}
        self._by_name: dict[str, model.Replica] = {}

    def set_document(self, document: document_module.Document) -> None:
        """Sets the configuration in force."""
        self._document = document

    def _refresh(self) -> None:
        """Rebuilds the replicas if the registry or the configuration changed.

        This is done on look-up and not on each update: while many groups form,
        a gateway with two requests a second receives 30 updates a second.
        """
        document = self._document
        if document is None:
            return
        versions = (self._registry.change_count, document.version)
        if versions == self._built_versions:
            return
        self._built_versions = versions
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
        """Returns the replicas of a service and model, in a stable order.

        Replicas of a plain service have no model of their own, so all of them
        are returned for any model.
        """
        self._refresh()
        found = self._replicas.get((service, name))
        return found or self._replicas.get((service, ""), [])

    def count(self) -> int:
        """Returns how many replicas there are."""
        self._refresh()
        return len(self._by_name)

    def list_in_zone(self, service: str, zone: str) -> list[model.Replica]:
        """Returns the replicas of a service in a zone, of all models."""
        self._refresh()
        return [
            replica
            for replica in self._by_name.values()
            if replica.service == service and replica.zone == zone
        ]

    def list_samples(self) -> list[model.Replica]:
        """Returns a replica of each service, of this zone if there is one."""
        self._refresh()
        samples: dict[str, model.Replica] = {}
        for replica in self._by_name.values():
            known = samples.get(replica.service)
            if known is None or (
                replica.zone == self._zone != known.zone
                and not replica.is_missing
            ):
                samples[replica.service] = replica
        return list(samples.values())

    def find(self, name: str) -> model.Replica | None:
        """Returns the replica for which an instance receives requests."""
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
            profile = engine.find_model(group.model)
            if profile is None or not groups_module.may_serve(group, profile):
                continue
            head = group.head
            assert head is not None
            self._replicas[service, profile.name].append(
                _make_replica(head, profile.name, engine.slots)
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
        is_missing=instance.silent,
        born=instance.born,
    )
