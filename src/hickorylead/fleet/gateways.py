"""The gateways known to a coordinator, and the updates it sends them."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hickorylead import notes
from hickorylead.fleet import (
    divergence,
    events,
    gateway_count,
    limit_loans,
    messages,
)
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from hickorylead.fleet import (
        full_sync as full_sync_module,
        registry as registry_module,
    )
    from hickorylead.turns import own_pauses

# Time without a hello after which a gateway gets no more updates, in seconds.
GATEWAY_TIMEOUT_S = 10.0
# Period at which a home coordinator sends its gateways the loads (the number of
# requests that run on each replica), in seconds.
LOADS_PERIOD_S = 0.25
# Period at which a gateway's loan of retries is renewed, in seconds; a gateway
# that runs short gets a reply at once.
LOAN_PERIOD_S = 0.75
# Period at which a gateway gets the list of coordinators, in seconds; it also
# gets the list when the list changes. A list of six takes 400 bytes. A gateway
# that looks for a home coordinator gets the list in reply to each hello: it
# uses the reply as a liveness signal.
COORDINATORS_PERIOD_S = 5.0
# A gateway that holds an older configuration gets the newer one from its home
# coordinator at once. Other coordinators send it only once the gateway has been
# outdated for this long, in seconds: when all 6 coordinators sent 30 KB to 71
# gateways at each change, the messages took 13 MB. The other coordinators do
# send it then, as the home coordinator may be outdated itself and a change must
# arrive within 2 s.
OUTDATED_GRACE_S = 0.2
# Time for which a configuration that was sent counts as in transit and is not
# sent again, in seconds.
RESEND_DOCUMENT_S = 0.5
# Time after which a gateway that still holds an older configuration is reported
# to the log, and interval of further reports, in seconds.
OUTDATED_REPORT_S = 1.0
# Rate at which a gateway at least receives a configuration, in bytes/s: half of
# the slowest link. A configuration in transit is not sent again.
MIN_LINK_BYTES_PER_S = 1024 * 1024
# The same time for a gateway that has no configuration yet, in seconds. The
# home coordinator sends such a gateway the configuration again at each hello:
# the first copy may not be marked as recent, if no leader had been elected yet.
RESEND_FIRST_DOCUMENT_S = 0.2


@attrs.define
class _Gateway:
    boot: int
    last_hello_at: float
    version: int = 0
    is_home: bool = False
    hello_ms: int = 0
    unit_share: float = 0.0
    is_short: bool = False
    held_share: float = 0.0
    loads: tuple[messages.HeadLoad, ...] = ()
    coordinators_sent_at: float = -1e9
    coordinators_sent: tuple[str, ...] = ()
    outdated_since: float | None = None
    next_outdated_report: float = 0.0
    document_sent_at: float = -1e9
    loan_sent_at: float = -1e9


class Gateways:
    """Gateways by name."""

    def __init__(
        self,
        *,
        zone: str,
        is_first_start: bool,
        pauses: own_pauses.OwnPauses,
    ) -> None:
        """Makes a view without gateways.

        Args:
            zone: Zone of the coordinator.
            is_first_start: Whether the whole system starts for the first time.
            pauses: Times at which the coordinator did not handle hellos.
        """
        self._pauses = pauses
        self._zone = zone
        self._gateways: dict[str, _Gateway] = {}
        self._divergence = divergence.DivergenceDetector(pauses)
        self._next_loads = 0.0
        self._count = gateway_count.GatewayCount(0)
        self._loans = limit_loans.LoanLedger(is_first=is_first_start)
        self._started_at: float | None = None
        # Whether this node can have heard of all gateways since its start, or
        # has restored their number.
        self._is_settled = False
        self._saved: messages.GatewayRecord | None = None

    def list_all(self, now: float) -> list[str]:
        """Returns the gateways that sent a hello recently."""
        return [
            name
            for name, gateway in self._gateways.items()
            if self._measure(gateway.last_hello_at, now) <= GATEWAY_TIMEOUT_S
        ]

    def list_home_gateways(self, now: float) -> list[str]:
        """Returns the gateways whose home coordinator is this node."""
        return [n for n in self.list_all(now) if self._gateways[n].is_home]

    def is_home_coordinator_of(self, node: str, boot: int) -> bool:
        """Returns whether this node is a gateway's home coordinator.

        The gateway's last hello decides: False for a gateway that has just
        started or is about to switch to this node.
        """
        gateway = self._gateways.get(node)
        return gateway is not None and gateway.boot == boot and gateway.is_home

    def handle_hello(
        self,
        hello: messages.GatewayHello,
        *,
        registry: registry_module.Registry,
        known: messages.KnownCoordinators,
        full_sync: full_sync_module.FullSync,
        now: float,
    ) -> list[tuple[str, messages.Message]]:
        """Handles a hello; returns the messages to send to the gateway.

        Args:
            hello: The hello.
            registry: Backend servers known to this coordinator.
            known: Coordinators known to this one.
            full_sync: Source of full syncs.
            now: Present time.
        """
        previous = self._gateways.get(hello.node)
        is_new = (
            previous is None
            or previous.boot != hello.boot
            or self._measure(previous.last_hello_at, now) > GATEWAY_TIMEOUT_S
        )
        if previous is None or is_new:
            previous = _Gateway(hello.boot, now)
        gateway = self._gateways[hello.node] = attrs.evolve(
            previous,
            last_hello_at=now,
            version=hello.version,
            is_home=hello.is_home,
            hello_ms=hello.sent_ms,
            unit_share=hello.unit_share,
            is_short=hello.is_short,
            held_share=hello.held_share,
            loads=hello.loads,
        )
        sent: list[tuple[str, messages.Message]] = []
        if (
            not hello.is_home
            or gateway.coordinators_sent != known.nodes
            or now - gateway.coordinators_sent_at >= COORDINATORS_PERIOD_S
        ):
            sent.append((hello.node, known))
            gateway.coordinators_sent_at = now
            gateway.coordinators_sent = known.nodes
        is_new_home_coordinator = hello.is_home and not previous.is_home
        if is_new_home_coordinator:
            needs_full_sync = hello.check != registry.digest
        else:
            needs_full_sync = self._needs_full_sync(hello, registry, now)
        if needs_full_sync:
            sent.append((hello.node, full_sync.make(is_full=True)))
        if hello.is_home and hello.is_short:
            borrowers = len(self.list_home_gateways(now))
            sent.append((hello.node, self._lend(hello.node, borrowers, now)))
        return sent

    def _needs_full_sync(
        self,
        hello: messages.GatewayHello,
        registry: registry_module.Registry,
        now: float,
    ) -> bool:
        """Returns whether to send a full sync; only home coordinators do."""
        if not hello.is_home or registry.had_digest(
            hello.check, self._pauses, now
        ):
            # The missing updates are in transit, or the gateway's home
            # coordinator, which is another node, sends them.
            self._divergence.clear(hello.node)
            return False
        return self._divergence.needs_full_sync(
            hello.node, hello.check, registry.digest, now
        )

    def needs_document(
        self, node: str, version: int, size: int, now: float
    ) -> bool:
        """Returns whether to send a gateway this node's configuration.

        Args:
            node: The gateway, which has sent a hello before.
            version: Version of this node's configuration.
            size: Size of that configuration, packed, in bytes.
            now: Present time.
        """
        gateway = self._gateways[node]
        if gateway.version >= version:
            gateway.outdated_since = None
            return False
        if gateway.outdated_since is None:
            gateway.outdated_since = now
            gateway.next_outdated_report = now + OUTDATED_REPORT_S
        interval_s = (
            RESEND_DOCUMENT_S if gateway.version else RESEND_FIRST_DOCUMENT_S
        )
        if (
            self._measure(gateway.document_sent_at, now)
            < interval_s + size / MIN_LINK_BYTES_PER_S
        ):
            return False
        is_overdue = (
            self._measure(gateway.outdated_since, now) >= OUTDATED_GRACE_S
        )
        if gateway.is_home or is_overdue:
            gateway.document_sent_at = now
            return True
        return False

    def report_outdated(self, node: str, now: float) -> list[notes.Note]:
        """Reports a gateway that has held an older configuration for long."""
        gateway = self._gateways[node]
        since = gateway.outdated_since
        if (
            since is None
            or now < gateway.next_outdated_report
            or self._measure(since, now) < OUTDATED_REPORT_S
        ):
            return []
        gateway.next_outdated_report = now + OUTDATED_REPORT_S
        return [
            notes.note(
                "gateway_outdated",
                level="warning",
                gateway=node,
                held_version=gateway.version,
                is_home=gateway.is_home,
                outdated_s=round(now - since, 3),
                sent_ago_s=round(now - gateway.document_sent_at, 3),
            )
        ]

    def record_document_sent(self, nodes_sent: list[str], now: float) -> None:
        """Records that gateways were sent an unrequested configuration."""
        for node in nodes_sent:
            self._gateways[node].document_sent_at = now

    def tick(
        self,
        *,
        is_fresh: bool,
        other_gateways: int,
        member: str,
        voters: tuple[str, ...],
        now: float,
    ) -> list[tuple[str, messages.Message]]:
        """Returns messages with the loads of the zone, when they are due.

        Args:
            is_fresh: Whether this node's configuration is certainly recent.
            other_gateways: Number of gateways with another home coordinator.
            member: Name of this node in the configuration log.
            voters: Voters of that log.
            now: Present time.
        """
        if self._started_at is None:
            self._started_at = now
        if now < self._next_loads:
            return []
        self._next_loads = now + LOADS_PERIOD_S
        if is_fresh and member in voters:
            self._loans.renew(len(voters), now)
        own = self.list_home_gateways(now)
        # Gateways also send hellos to coordinators that are not their home
        # coordinator, which are then counted though their own is partitioned.
        if is_fresh and now - self._started_at > GATEWAY_TIMEOUT_S:
            self._is_settled = True
        is_settled = is_fresh and self._is_settled
        self._count.record(
            max(len(own) + other_gateways, len(self.list_all(now))),
            now,
            is_settled=is_settled,
        )
        if not own:
            return []
        totals: collections.Counter[str] = collections.Counter()
        for name in own:
            for load in self._gateways[name].loads:
                totals[load.name] += load.running
        loads = tuple(
            messages.HeadLoad(head, running)
            for head, running in sorted(totals.items())
        )
        message = messages.ZoneLoads(
            nodes.get_zone(self._zone),
            loads,
            is_fresh,
            self._count.value,
            len(own),
            is_settled,
        )
        sent: list[tuple[str, messages.Message]] = [
            (name, message) for name in own
        ]
        for name in own:
            if now - self._gateways[name].loan_sent_at >= LOAN_PERIOD_S:
                sent.append((name, self._lend(name, len(own), now)))
        return sent

    def restore(self, record: messages.GatewayRecord, now: float) -> None:
        """Restores what was kept across a restart."""
        self._loans.restore(record.lent_share, now)
        if record.gateways:
            self._count.record(record.gateways, now, is_settled=True)
            self._is_settled = True

    def save(self, sender: str, now: float) -> list[events.SaveGatewayRecord]:
        """Returns what is to be persisted before loans are sent."""
        total = self._loans.find_total(now)
        count = self._count.value if self._is_settled else 0
        record = messages.GatewayRecord(sender, total, count)
        if record == self._saved:
            return []
        self._saved = record
        return [events.SaveGatewayRecord(record)]

    def _measure(self, since: float, now: float) -> float:
        return self._pauses.measure_silence(since, now)

    def _lend(
        self, name: str, borrowers: int, now: float
    ) -> messages.RetryLoan:
        gateway = self._gateways[name]
        request = limit_loans.LoanRequest(
            name,
            gateway.boot,
            gateway.unit_share,
            gateway.is_short,
            gateway.held_share,
        )
        gateway.loan_sent_at = now
        share = self._loans.lend(request, borrowers=borrowers, now=now)
        return messages.RetryLoan(
            nodes.get_zone(self._zone), gateway.hello_ms, share
        )
