"""Which backend servers one gateway can open connections to.

A gateway that reaches no server looks like a gateway whose servers are all
down: each attempt ends without a connection. The difference matters, because
other gateways may still reach the servers. Silence on an open connection is no
evidence here, since a working server may be silent for a while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead import notes
from hickorylead.relaying import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.forwarding import model

# Number of servers of a service and zone to which connections must begin to
# fail, without any success in between, before none of them counts as reachable.
MIN_FAILED_SERVERS = 2
# The same number while the service's servers of another zone are unreachable.
MIN_FAILED_SERVERS_NEXT_ZONE = 1
# Period at which one server of each service and zone is probed while
# connections to any of them fail, in seconds.
PROBE_PERIOD_S = 0.5


@attrs.define
class _Scope:
    """Connections to the servers of one service and zone.

    Attributes:
        failed: Servers to which the latest connection failed.
        fresh: Those that began to fail since the latest success.
        unreachable_since: When all of its servers became unreachable; None if
            they are reachable.
        next_probe: When one of its servers is probed next.
        probed: Name of the server that was probed last.
    """

    failed: dict[str, model.Replica] = attrs.field(factory=dict)
    fresh: set[str] = attrs.field(factory=set)
    unreachable_since: float | None = None
    next_probe: float = -1e9
    probed: str = ""


class Reachability:
    """Outcome of the latest connections of one gateway."""

    def __init__(self) -> None:
        """Makes a view in which all servers are reachable."""
        self._scopes: dict[messages.Scope, _Scope] = {}
        self._connected_at: dict[messages.Scope, float] = {}
        self.failure_count = 0

    def record_connected(
        self, replica: model.Replica, now: float
    ) -> list[notes.Note]:
        """Records a new connection to a server; returns what changed."""
        scope = find_scope(replica)
        self._connected_at[scope] = now
        state = self._scopes.get(scope)
        if state is None:
            return []
        state.failed.pop(replica.name, None)
        state.fresh.clear()
        since, state.unreachable_since = state.unreachable_since, None
        if not state.failed:
            del self._scopes[scope]
        if since is None:
            return []
        return [
            notes.note(
                "servers_reachable",
                service=scope.service,
                server_zone=scope.zone,
                server=replica.name,
                after_s=round(now - since, 3),
            )
        ]

    def record_failure(
        self, replica: model.Replica, reason: str, *, present: int, now: float
    ) -> list[notes.Note]:
        """Records that a connection to a server failed; returns what changed.

        Args:
            replica: The server.
            reason: Stable code of the failure.
            present: Number of such servers in its zone.
            now: Present time.
        """
        self.failure_count += 1
        scope = find_scope(replica)
        state = self._scopes.setdefault(
            scope, _Scope(next_probe=now + PROBE_PERIOD_S)
        )
        if replica.name not in state.failed:
            state.fresh.add(replica.name)
        state.failed[replica.name] = replica
        if state.unreachable_since is not None or (
            len(state.fresh) < self._find_min_failed(scope)
            and len(state.failed) < present
        ):
            return []
        state.unreachable_since = now
        return [
            notes.note(
                "servers_unreachable",
                service=scope.service,
                server_zone=scope.zone,
                servers=sorted(state.failed),
                last_failure=reason,
            )
        ]

    def _find_min_failed(self, scope: messages.Scope) -> int:
        is_next_zone = any(
            other.service == scope.service
            and state.unreachable_since is not None
            for other, state in self._scopes.items()
        )
        return (
            MIN_FAILED_SERVERS_NEXT_ZONE if is_next_zone else MIN_FAILED_SERVERS
        )

    def is_reachable(self, replica: model.Replica) -> bool:
        """Returns whether connections to a server are expected to succeed."""
        state = self._scopes.get(find_scope(replica))
        return state is None or (
            state.unreachable_since is None and replica.name not in state.failed
        )

    def is_scope_reachable(self, replica: model.Replica) -> bool:
        """Returns whether any server of a server's service and zone is."""
        state = self._scopes.get(find_scope(replica))
        return state is None or state.unreachable_since is None

    def has_failures(self) -> bool:
        """Returns whether any connection has failed and not succeeded since."""
        return bool(self._scopes)

    def list_unreachable(self) -> tuple[messages.Scope, ...]:
        """Returns the services and zones of which no server is reachable."""
        return tuple(
            scope
            for scope, state in self._scopes.items()
            if state.unreachable_since is not None
        )

    def list_connected(
        self, within_s: float, now: float
    ) -> tuple[messages.Scope, ...]:
        """Returns the services and zones with a recent new connection.

        Those to which connections have begun to fail since are left out.
        """
        return tuple(
            scope
            for scope, at in self._connected_at.items()
            if now - at < within_s
            and (scope not in self._scopes or not self._scopes[scope].fresh)
        )

    def list_failed(self, replica: model.Replica) -> list[model.Replica]:
        """Returns the failed servers of a server's service and zone."""
        state = self._scopes.get(find_scope(replica))
        return list(state.failed.values()) if state else []

    def count_failed(self) -> int:
        """Returns the servers to which the latest connection failed."""
        return sum(len(state.failed) for state in self._scopes.values())

    def choose_probes(
        self,
        list_servers: Callable[[messages.Scope], list[model.Replica]],
        now: float,
    ) -> list[model.Replica]:
        """Returns the servers to probe now, each in turn.

        While none of the servers of a zone counts as reachable, those that have
        not failed yet are probed too.

        Args:
            list_servers: Returns the servers of a service and zone.
            now: Present time.
        """
        chosen = []
        for scope, state in self._scopes.items():
            if now < state.next_probe:
                continue
            state.next_probe = now + PROBE_PERIOD_S
            candidates = dict(state.failed)
            if state.unreachable_since is not None:
                candidates |= {r.name: r for r in list_servers(scope)}
            names = sorted(candidates)
            later = [name for name in names if name > state.probed]
            state.probed = (later or names)[0]
            chosen.append(candidates[state.probed])
        return chosen

    def retain(self, names: set[str]) -> None:
        """Drops servers that are not in `names`."""
        for scope, state in list(self._scopes.items()):
            state.failed = {
                name: replica
                for name, replica in state.failed.items()
                if name in names
            }
            state.fresh &= names
            if not state.failed:
                del self._scopes[scope]


def find_scope(replica: model.Replica) -> messages.Scope:
    """Returns the service and zone of a server."""
    return messages.Scope(replica.service, replica.zone)
