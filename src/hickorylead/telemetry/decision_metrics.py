"""Counters and histograms of a process, derived from the decisions it logs.

The library that renders them is imported at the first scrape: a process that
is never scraped starts faster without it.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    import aioprometheus

    from hickorylead import notes

# Upper bounds of the histograms' buckets, in seconds: around the known latency
# objectives (0.1 to 0.5 s) and up to the longest timeouts (8 s).
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)
# Maximum number of label pairs (event and detail) of the counter. The details
# of further pairs are counted as "other", so that no input can make memory grow
# without bound.
MAX_LABELS = 64


class DecisionMetrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        """Makes metrics that are all zero."""
        self._events: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._durations: dict[tuple[str, str], list[float]] = {}

    def record(self, note: notes.Note) -> None:
        """Records a decision."""
        detail = str(
            note.fields.get("outcome")
            or note.fields.get("reason")
            or note.fields.get("order")
            or ""
        )
        key = (note.event, detail)
        if key not in self._events and len(self._events) >= MAX_LABELS:
            key = (note.event, "other")
        self._events[key] += 1
        if note.event == "request_ended":
            self._record_duration(note)

    def _record_duration(self, note: notes.Note) -> None:
        is_answered = note.fields["outcome"] == "answered"
        key = (
            str(note.fields["kind"]),
            "answered" if is_answered else "not_answered",
        )
        # Cumulative counts by bucket, then the sum and the number of durations.
        counts = self._durations.setdefault(key, [0.0] * (len(BUCKETS_S) + 2))
        duration_s = float(note.fields["lasted_s"])
        for index, bound_s in enumerate(BUCKETS_S):
            if duration_s <= bound_s:
                counts[index] += 1
        counts[-2] += duration_s
        counts[-1] += 1

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Returns all metrics in the text format of Prometheus.

        Args:
            gauges: Current values of the gauges by name.
        """
        import aioprometheus
        from aioprometheus import formats

        # Each scrape uses a registry of its own. Without one, a collector is
        # added to the registry of the whole process, which refuses a name
        # that it already has, so that every scrape after the first fails.
        registry = aioprometheus.Registry()
        events = aioprometheus.Counter(
            "hickorylead_decisions_total",
            "Decisions by event and detail",
            registry=registry,
        )
        for (event, detail), count in self._events.items():
            events.set({"event": event, "detail": detail}, count)
        self._render_durations(registry)
        for name, value in gauges.items():
            gauge = aioprometheus.Gauge(
                f"hickorylead_{name}", name, registry=registry
            )
            gauge.set({}, value)
        return formats.text.TextFormatter().marshall(registry)

    def _render_durations(self, registry: aioprometheus.Registry) -> None:
        import aioprometheus

        buckets = aioprometheus.Counter(
            "hickorylead_request_seconds_bucket",
            "Requests that ended within `le` seconds, by kind and end",
            registry=registry,
        )
        total = aioprometheus.Counter(
            "hickorylead_request_seconds_sum",
            "Total duration of the requests that ended, in seconds",
            registry=registry,
        )
        number = aioprometheus.Counter(
            "hickorylead_request_seconds_count",
            "Requests that ended",
            registry=registry,
        )
        for (kind, end), counts in self._durations.items():
            labels = {"kind": kind, "end": end}
            for bound_s, count in zip(BUCKETS_S, counts, strict=False):
                buckets.set({**labels, "le": str(bound_s)}, count)
            buckets.set({**labels, "le": "+Inf"}, counts[-1])
            total.set(labels, counts[-2])
            number.set(labels, counts[-1])
