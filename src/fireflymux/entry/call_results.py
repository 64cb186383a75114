"""Counts and logs how the calls of one entry instance end."""

import trio

from ..errors import CallFailure
from ..observability.logs import get_logger
from .calls import Call
from .entry_metrics import EntryMetrics
from .outcomes import Whole

_log = get_logger(__name__)
_FIRST_ERROR_STATUS = 400


class CallResults:
    """Records how calls end, each exactly once."""

    def __init__(self, metrics: EntryMetrics) -> None:
        """Prepares to record results.

        Args:
            metrics: Metrics of the instance.
        """
        self._metrics = metrics

    def record_response(self, call: Call, response: Whole) -> None:
        """Records a complete response of an endpoint, which can be an error."""
        self._count(call, 'whole')
        if response.status >= _FIRST_ERROR_STATUS:
            _log_end('request_answered', call, status=response.status)

    def record_relayed(self, call: Call) -> None:
        """Records a stream that was forwarded up to its end."""
        self._count(call, 'relayed')

    def record_left(self, call: Call) -> None:
        """Records that the caller closed its connection before the response was complete."""
        _log_end('caller_left', call)

    def record_failure(self, call: Call, failure: CallFailure) -> None:
        """Records a failure that the caller is told."""
        self._metrics.refusals.inc({'kind': failure.kind.value})
        _log_end('request_failed', call, kind=failure.kind.value, detail=failure.detail)
        self._count(call, failure.kind.value)

    def _count(self, call: Call, result: str) -> None:
        self._metrics.requests.inc({'pool': call.service, 'result': result})
        seconds = trio.current_time() - call.request.received_at
        self._metrics.latency.observe({'result': result}, seconds)


def _log_end(event: str, call: Call, **details: str | int) -> None:
    _log.info(
        event,
        request=call.metadata.attempt.decode('latin-1'),
        route=call.route.name,
        account=call.account,
        ran='unknown' if call.may_have_run else 'no',
        begun=call.has_begun,
        **details,
        sends=call.history.sends,
        unsent=call.history.unsent,
        seconds=round(trio.current_time() - call.request.received_at, 3),
    )
