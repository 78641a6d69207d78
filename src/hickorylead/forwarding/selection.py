"""Selects replicas for requests, by the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from hickorylead.configuration import document as document_module
    from hickorylead.forwarding import (
        choice as choice_module,
        shared_limits,
        state,
    )


class Selector:
    """Selects replicas for the requests of one gateway.

    Attributes:
        document: The configuration in force; None before the first one.
    """

    def __init__(
        self,
        chooser: choice_module.Chooser,
        limits: shared_limits.SharedLimits,
    ) -> None:
        """Makes a selector without a configuration.

        Args:
            chooser: The choice of a replica.
            limits: This gateway's part of limits that all gateways share.
        """
        self._chooser = chooser
        self._limits = limits
        self.document: document_module.Document | None = None

    def choose(
        self,
        pending: state.PendingRequest,
        *,
        avoid: Collection[str],
        may_probe: bool,
        now: float,
    ) -> choice_module.Choice | choice_module.NoChoice:
        """Chooses a replica for a request.

        Args:
            pending: The request.
            avoid: Replicas that are not to be used.
            may_probe: Whether the request may probe whether a replica that
                refused requests accepts them again.
            now: Present time.
        """
        service = pending.request.service
        return self._chooser.choose(
            pending.request,
            self.find_engine(service),
            avoid=avoid,
            may_probe=may_probe,
            max_own_requests=self._limits.find_max_own_requests(
                self._find_service(service)
            ),
            now=now,
        )

    def find_engine(self, service: str) -> document_module.EngineProfile | None:
        """Returns the engines of a service; None if it is plain or unknown."""
        found = self._find_service(service)
        return found.engine if found else None

    def _find_service(self, name: str) -> document_module.Service | None:
        return self.document.find_service(name) if self.document else None
