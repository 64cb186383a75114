"""One call of a sidecar to its endpoint."""

from collections.abc import Callable
from dataclasses import dataclass

from ..messages import RunOrder
from .response_buffer import ResponseBuffer


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """One call to the endpoint, and the receivers of its response, cost and latency.

    Attributes:
        order: Run order that describes the call.
        body: Request body.
        buffer: Receives the response.
        meter: Called with the cost units that have accrued since the last time.
        observe_first_token: Called with the time to the first body bytes from an engine, or with
            the duration of a complete call to a plain service, in seconds.
    """

    order: RunOrder
    body: bytes
    buffer: ResponseBuffer
    meter: Callable[[float], None]
    observe_first_token: Callable[[float], None]

    @property
    def endpoint_request_id(self) -> str:
        """Identifier of this attempt, sent to the endpoint as the request identifier."""
        return '{0}.{1}'.format(self.order.request, self.order.attempt)

    @property
    def is_resumable(self) -> bool:
        """Whether the rest of the response may be requested, which an engine sends as a stream."""
        head = self.buffer.head
        return self.order.is_stream and (head is None or head.is_stream)
