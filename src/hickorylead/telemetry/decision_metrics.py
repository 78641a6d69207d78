"""Counters and histograms of a process, made from the decisions it logs.

The library that renders them is imported at the first scrape: a process that
nobody scrapes starts faster without it.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    import aioprometheus

    from hickorylead import notes

# Upper bounds of the buckets, in seconds: around the objectives that we know
# (0.1 to 0.5 s) and up to the longest timeouts (8 s).
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)
# Most label values of one counter; what comes later counts as "other", so that
# no input can fill the memory.
MAX_LABELS = 64


class DecisionMetrics:
    """What a process has counted."""

    def __init__(self) -> None:
        """Makes figures that are all zero."""
        self._events: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._durations: dict[tuple[str, str], list[float]] = {}

    def count(self, note: notes.Note) -> None:
        """Counts a decision."""
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
            self._take_duration(note)

    def _take_duration(self, note: notes.Note) -> None:
        answered = note.fields["outcome"] == "answered"
        key = (
            str(note.fields["kind"]),
            "answered" if answered else "not_answered",
        )
        # Counts up to each bound, then the sum and the number.
        counts = self._durations.setdefault(key, [0.0] * (len(BUCKETS_S) + 2))
        lasted_s = float(note.fields["lasted_s"])
        for place, bound_s in enumerate(BUCKETS_S):
            if lasted_s <= bound_s:
                counts[place] += 1
        counts[-2] += lasted_s
        counts[-1] += 1

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Returns all figures in the text format of Prometheus.

        Args:
            gauges: Present values by name.
        """
        import aioprometheus
        from aioprometheus import formats

        # Each collector is given the registry of this scrape. Without one it
        # joins a registry of the whole process, which refuses its name the
        # second time: all scrapes but the first one failed.
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
            "Requests that ended within a time, by kind and end",
            registry=registry,
        )
        total = aioprometheus.Counter(
            "hickorylead_request_seconds_sum",
            "Seconds of all requests",
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
