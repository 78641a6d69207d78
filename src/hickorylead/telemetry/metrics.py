"""Metrics of the roles, in the Prometheus format."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aioprometheus

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorylead import verdict as verdict_module
    from hickorylead.requests import model
    from hickorylead.roles import status


class EntryMetrics:
    """Metrics of an entry."""

    def __init__(self) -> None:
        """Makes metrics that are all zero."""
        self._registry = aioprometheus.Registry()

        def counter(name: str, doc: str) -> aioprometheus.Counter:
            return aioprometheus.Counter(name, doc, registry=self._registry)

        def gauge(name: str, doc: str) -> aioprometheus.Gauge:
            return aioprometheus.Gauge(name, doc, registry=self._registry)

        self._requests = counter(
            "hickorylead_requests_total", "Requests ended, by verdict."
        )
        self._refusals = counter(
            "hickorylead_refusals_total", "Requests refused, by reason."
        )
        self._retries = counter(
            "hickorylead_retries_total", "Attempts after the first one."
        )
        self._tokens = counter(
            "hickorylead_tokens_total", "Tokens given to callers."
        )
        self._queued = gauge(
            "hickorylead_queued_requests", "Requests waiting, by urgency."
        )
        self._open = gauge(
            "hickorylead_open_requests", "Requests without a final answer."
        )
        self._version = gauge(
            "hickorylead_configuration_version", "Version in force here."
        )
        self._replicas = gauge(
            "hickorylead_replicas", "Replicas known here, by zone."
        )

    def count_request(
        self, service: str, verdict: verdict_module.Verdict
    ) -> None:
        """Counts a request that has its final answer."""
        self._requests.inc({"service": service, "verdict": verdict.value})

    def count_refusal(self, service: str, problem: model.Problem) -> None:
        """Counts a request that was refused."""
        self._refusals.inc({"service": service, "reason": problem.code})

    def count_retry(self, service: str) -> None:
        """Counts an attempt after the first one."""
        self._retries.inc({"service": service})

    def count_tokens(self, service: str, tokens: int) -> None:
        """Counts the tokens of an answer."""
        self._tokens.add({"service": service}, tokens)

    def set_queued_requests(
        self, service: str, urgency: int, count: int
    ) -> None:
        """Sets how many requests wait."""
        self._queued.set({"service": service, "urgency": str(urgency)}, count)

    def set_open_requests(self, count: int) -> None:
        """Sets how many requests have no final answer yet."""
        self._open.set({}, count)

    def set_version(self, version: int) -> None:
        """Sets the configuration version in force here."""
        self._version.set({}, version)

    def set_replicas(self, zone: str, count: int) -> None:
        """Sets how many replicas of a zone are known."""
        self._replicas.set({"zone": zone}, count)

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Returns the body and headers of a scrape."""
        return aioprometheus.render(self._registry, accept)


class ControlMetrics:
    """Metrics of a control process."""

    def __init__(self) -> None:
        """Makes metrics that are all zero."""
        self._registry = aioprometheus.Registry()

        def gauge(name: str, doc: str) -> aioprometheus.Gauge:
            return aioprometheus.Gauge(name, doc, registry=self._registry)

        self._version = gauge(
            "hickorylead_configuration_version", "Version held here."
        )
        self._holder = gauge(
            "hickorylead_zone_lease_held", "1 if the zone lease is held here."
        )
        self._leader = gauge(
            "hickorylead_log_leader", "1 if the configuration log is led here."
        )
        self._downtime = gauge(
            "hickorylead_group_downtime_seconds",
            "Replica seconds lost while the lease was held here.",
        )
        self._stranded = gauge(
            "hickorylead_stranded_accelerator_vms",
            "Healthy VMs in no serving group.",
        )
        self._groups = gauge(
            "hickorylead_groups", "Replica groups, by service and state."
        )
        self._known: set[tuple[str, str]] = set()

    def set_status(self, found: status.ControlStatus) -> None:
        """Sets all metrics from the status of the process."""
        self._version.set({}, found.version)
        self._holder.set({}, int(found.is_holder))
        self._leader.set({}, int(found.is_leader))
        self._downtime.set({}, found.downtime_s)
        self._stranded.set({}, found.stranded)
        counts = dict.fromkeys(self._known, 0)
        for group in found.groups:
            key = (group.service, group.state)
            counts[key] = counts.get(key, 0) + 1
        self._known = set(counts)
        for (service, state), count in counts.items():
            self._groups.set({"service": service, "state": state}, count)

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Returns the body and headers of a scrape."""
        return aioprometheus.render(self._registry, accept)
