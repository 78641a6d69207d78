"""The configuration document: services, presets and the preset in force."""

from __future__ import annotations

import attrs

KIND_MODEL = "model"
KIND_PLAIN = "plain"


@attrs.frozen
class Service:
    """A service that callers use by its name.

    Attributes:
        name: What callers put into `model`, or the first part of the path.
        kind: `model` for replica groups, `plain` for services routed by path.
        model: Model name in the weight store; empty for plain services.
        version: Model version.
        adapters: Names of adapters loaded with the model.
        replicas: Total number of replicas in all zones, unless a preset sets
            another number.
        group_size: VMs in one replica group.
        rank: Order in which services get loads and VMs if there are too few; 0
            is first.
        non_idempotent: True if its calls may run at most once.
    """

    name: str
    kind: str = KIND_MODEL
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    replicas: int = 1
    group_size: int = 1
    rank: int = 0
    non_idempotent: bool = False

    @property
    def weights(self) -> str:
        """The name with which VMs announce that they hold the weights."""
        return "+".join((f"{self.model}@{self.version}", *self.adapters))


@attrs.frozen
class Share:
    """How many replicas of a service one zone should run."""

    service: str
    zone: str
    replicas: int


@attrs.frozen
class Preset:
    """A named set of shares; exactly one preset is in force at a time."""

    name: str
    shares: tuple[Share, ...] = ()


@attrs.frozen
class Configuration:
    """All that operators configure, at one version.

    Attributes:
        version: Number of accepted changes; it never decreases.
        services: Sorted by name.
        presets: Sorted by name.
        preset: Name of the preset in force; empty before the first switch.
        drained: VMs that operators drain, sorted.
        outside_version: Version that the operator assigned to a full
            configuration; 0 if there is none.
        content: That full configuration as the operator sent it, compressed by
            `document.compress_content`.
    """

    version: int = 0
    services: tuple[Service, ...] = ()
    presets: tuple[Preset, ...] = ()
    preset: str = ""
    drained: tuple[str, ...] = ()
    outside_version: int = 0
    content: bytes = b""

    def find_service(self, name: str) -> Service | None:
        """Returns the service of that name, if there is one."""
        return next((s for s in self.services if s.name == name), None)

    def find_preset(self, name: str) -> Preset | None:
        """Returns the preset of that name, if there is one."""
        return next((p for p in self.presets if p.name == name), None)

    def list_shares(self, zone: str) -> list[tuple[Service, int]]:
        """Returns each service with the replicas one zone should run.

        The numbers are the shares of the preset in force. Without a preset the
        list is empty, so that an incomplete first configuration starts no
        replicas.
        """
        preset = self.find_preset(self.preset)
        if preset is None:
            return []
        replicas = {
            s.service: s.replicas for s in preset.shares if s.zone == zone
        }
        return [
            (service, replicas.get(service.name, 0))
            for service in sorted(self.services, key=lambda s: (s.rank, s.name))
            if service.kind == KIND_MODEL
        ]
