"""Which route, workspace and service a request belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

    from hickorylead.configuration import document as document_module


@attrs.frozen
class RouteMatch:
    """A request that may be forwarded.

    Attributes:
        route: Its route.
        workspace: Workspace of the caller; None if the route needs no key.
    """

    route: document_module.Route
    workspace: document_module.Workspace | None


@attrs.frozen
class NoRoute:
    """No route matches the request."""


@attrs.frozen
class InvalidKey:
    """The caller sent no valid key."""


class RouteTable:
    """The routes and keys of one configuration, indexed for look-up."""

    def __init__(self, document: document_module.Document) -> None:
        """Indexes a configuration.

        Args:
            document: The configuration in force.
        """
        self.document = document
        self._by_host: dict[str, dict[str, document_module.Route]] = {}
        for route in document.routes:
            routes = self._by_host.setdefault(route.host.lower(), {})
            routes[route.prefix] = route
        self._longest_prefix = max(
            (len(route.prefix) for route in document.routes), default=0
        )
        self._by_key = {
            key: workspace
            for workspace in document.workspaces
            for key in workspace.keys
        }

    def find(
        self, host: str, path: str, key: str
    ) -> RouteMatch | NoRoute | InvalidKey:
        """Returns the route and workspace of a request, or why it has none.

        Args:
            host: Value of its `Host` header.
            path: Its path, as the caller sent it.
            key: Key that the caller sent; empty if none.
        """
        route = self._find_route(host, path)
        if route is None:
            return NoRoute()
        workspace = self._by_key.get(key)
        if not route.needs_key or not self.document.workspaces:
            return RouteMatch(route, workspace)
        return (
            InvalidKey() if workspace is None else RouteMatch(route, workspace)
        )

    def _find_route(self, host: str, path: str) -> document_module.Route | None:
        routes = self._by_host.get(host.lower())
        if routes is None:
            routes = self._by_host.get(host.partition(":")[0].lower())
        if not routes:
            return None
        # Every prefix ends with a slash, so only the parts of the path up to a
        # slash can match. The cost of a look-up does not grow with the number
        # of routes, nor with the length of the path.
        end = min(len(path), self._longest_prefix)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route: document_module.Route, rng: random.Random) -> str:
    """Returns a service of a route, drawn by weight."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    weights = [target.weight for target in targets]
    return rng.choices(targets, weights)[0].service
