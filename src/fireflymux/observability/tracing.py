"""Traces with one span for each hop, linked by W3C trace context."""

from typing import Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SimpleSpanProcessor
from opentelemetry.trace import Span, Tracer
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

_propagator = TraceContextTextMapPropagator()
_TRACEPARENT = 'traceparent'


def _format_span(span: ReadableSpan) -> str:
    return '{0}\n'.format(span.to_json(indent=None))


def create_tracer(trace_file: str, *, instance: str) -> Tracer:
    """Creates the tracer of this process.

    Args:
        trace_file: File to which one JSON line is written for each span; empty to record none.
        instance: Name of the instance, which is added to every span.

    Returns:
        The tracer.
    """
    provider = TracerProvider(resource=Resource({'service.name': instance}))
    if trace_file:
        stream = open(trace_file, 'a', encoding='utf-8', buffering=1)
        exporter = ConsoleSpanExporter(out=stream, formatter=_format_span)
        provider.add_span_processor(SimpleSpanProcessor(exporter))
    return provider.get_tracer('fireflymux')


def start_span(tracer: Tracer, name: str, traceparent: str, **attributes: Any) -> Span:
    """Starts the span of one hop as a child of the span of the previous hop.

    The span is not made the current one, since tasks of other requests run in the same thread.

    Args:
        tracer: Tracer of the process.
        name: Name of the hop.
        traceparent: Trace context received; empty to start a new trace.
        attributes: Attributes of the span.

    Returns:
        The span, which the caller of this function must end.
    """
    context = _propagator.extract({_TRACEPARENT: traceparent}) if traceparent else None
    return tracer.start_span(name, context=context, attributes=attributes)


def to_traceparent(span: Span) -> str:
    """Formats the trace context to send to the next hop.

    Args:
        span: The span of this hop.

    Returns:
        The value of the traceparent header.
    """
    context = span.get_span_context()
    return '00-{0:032x}-{1:016x}-{2:02x}'.format(
        context.trace_id,
        context.span_id,
        context.trace_flags,
    )
