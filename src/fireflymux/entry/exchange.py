"""Handles callers' requests: admits, places and sends each one, retries it, or reports an error.

A request waits in the queue of its service until it is placed on an endpoint. If the attempt there
fails, it is placed and sent again, as far as its route allows and its deadline leaves time.
"""

from collections.abc import Mapping
from types import MappingProxyType

import trio

from ..decisions.retry import Ending, may_retry
from ..decisions.waiting import WaitingRequest
from ..errors import NOT_RUN_STATUSES, CallFailure, ErrorKind
from ..http.messages import Request
from ..http.response_writer import ResponseWriter
from ..observability.logs import get_logger
from ..platform.call_headers import RequestMetadata, decode_request_headers
from .availability import find_unavailability
from .call_failures import build_attempt_failure, build_end_failure, build_placing_failure
from .call_results import CallResults
from .calls import Call, admit_call
from .detached_tasks import DetachedTasks
from .entry_metrics import EntryMetrics, TokenState
from .failure_responses import write_failure
from .outcomes import (
    Abandoned,
    Broken,
    NotResumed,
    NotSent,
    Outcome,
    Oversized,
    Rejected,
    Relayed,
    Whole,
)
from .placed_attempt import is_success, run_placed_attempt
from .placement_log import log_not_placed
from .quarantine import find_quarantine
from .retry_allowances import RetryAllowances
from .service_queue import release_placement
from .service_queues import ServiceQueues
from .state import EntryState

_log = get_logger(__name__)
#: Time after the deadline for the response of the endpoint to arrive: the endpoint has the same
#: deadline and responds when that passes.
_RESPONSE_MARGIN_SECONDS = 0.05


