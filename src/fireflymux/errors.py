"""All kinds of errors that a caller can receive, and the HTTP response to each."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from ._messages_generated import Problem


class ExecutionStatus(enum.StrEnum):
    """Whether the request of a failed call reached its endpoint and was executed."""

    no = 'no'
    yes = 'yes'
    unknown = 'unknown'


class ErrorKind(enum.StrEnum):
    """Every kind of error that a response can state."""

    malformed_request = 'malformed_request'
    headers_too_large = 'headers_too_large'
    body_too_large = 'body_too_large'
    unauthenticated = 'unauthenticated'
    account_retired = 'account_retired'
    pool_not_allowed = 'pool_not_allowed'
    pool_unknown = 'pool_unknown'
    idempotency_key_required = 'idempotency_key_required'
    idempotency_key_reused = 'idempotency_key_reused'
    rate_exceeded = 'rate_exceeded'
    queue_full = 'queue_full'
    queue_timeout = 'queue_timeout'
    sidecar_busy = 'sidecar_busy'
    sidecar_leaving = 'sidecar_leaving'
    sidecar_unconfirmed = 'sidecar_unconfirmed'
    endpoint_unreachable = 'endpoint_unreachable'
    endpoints_resting = 'endpoints_resting'
    endpoints_evacuated = 'endpoints_evacuated'
    region_unavailable = 'region_unavailable'
    claims_unavailable = 'claims_unavailable'
    call_in_progress = 'call_in_progress'
    outcome_unknown = 'outcome_unknown'
    crash_suspected = 'crash_suspected'
    prompt_quarantined = 'prompt_quarantined'
    response_too_large = 'response_too_large'
    endpoint_crashed = 'endpoint_crashed'
    answer_cut = 'answer_cut'
    answer_expired = 'answer_expired'
    retries_exhausted = 'retries_exhausted'
    configuration_unavailable = 'configuration_unavailable'
    shutting_down = 'shutting_down'


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Response to a caller for one kind of error.

    Attributes:
        status: HTTP status code; `CallFailure.status` replaces it if `ran` turns out otherwise.
        ran: Whether the endpoint executed the request.
        retry_after_seconds: Delay before a retry; zero where a retry does not help.
        title: Summary of the error kind in one line.
    """

    status: int
    ran: ExecutionStatus
    retry_after_seconds: float
    title: str


