"""What a gateway sends to coordinators: hellos and reports."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hickorylead.fleet import messages
from hickorylead.relaying import messages as relay_messages
from hickorylead.roles import interface

if TYPE_CHECKING:
    from hickorylead.roles import gateway_parts

HELLO_PERIOD_S = 0.25
# Period between hellos without requests, in seconds: a hello then rarely
# carries anything new.
IDLE_HELLO_PERIOD_S = 0.5
# Period between hellos to coordinators other than the home coordinator, in
# seconds: with six coordinators and 71 gateways, a hello and its reply each
# second were a third of all messages. A gateway that lost its home coordinator
# sends hellos to all coordinators at once.
OTHER_COORDINATOR_HELLO_PERIOD_S = 8.0
# Period between hellos to the other coordinators, in seconds, while the home
# coordinator has no leader or a replica of another zone is stalled: changes
# must arrive within 2 s.
OTHER_COORDINATOR_HELLO_URGENT_PERIOD_S = 0.5
# Time within which a working replica sends output again, in seconds.
PROGRESS_WINDOW_S = 0.4
# Longest time between two decisions about runs that have ended, in seconds.
DECISION_PERIOD_S = 0.25
# Shortest time between two reports of servers at fault, in seconds: a group
# that lost a member refuses every request, and without this limit its refusals
# would cause a report at each tick.
FAULTY_SERVERS_PERIOD_S = 1.0


class Reports:
    """Hellos and reports of one gateway, and when they are due."""

    def __init__(self, parts: gateway_parts.Parts, now: float) -> None:
        """Makes the reports of a gateway that has just started.

        Args:
            parts: Its parts.
            now: Present time.
        """
        self._parts = parts
        self._next_hello = now
        self._next_faulty_servers = now
        self._reported_stalled: set[str] = set()
        self._next_other_hello = now
        self._decided_changes = -1
        # Time since which this gateway has had a home coordinator.
        self._informed_since = math.inf
        self._next_decision = now

    def tick(self, now: float) -> list[gateway_parts.Effect]:
        """Returns what is due now."""
        stalled = set(self._parts.list_stalled(now))
        new_stalled = stalled - self._reported_stalled
        home_coordinator = self._parts.coordinators.find_home(now)
        if not home_coordinator:
            self._informed_since = math.inf
        elif self._informed_since == math.inf:
            self._informed_since = now
        if (
            self._parts.registry.change_count != self._decided_changes
            or now >= self._next_decision
        ):
            self._decided_changes = self._parts.registry.change_count
            self._next_decision = now + DECISION_PERIOD_S
            self._parts.guard.decide_ended_runs(
                lambda server, born: self._parts.registry.has_ended(
                    server, born, now
                ),
                now,
                informed_since=self._informed_since,
                pauses=self._parts.pauses,
            )
        effects: list[gateway_parts.Effect] = [
            interface.Send(*sent)
            for sent in self._parts.guard.collect_messages(
                home_coordinator, now
            )
        ]
        effects += self.send_permit_messages(home_coordinator, now)
        effects += [
            interface.Send(*sent)
            for sent in self._parts.notice_reporter.collect_messages(
                home_coordinator, now
            )
        ]
        effects += self.request_relays(home_coordinator, now)
        if home_coordinator and now >= self._next_faulty_servers:
            effects += self._report_faulty_servers(home_coordinator, now)
        # After a change of its home coordinator, the gateway sends hellos at
        # once: before that no coordinator sends updates to this gateway.
        has_become_short = self._parts.borrower.check_shortage(now)
        if (
            now >= self._next_hello
            or new_stalled
            or home_coordinator != self._parts.coordinators.home
        ):
            self._reported_stalled = stalled
            if new_stalled and home_coordinator:
                report = messages.StallNews(
                    self._parts.identity.node, tuple(sorted(new_stalled))
                )
                effects.append(interface.Send(home_coordinator, report))
            is_idle = (
                self._parts.routes and not self._parts.forwarder.count_pending()
            )
            self._next_hello = now + (
                IDLE_HELLO_PERIOD_S if is_idle else HELLO_PERIOD_S
            )
            effects += self._send_hellos(home_coordinator, now)
        elif has_become_short and home_coordinator:
            hello = self._make_hello(home_coordinator, now)
            effects.append(interface.Send(home_coordinator, hello))
        return effects

    def request_relays(
        self, home_coordinator: str, now: float
    ) -> list[gateway_parts.Effect]:
        """Returns a request for relays if one is due."""
        if not self._parts.relays.is_request_due(now):
            return []
        request = relay_messages.RelayRequest(self._parts.identity.node)
        targets = (
            [home_coordinator]
            if home_coordinator
            else self._parts.coordinators.list_heard()
        )
        return [interface.Send(node, request) for node in targets]

    def _report_faulty_servers(
        self, home_coordinator: str, now: float
    ) -> list[gateway_parts.Effect]:
        """Requests probes of the servers that refusals named as faulty.

        A head can detect the loss of a member before the coordinator misses
        heartbeats.
        """
        names = self._parts.forwarder.pop_faulty_servers()
        if not names:
            return []
        self._next_faulty_servers = now + FAULTY_SERVERS_PERIOD_S
        return [
            interface.Send(
                home_coordinator,
                messages.StallNews(self._parts.identity.node, names),
            )
        ]

    def send_permit_messages(
        self, home_coordinator: str, now: float
    ) -> list[gateway_parts.Effect]:
        """Returns what is due about permits."""
        return [
            interface.Send(*sent)
            for sent in self._parts.permits.collect_messages(
                home_coordinator, now
            )
        ]

    def _send_hellos(
        self, home_coordinator: str, now: float
    ) -> list[gateway_parts.Effect]:
        targets = self._parts.coordinators.list_hello_targets(
            self._parts.identity.seeds
        )
        self._parts.coordinators.set_home(home_coordinator)
        is_home_coordinator_fresh = self._parts.coordinators.is_fresh(
            home_coordinator
        )
        effects: list[gateway_parts.Effect] = []
        stalled = self._parts.list_stalled(now)
        stalled_zones = self._find_zones(stalled)
        # A gateway that starts with a home coordinator that may be behind sends
        # hellos to all coordinators.
        may_be_behind = (
            self._parts.routes is None and not is_home_coordinator_fresh
        )
        is_other_due = (
            not home_coordinator
            or may_be_behind
            or now >= self._next_other_hello
        )
        if is_other_due:
            self._next_other_hello = now + OTHER_COORDINATOR_HELLO_PERIOD_S
        elif not is_home_coordinator_fresh or stalled_zones - {
            self._parts.zone
        }:
            self._next_other_hello = min(
                self._next_other_hello,
                now + OTHER_COORDINATOR_HELLO_URGENT_PERIOD_S,
            )
        for node in targets:
            is_home = node == home_coordinator
            if not is_home and not is_other_due:
                continue
            hello = self._make_hello(node, now)
            effects.append(interface.Send(node, hello))
        return effects

    def _make_hello(self, node: str, now: float) -> messages.GatewayHello:
        """Returns the hello to send to a coordinator."""
        is_home = node == self._parts.coordinators.home
        return messages.GatewayHello(
            node=self._parts.identity.node,
            boot=self._parts.identity.boot,
            version=self._parts.get_version(),
            check=self._parts.registry.digest,
            is_home=is_home,
            loads=self._list_loads() if is_home else (),
            stalled=self._parts.list_stalled(now),
            flowing=tuple(
                messages.HeadFlow(name, int(age_s * 1000))
                for name, age_s in self._parts.health.list_progressing(
                    PROGRESS_WINDOW_S, now
                )
            ),
            blocked=self._parts.guard.compute_digest(now),
            sent_ms=int(now * 1000),
            unit_share=self._parts.borrower.unit_share,
            is_short=self._parts.borrower.is_short,
            held_share=self._parts.borrower.find_held_share(node, now),
        )

    def _find_zones(self, heads: tuple[str, ...]) -> set[str]:
        known = self._parts.registry.instances
        return {known[head].zone for head in heads if head in known}

    def _list_loads(self) -> tuple[messages.HeadLoad, ...]:
        return tuple(
            messages.HeadLoad(name, stats.own_requests)
            for name, stats in self._parts.health.stats.items()
            if stats.own_requests
        )
