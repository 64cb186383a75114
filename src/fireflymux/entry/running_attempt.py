"""One attempt of a request while it runs."""

from collections.abc import Callable

import attrs
import trio

from ..decisions.engine_choice import Placement
from ..decisions.retry import AttemptHistory
from ..http.messages import Request
from ..platform.call_headers import RequestMetadata
from .entry_metrics import EntryMetrics
from .event_relay import EventRelay
from .live_endpoint import LiveEndpoint
from .state import EntryState


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """One attempt of a request on one endpoint.

    Attributes:
        request: The caller's request.
        metadata: What its header fields say; `metadata.attempt` is the identifier that the caller
            gave its own attempt, which may comprise several of these.
        account: Client account; empty for requests without a key.
        live: The endpoint.
        placement: Load that the request counts for on the endpoint.
        deadline: Time at which the caller's deadline or the route's timeout ends, in seconds.
        relay: Forwards the events of the response; None if the route does not stream.
        metrics: Metrics of the instance.
        has_caller_disconnected: Tells whether the caller closed its connection.
        history: Attempts of the request, in which its sends are recorded.
        stall_seconds: Time without an event after which a stream is given up.
        is_prefilling: Whether the prompt counts for the endpoint's load: no bytes of a stream have
            arrived yet, and the attempt has not ended.
        sent_at: Time at which the request was sent, in seconds.
        stall_scope: Cancels the attempt when the stream stalls.
    """

    request: Request
    metadata: RequestMetadata
    account: str
    live: LiveEndpoint
    placement: Placement
    deadline: float
    relay: EventRelay | None
    metrics: EntryMetrics
    has_caller_disconnected: Callable[[], bool]
    history: AttemptHistory
    stall_seconds: float = float('inf')
    is_prefilling: bool = True
    sent_at: float = 0.0
    stall_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


def end_prefill(state: EntryState, attempt: Attempt) -> None:
    """Takes the prompt off the endpoint's load, if it still counts there."""
    if not attempt.is_prefilling:
        return
    attempt.is_prefilling = False
    state.loads.end_prefill(attempt.live.number, attempt.placement.tokens)
    state.notify()
