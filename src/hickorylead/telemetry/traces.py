"""Traces: W3C trace context in and out, a span for each hop.

The OpenTelemetry libraries are imported only if an endpoint is set: they cost
more memory than the rest of an entry.
"""

from __future__ import annotations

from typing import Any, Protocol

MAX_ENDED_SPANS = 2048


class Span(Protocol):
    """One hop of a trace."""

    traceparent: str

    def set_attribute(self, name: str, value: str | int) -> None:
        """Adds a field to the span."""

    def end(self) -> None:
        """Ends the span."""


class Tracer(Protocol):
    """Makes spans."""

    def start(self, name: str, traceparent: str) -> Span:
        """Starts a span below a trace context, which may be empty."""

    def drain_batch(self) -> bytes:
        """Returns the ended spans as an OTLP request; empty if none are."""


class _PassedSpan:
    """Stands for a span where none is exported: the context is passed on."""

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    def set_attribute(self, name: str, value: str | int) -> None:
        """Does nothing."""

    def end(self) -> None:
        """Does nothing."""


class _PassingTracer:
    def start(self, name: str, traceparent: str) -> Span:
        """Returns a span that passes the context on unchanged."""
        return _PassedSpan(traceparent)

    def drain_batch(self) -> bytes:
        """Returns nothing: there are no spans."""
        return b""


class _ExportedSpan:
    def __init__(self, span: Any, carrier: dict[str, str]) -> None:
        self._span = span
        self.traceparent = carrier.get("traceparent", "")

    def set_attribute(self, name: str, value: str | int) -> None:
        self._span.set_attribute(name, value)

    def end(self) -> None:
        self._span.end()


class _ExportingTracer:
    """Makes spans that are exported.

    The library's own exporters send from a thread of theirs; here the loop
    sends what `drain_batch` returns.
    """

    def __init__(self, fields: dict[str, str]) -> None:
        from opentelemetry.exporter.otlp.proto.common import trace_encoder
        from opentelemetry.sdk import resources, trace
        from opentelemetry.trace import propagation
        from opentelemetry.trace.propagation import tracecontext

        ended: list[trace.ReadableSpan] = []

        class Collector(trace.SpanProcessor):
            def on_end(self, span: trace.ReadableSpan) -> None:
                # A collector that is away must not fill the memory.
                if len(ended) < MAX_ENDED_SPANS:
                    ended.append(span)

        self._ended = ended
        self._encode = trace_encoder.encode_spans
        resource = resources.Resource.create(
            {"service.name": "hickorylead", **fields}
        )
        provider = trace.TracerProvider(resource=resource)
        provider.add_span_processor(Collector())
        self._tracer = provider.get_tracer("hickorylead")
        self._propagator = tracecontext.TraceContextTextMapPropagator()
        self._set_span = propagation.set_span_in_context

    def start(self, name: str, traceparent: str) -> Span:
        """Starts a span below a trace context, which may be empty."""
        carrier = {"traceparent": traceparent} if traceparent else {}
        parent = self._propagator.extract(carrier)
        span = self._tracer.start_span(name, context=parent)
        inner: dict[str, str] = {}
        self._propagator.inject(inner, context=self._set_span(span))
        return _ExportedSpan(span, inner)

    def drain_batch(self) -> bytes:
        """Returns the ended spans as an OTLP request; empty if none are."""
        if not self._ended:
            return b""
        batch = self._encode(self._ended).SerializeToString()
        self._ended.clear()
        return batch


def make_tracer(endpoint: str, fields: dict[str, str]) -> Tracer:
    """Returns a tracer that exports to an endpoint, or passes contexts on.

    Args:
        endpoint: OTLP/HTTP URL; empty for none.
        fields: Fields of this process, such as its zone.
    """
    return _ExportingTracer(fields) if endpoint else _PassingTracer()