class RequestHandler:
    """Handles the requests of all connections of one instance.

    Attributes:
        running: Number of requests that are being handled, waiting ones included.
        queues: Queues that the requests wait in.
        detached_tasks: Tasks that requests have started and that go on without them.
    """

    def __init__(self, state: EntryState, metrics: EntryMetrics) -> None:
        """Creates a handler without requests.

        Args:
            state: State of the instance.
            metrics: Metrics of the instance.
        """
        self.running = 0
        self.queues = ServiceQueues(state)
        self.detached_tasks = DetachedTasks()
        self._scopes: set[trio.CancelScope] = set()
        self._ends_at = float('inf')
        self._state = state
        self._metrics = metrics
        self._call_results = CallResults(metrics)
        self._retry_allowances = RetryAllowances(state)

    def end_requests_at(self, time: float) -> None:
        """Ends all requests at a time with a response that is true about what has run.

        Those that come until then get no more time at endpoints, either.

        Args:
            time: Time in seconds.
        """
        self._ends_at = time
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, time)

    async def handle_request(self, request: Request, writer: ResponseWriter) -> None:
        """Decodes the header fields of a request and handles it.

        Args:
            request: The request.
            writer: Writes its response.
        """
        await self.handle_decoded(request, decode_request_headers(request), writer)

    async def handle_decoded(
        self, request: Request, metadata: RequestMetadata, writer: ResponseWriter
    ) -> None:
        """Handles a request whose header fields are already decoded, from admission to response.

        Args:
            request: The request.
            metadata: What its header fields say.
            writer: Writes its response.
        """
        self.running += 1
        try:
            await self._admit_and_handle(request, metadata, writer)
        except OSError:
            # The connection of the caller failed; whoever serves it closes it.
            raise
        except Exception:
            _log.exception('request_crashed', request=metadata.attempt.decode('latin-1'))
            # It may have run: nothing is said about that.
            failure = CallFailure(ErrorKind.outcome_unknown)
            await write_failure(failure, metadata, writer, self._state.rng)
        finally:
            self.running -= 1

    async def _admit_and_handle(
        self, request: Request, metadata: RequestMetadata, writer: ResponseWriter
    ) -> None:
        # Lets the task that reads the connection notice that the caller has already left.
        await trio.lowlevel.checkpoint()
        call = admit_call(self._state, request, metadata, writer)
        if isinstance(call, Call):
            await self._handle_admitted(call, writer)
            return
        self._metrics.refusals.inc({'kind': call.kind.value})
        # `metadata.attempt` is the identifier that the caller gave its attempt.
        _log.info(
            'request_denied',
            request=metadata.attempt.decode('latin-1'),
            kind=call.kind.value,
            path=request.path.decode('latin-1'),
            version=self._state.configuration_version,
        )
        await write_failure(call, metadata, writer, self._state.rng)

    async def _handle_admitted(self, call: Call, writer: ResponseWriter) -> None:
        """Runs an admitted request; writes the response, or an error soon after the deadline."""
        self._retry_allowances.get(call.service).count_request(trio.current_time())
        result = await self._run_in_time(call)
        if isinstance(result, Whole) and _is_false_promise(call, result):
            detail = 'status {0}, but not stated that it did not run'.format(result.status)
            result = CallFailure(ErrorKind.outcome_unknown, detail)
        if isinstance(result, Whole):
            self._call_results.record_response(call, result)
            await writer.answer(result.status, result.fields, result.content)
            return
        if isinstance(result, Relayed):
            self._call_results.record_relayed(call)
            return
        if isinstance(result, Abandoned):
            self._call_results.record_left(call)
            writer.abort()
            return
        await self._fail(call, result, writer)

    async def _run_in_time(self, call: Call) -> Whole | Relayed | Abandoned | CallFailure:
        """Runs a call until it is done, its time is over or the instance has to end it."""
        ends_at = min(call.deadline + _RESPONSE_MARGIN_SECONDS, self._ends_at)
        scope = trio.CancelScope(deadline=ends_at)
        self._scopes.add(scope)
        try:
            with scope:
                return await self._run(call)
        except trio.Cancelled:
            # The connection cancels the handler of a request when the caller closes it.
            self._call_results.record_left(call)
            raise
        finally:
            self._scopes.discard(scope)
        return build_end_failure(call, is_stopping=scope.deadline == self._ends_at)

    async def _fail(self, call: Call, failure: CallFailure, writer: ResponseWriter) -> None:
        """Responds with an error, or closes the connection if the stream has already begun."""
        self._call_results.record_failure(call, failure)
        await write_failure(failure, call.metadata, writer, self._state.rng)

    async def _run(self, call: Call) -> Whole | Relayed | Abandoned | CallFailure:
        """Makes attempts until one succeeds or no further one is allowed."""
        while True:
            waiting = await self._place(call)
            if isinstance(waiting, CallFailure):
                return waiting
            quarantine = find_quarantine(self._state, call)
            if quarantine is not None:
                release_placement(self._state, waiting)
                return quarantine
            outcome = await run_placed_attempt(
                self._state,
                self._metrics,
                call,
                waiting,
                ends_at=self._ends_at,
                detached_tasks=self.detached_tasks,
            )
            if isinstance(outcome, Relayed | Abandoned) or is_success(outcome):
                return outcome
            if self._may_retry(call, outcome):
                # The next endpoint must not get a prompt that has crashed this one.
                await call.wait_for_crash_check()
                continue
            return outcome if isinstance(outcome, Whole) else build_attempt_failure(call, outcome)

    async def _place(self, call: Call) -> WaitingRequest | CallFailure:
        """Waits until the request is placed; returns the reason if it is refused instead."""
        waiting = WaitingRequest(
            account=call.account,
            priority=call.priority,
            parts=call.metadata.parts,
            prompt_tokens=call.metadata.prompt_tokens,
            output_tokens=call.metadata.output_tokens,
            arrived_at=call.request.received_at,
            target_seconds=call.route.target_seconds,
            is_caller_retry=self._is_caller_retry(call),
            excluded=call.tried_endpoints,
            regions=call.regions,
            placement_deadline=call.deadline,
        )
        patience = self._state.policy.patience_part * call.route.target_seconds
        until = min(trio.current_time() + patience, call.deadline)
        failure = find_quarantine(self._state, call) or find_unavailability(
            self._state, call, until=until
        )
        if failure is not None:
            return failure
        # A retry is not counted as demand again if an earlier attempt sent the request; one that
        # follows only attempts without a connection is.
        if not call.history.sends:
            self._state.shares.asked.charge(call.account, waiting.cost_tokens, trio.current_time())
            self._metrics.count_tokens(call.account, TokenState.asked, waiting.cost_tokens)
        if await self.queues.get(call.service).place(waiting, until=until):
            return waiting
        if call.metadata.parts:
            self._state.refused_requests.record(call.checksum(), trio.current_time())
        self._metrics.count_tokens(call.account, TokenState.refused, waiting.cost_tokens)
        log_not_placed(self._state, call, waiting, queued=self.queues.count_waiting())
        return build_placing_failure(call)

    def _is_caller_retry(self, call: Call) -> bool:
        """Tells whether the caller repeats a prompt that an instance refused recently.

        Such a request cannot meet its target any more.
        """
        if not call.metadata.parts:
            return False
        return self._state.refused_requests.was_refused(call.checksum(), trio.current_time())

    def _may_retry(self, call: Call, outcome: Outcome) -> bool:
        """Tells whether another attempt follows one that did not succeed."""
        now = trio.current_time()
        ending = _ENDINGS[type(outcome)]
        if ending is Ending.not_sent:
            call.history.unsent += 1
        if call.relay is not None and not call.relay.can_begin_attempt:
            return False
        allowance = self._retry_allowances.get(call.service)
        is_retried = may_retry(
            call.history,
            ending,
            repeatability=call.route.repeatability,
            maximum_endpoints=call.route.maximum_endpoints,
            seconds_left=call.deadline - now,
            try_spend=lambda: allowance.try_spend(now),
        )
        if is_retried and ending is not Ending.not_sent:
            self._metrics.retries.inc({'ending': ending.value})
        return is_retried


#: Endings of attempts that did not succeed, by outcome; a complete response can be a server error.
_ENDINGS: Mapping[type[Outcome], Ending] = MappingProxyType(
    {
        NotSent: Ending.not_sent,
        Rejected: Ending.rejected,
        Broken: Ending.broken,
        Oversized: Ending.broken,
        NotResumed: Ending.failed,
        Whole: Ending.failed,
    }
)


def _is_false_promise(call: Call, answer: Whole) -> bool:
    """Tells whether the caller would take a request that may have run for one that did not.

    It could then send the request again, although that must run only once.
    """
    return answer.status in NOT_RUN_STATUSES and not call.route.repeatability.may_repeat
