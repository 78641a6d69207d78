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
            "hickorylead_tokens_total", "Tokens sent to callers."
        )
        self._queued = gauge(
            "hickorylead_queued_requests", "Requests waiting, by urgency."
        )
        self._pending = gauge(
            "hickorylead_open_requests", "Requests without a final answer."
        )
        self._version = gauge(
            "hickorylead_configuration_version", "Version in force here."
        )
        self._replicas = gauge(
            "hickorylead_replicas", "Replicas known to this entry, by zone."
        )

    def record_request(
        self, service: str, verdict: verdict_module.Verdict
    ) -> None:
        """Counts a request that has its final response."""
        self._requests.inc({"service": service, "verdict": verdict.value})

    def record_refusal(self, service: str, problem: model.Problem) -> None:
        """Counts a request that was refused."""
        self._refusals.inc({"service": service, "reason": problem.code})

    def record_retry(self, service: str) -> None:
        """Counts an attempt after the first one."""
        self._retries.inc({"service": service})

    def record_tokens(self, service: str, tokens: int) -> None:
        """Counts the tokens of a response."""
        self._tokens.add({"service": service}, tokens)

    def set_queued_requests(
        self, service: str, urgency: int, count: int
    ) -> None:
        """Sets how many requests are queued."""
        self._queued.set({"service": service, "urgency": str(urgency)}, count)

    def set_pending_requests(self, count: int) -> None:
        """Sets how many requests have no final response yet."""
        self._pending.set({}, count)

    def set_version(self, version: int) -> None:
        """Sets the configuration version that this entry uses."""
        self._version.set({}, version)

    def set_replicas(self, zone: str, count: int) -> None:
        """Sets how many replicas of a zone are known."""
        self._replicas.set({"zone": zone}, count)

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Returns the body and headers of the response to a scrape."""
        return aioprometheus.render(self._registry, accept)


class ControlMetrics:
    """Metrics of a control process."""

    def __init__(self) -> None:
        """Makes metrics that are all zero."""
        self._registry = aioprometheus.Registry()

        def gauge(name: str, doc: str) -> aioprometheus.Gauge:
            return aioprometheus.Gauge(name, doc, registry=self._registry)

        self._version = gauge(
            "hickorylead_configuration_version",
            "Configuration version held by this process.",
        )
        self._lease_held = gauge(
            "hickorylead_zone_lease_held",
            "1 if this process holds the zone lease.",
        )
        self._leader = gauge(
            "hickorylead_log_leader",
            "1 if this process leads the configuration log.",
        )
        self._downtime = gauge(
            "hickorylead_group_downtime_seconds",
            "Replica seconds lost while this process held the lease.",
        )
        self._stranded = gauge(
            "hickorylead_stranded_accelerator_vms",
            "Healthy VMs that are in no serving group.",
        )
        self._groups = gauge(
            "hickorylead_groups", "Replica groups, by service and state."
        )
        self._label_pairs: set[tuple[str, str]] = set()

    def set_status(self, current: status.ControlStatus) -> None:
        """Sets all metrics from the status of the process."""
        self._version.set({}, current.version)
        self._lease_held.set({}, int(current.is_holder))
        self._leader.set({}, int(current.is_leader))
        self._downtime.set({}, current.downtime_s)
        self._stranded.set({}, current.stranded)
        counts = dict.fromkeys(self._label_pairs, 0)
        for group in current.groups:
            key = (group.service, group.state)
            counts[key] = counts.get(key, 0) + 1
        self._label_pairs = set(counts)
        for (service, state), count in counts.items():
            self._groups.set({"service": service, "state": state}, count)

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Returns the body and headers of the response to a scrape."""
        return aioprometheus.render(self._registry, accept)
