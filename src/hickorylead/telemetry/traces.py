"""Traces: propagates W3C trace contexts, with a span for each hop.

The OpenTelemetry libraries are imported only if an endpoint is set: they take
more memory than the rest of an entry.
"""

from __future__ import annotations

from typing import Any, Protocol

MAX_ENDED_SPANS = 2048


class Span(Protocol):
    """One hop of a trace."""

    traceparent: str

    def set_attribute(self, name: str, value: str | int) -> None:
        """Sets an attribute of the span."""

    def end(self) -> None:
        """Ends the span."""


class Tracer(Protocol):
    """Makes spans."""

    def start(self, name: str, traceparent: str) -> Span:
        """Starts a child span of a trace context, which may be empty."""

    def drain_batch(self) -> bytes:
        """Removes and returns the ended spans as an OTLP request.

        Returns:
            Empty if no span has ended.
        """


class _PropagatedSpan:
    """A span that is not exported: it propagates the context unchanged."""

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    def set_attribute(self, name: str, value: str | int) -> None:
        """Does nothing."""

    def end(self) -> None:
        """Does nothing."""


class _PropagatingTracer:
    def start(self, name: str, traceparent: str) -> Span:
        """Returns a span that propagates the context unchanged."""
        return _PropagatedSpan(traceparent)

    def drain_batch(self) -> bytes:
        """Returns an empty batch: no spans are recorded."""
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

    The exporters of the library send from a thread of their own. Here the event
    loop of the process sends what `drain_batch` returns.
    """

    def __init__(self, fields: dict[str, str]) -> None:
        from opentelemetry.exporter.otlp.proto.common import trace_encoder
        from opentelemetry.sdk import resources, trace
        from opentelemetry.trace import propagation
        from opentelemetry.trace.propagation import tracecontext

        ended: list[trace.ReadableSpan] = []

        class Collector(trace.SpanProcessor):
            def on_end(self, span: trace.ReadableSpan) -> None:
                # The limit bounds memory while the OTLP endpoint is
                # unreachable.
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
        """Starts a child span of a trace context, which may be empty."""
        carrier = {"traceparent": traceparent} if traceparent else {}
        parent = self._propagator.extract(carrier)
        span = self._tracer.start_span(name, context=parent)
        injected: dict[str, str] = {}
        self._propagator.inject(injected, context=self._set_span(span))
        return _ExportedSpan(span, injected)

    def drain_batch(self) -> bytes:
        """Removes and returns the ended spans as an OTLP request.

        Returns:
            Empty if no span has ended.
        """
        if not self._ended:
            return b""
        batch = self._encode(self._ended).SerializeToString()
        self._ended.clear()
        return batch


def make_tracer(endpoint: str, fields: dict[str, str]) -> Tracer:
    """Returns a tracer that exports spans, or only propagates contexts.

    Args:
        endpoint: OTLP/HTTP URL to export to; empty to export nothing.
        fields: Resource attributes of this process, such as its zone.
    """
    return _ExportingTracer(fields) if endpoint else _PropagatingTracer()