ERROR_RESPONSES: Mapping[ErrorKind, ErrorResponse] = MappingProxyType(
    {
        ErrorKind.malformed_request: ErrorResponse(
            400, ExecutionStatus.no, 0, 'The request is malformed'
        ),
        ErrorKind.headers_too_large: ErrorResponse(
            431, ExecutionStatus.no, 0, 'The header block is too large'
        ),
        ErrorKind.body_too_large: ErrorResponse(
            413, ExecutionStatus.no, 0, 'The body is too large'
        ),
        ErrorKind.unauthenticated: ErrorResponse(
            401, ExecutionStatus.no, 0, 'The credential is missing or wrong'
        ),
        ErrorKind.account_retired: ErrorResponse(
            403, ExecutionStatus.no, 0, 'The contract is retired'
        ),
        ErrorKind.pool_not_allowed: ErrorResponse(
            403, ExecutionStatus.no, 0, 'The contract does not allow this pool'
        ),
        ErrorKind.pool_unknown: ErrorResponse(
            404, ExecutionStatus.no, 0, 'No such model or service'
        ),
        ErrorKind.idempotency_key_required: ErrorResponse(
            400,
            ExecutionStatus.no,
            0,
            'This service requires an Idempotency-Key',
        ),
        ErrorKind.idempotency_key_reused: ErrorResponse(
            422,
            ExecutionStatus.no,
            0,
            'The Idempotency-Key belongs to another request',
        ),
        ErrorKind.rate_exceeded: ErrorResponse(
            429, ExecutionStatus.no, 1, 'The rate of the contract is exceeded'
        ),
        ErrorKind.queue_full: ErrorResponse(
            429, ExecutionStatus.no, 1, 'The queue of the contract is full'
        ),
        ErrorKind.queue_timeout: ErrorResponse(
            503, ExecutionStatus.no, 1, 'The request waited too long'
        ),
        ErrorKind.sidecar_busy: ErrorResponse(
            503, ExecutionStatus.no, 1, 'The endpoint has no free slot'
        ),
        ErrorKind.sidecar_leaving: ErrorResponse(
            503, ExecutionStatus.no, 1, 'The endpoint is leaving'
        ),
        ErrorKind.sidecar_unconfirmed: ErrorResponse(
            503,
            ExecutionStatus.no,
            1,
            'The sidecar could not confirm its state',
        ),
        ErrorKind.endpoint_unreachable: ErrorResponse(
            503, ExecutionStatus.no, 1, 'The endpoint is unreachable'
        ),
        ErrorKind.endpoints_resting: ErrorResponse(
            503,
            ExecutionStatus.no,
            1,
            'Every endpoint asked for a time without work',
        ),
        ErrorKind.endpoints_evacuated: ErrorResponse(
            503,
            ExecutionStatus.no,
            2,
            'The failure domain of every endpoint is evacuated',
        ),
        ErrorKind.region_unavailable: ErrorResponse(
            503,
            ExecutionStatus.no,
            2,
            'No endpoint is in a region that the request may go to',
        ),
        ErrorKind.claims_unavailable: ErrorResponse(
            503,
            ExecutionStatus.no,
            5,
            'The table service that records calls is unavailable',
        ),
        ErrorKind.call_in_progress: ErrorResponse(
            409,
            ExecutionStatus.unknown,
            1,
            'A call with this Idempotency-Key is in progress',
        ),
        ErrorKind.outcome_unknown: ErrorResponse(
            504,
            ExecutionStatus.unknown,
            0,
            'The call was started and its outcome is unknown',
        ),
        ErrorKind.crash_suspected: ErrorResponse(
            422,
            ExecutionStatus.unknown,
            60,
            'Endpoints crashed while they ran this request',
        ),
        ErrorKind.prompt_quarantined: ErrorResponse(
            503,
            ExecutionStatus.no,
            60,
            'Endpoints crashed while they ran prompts with a part of this one',
        ),
        ErrorKind.endpoint_crashed: ErrorResponse(
            502,
            ExecutionStatus.unknown,
            1,
            'The endpoint broke off while it ran the request',
        ),
        ErrorKind.response_too_large: ErrorResponse(
            502,
            ExecutionStatus.unknown,
            0,
            'The endpoint sent more than a response may have',
        ),
        ErrorKind.answer_cut: ErrorResponse(502, ExecutionStatus.yes, 1, 'The answer broke off'),
        ErrorKind.answer_expired: ErrorResponse(
            410, ExecutionStatus.unknown, 0, 'The answer is no longer kept'
        ),
        ErrorKind.retries_exhausted: ErrorResponse(
            503,
            ExecutionStatus.no,
            1,
            'No endpoint accepted the request within its retries',
        ),
        ErrorKind.configuration_unavailable: ErrorResponse(
            503,
            ExecutionStatus.no,
            2,
            'This instance has no configuration yet',
        ),
        ErrorKind.shutting_down: ErrorResponse(
            503, ExecutionStatus.no, 1, 'This instance is shutting down'
        ),
    }
)


#: Status codes that promise the caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Outcome of a call that failed.

    Attributes:
        kind: The kind of error.
        detail: Description of the cause in one line.
        ran: Whether the endpoint executed the request, where more is known about it than
            `ERROR_RESPONSES` states for the kind; None to use that.
        writer: Incarnation of the sidecar that claimed the call; empty if none did.
        retry_after_seconds: Delay before a retry, where one is known; None to use the one that
            `ERROR_RESPONSES` states for the kind.
    """

    kind: ErrorKind
    detail: str = ''
    ran: ExecutionStatus | None = None
    writer: str = ''
    retry_after_seconds: float | None = None

    @property
    def outcome(self) -> ExecutionStatus:
        """Whether the endpoint executed the request."""
        return ERROR_RESPONSES[self.kind].ran if self.ran is None else self.ran

    @property
    def status(self) -> int:
        """HTTP status code, which promises that the request has not run only if that is so."""
        status = ERROR_RESPONSES[self.kind].status
        if self.outcome is ExecutionStatus.no or status not in NOT_RUN_STATUSES:
            return status
        kind = ErrorKind.answer_cut
        if self.outcome is ExecutionStatus.unknown:
            kind = ErrorKind.outcome_unknown
        return ERROR_RESPONSES[kind].status


def to_problem(refused: CallFailure) -> Problem:
    """Builds the problem document of a failed call.

    Args:
        refused: The failure.

    Returns:
        The document to send as application/problem+json.
    """
    response = ERROR_RESPONSES[refused.kind]
    return Problem(
        kind=refused.kind.value,
        title=response.title,
        status=refused.status,
        detail=refused.detail,
        ran=refused.outcome.value,
        retry_after_seconds=response.retry_after_seconds,
        writer=refused.writer,
    )


def from_problem(problem: Problem) -> CallFailure:
    """Converts a problem document back to the failure that it describes.

    Args:
        problem: A document built by `to_problem`.

    Returns:
        The failure; of the kind `outcome_unknown` if this version does not know the kind of the
        document.
    """
    if problem.kind not in ErrorKind.__members__:
        return CallFailure(ErrorKind.outcome_unknown, problem.detail)
    return CallFailure(
        ErrorKind(problem.kind), problem.detail, ExecutionStatus(problem.ran), problem.writer
    )
