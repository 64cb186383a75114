"""Traces with one span for each hop, carried by W3C trace context."""

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
        trace_file: File that receives one JSON line for each span; empty for none.
        instance: Name of the instance that every span carries.

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
    """Starts the span of one hop below the caller's span.

    The span is not made current: tasks of other requests share the thread.

    Args:
        tracer: Tracer of the process.
        name: Name of the hop.
        traceparent: Trace context received; empty starts a trace.
        attributes: Attributes of the span.

    Returns:
        The span; whoever starts it ends it.
    """
    context = _propagator.extract({_TRACEPARENT: traceparent}) if traceparent else None
    return tracer.start_span(name, context=context, attributes=attributes)


def to_traceparent(span: Span) -> str:
    """Formats the trace context to send to the next hop.

    Args:
        span: The span of this hop.

    Returns:
        Value of the traceparent header.
    """
    context = span.get_span_context()
    return '00-{0:032x}-{1:016x}-{2:02x}'.format(
        context.trace_id,
        context.span_id,
        context.trace_flags,
    )
