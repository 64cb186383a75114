"""Header fields of calls and answers, decoded into the product's types and back."""

import math

import attrs

from ..decisions.prompts import PromptPart
from ..http.messages import AnswerHead, Fields, Request, find_field
from ..observability.logs import get_logger

_log = get_logger(__name__)

_ATTEMPT_ID = b'x-attempt-id'
_DEADLINE_MS = b'x-deadline-ms'
_AUTHORIZATION = b'authorization'
_MODEL = b'x-model'
_TOKEN_USAGE = b'x-token-usage'
_PROMPT_PREFIX = b'x-prompt-prefix'
_LENGTH_HINT = b'x-length-hint'
_LAST_EVENT_ID = b'last-event-id'
_SERVER_SIGNATURE = b'x-server-signature'
_NOT_EXECUTED = b'x-not-executed'
_SERVER_LOAD = b'x-server-load'
_SERVER_LEAVING = b'server-leaving'
_LEAVING_VALUE = b'1'
_RETRY_AFTER = b'retry-after'
_UNAVAILABLE_STATUS = 503
#: Longest time without work that an endpoint may ask for; a longer one is taken for a mistake.
_MAXIMUM_BACKOFF_SECONDS = 600.0
_KEEP_ALIVE = b'keep-alive'
_AUTHORIZATION_SCHEME = b'token '
_MISDIRECTED_STATUS = 421
_MILLISECONDS_PER_SECOND = 1000.0
_KEEP_ALIVE_TIMEOUT_OPTION = b'timeout='

#: Fields that concern one connection only.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
#: Fields by which an endpoint speaks to the system and not to the caller.
_ENDPOINT_FIELDS = frozenset((_SERVER_LOAD, _SERVER_LEAVING))
#: Fields that only the system itself may send to an endpoint.
_SYSTEM_FIELDS = frozenset(
    (
        _AUTHORIZATION,
        _DEADLINE_MS,
        b'x-tenant',
        b'x-expect-instance',
        b'x-hold',
        b'x-pin-ms',
        b'x-kv-backup',
        b'kv-from',
        b'kv-fetch',
    )
)


@attrs.define(frozen=True, kw_only=True)
class CallTerms:
    """What a caller's header fields say of its request.

    Attributes:
        attempt: Identifier of this attempt of the caller; the answer repeats it.
        deadline_seconds: How long the caller waits; infinite if it doesn't say.
        key: The caller's key; empty if it sent none.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the answer that the caller expects.
        parts: Parts of the prompt in order.
        resume_after: Number of the last event that the caller has; -1 if it doesn't resume.
    """

    attempt: bytes
    deadline_seconds: float
    key: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    resume_after: int


@attrs.define(frozen=True, kw_only=True)
class AnswerTerms:
    """What an endpoint's header fields say of its answer.

    Attributes:
        attempt: Identifier of the attempt that it answers.
        is_signed: Whether the endpoint vouches for the answer.
        did_not_run: Whether the endpoint says that it did not run the request.
        idle_seconds: How long the endpoint keeps the idle connection; None if not stated.
        is_leaving: Whether the endpoint says that it leaves.
        rest_seconds: How long the endpoint wants no work of this instance; zero if not stated.
    """

    attempt: bytes
    is_signed: bool
    did_not_run: bool
    idle_seconds: float | None
    is_leaving: bool
    rest_seconds: float


def decode_call(request: Request) -> CallTerms:
    """Reads the terms of a request.

    Args:
        request: A caller's request.

    Returns:
        Its terms; fields that can't be read count as missing.
    """
    found = {name.lower(): content for name, content in request.fields}
    tokens = found.get(_TOKEN_USAGE, b'').split(b',')
    resume_after = found.get(_LAST_EVENT_ID, b'')
    return CallTerms(
        attempt=found.get(_ATTEMPT_ID, b''),
        deadline_seconds=_decode_deadline(found.get(_DEADLINE_MS, b'')),
        key=_decode_key(found.get(_AUTHORIZATION, b'')),
        prompt_tokens=_to_int(tokens[0], 0),
        output_tokens=_to_int(found.get(_LENGTH_HINT, b''), _to_int(tokens[-1], 0)),
        parts=_decode_parts(found.get(_PROMPT_PREFIX, b'')),
        resume_after=_to_int(resume_after, -1),
    )


def encode_call(
    request: Request,
    *,
    endpoint: str,
    account: str,
    remaining_seconds: float,
    resume_after: int,
) -> Fields:
    """Builds the header fields of a request to an endpoint.

    Args:
        request: The caller's request.
        endpoint: Identifier of the endpoint that is meant.
        account: Client account; empty for requests without a key.
        remaining_seconds: Time that the caller still waits.
        resume_after: Number of the last event that the caller has; -1 for the beginning.

    Returns:
        The field lines, framing included.
    """
    replaced = {_LAST_EVENT_ID} if resume_after >= 0 else set()
    fields = _filter_call_fields(request, replaced)
    remaining = max(int(remaining_seconds * _MILLISECONDS_PER_SECOND), 1)
    fields.append((b'X-Deadline-Ms', b'%d' % remaining))
    fields.append((b'X-Expect-Instance', endpoint.encode()))
    if account:
        fields.append((b'X-Tenant', account.encode()))
    if resume_after >= 0:
        fields.append((b'Last-Event-Id', b'%d' % resume_after))
    if request.content or request.method not in {b'GET', b'HEAD'}:
        fields.append((b'Content-Length', b'%d' % len(request.content)))
    return fields


def _filter_call_fields(request: Request, extra_dropped: set[bytes]) -> Fields:
    connection = find_field(request.fields, b'connection')
    extra_dropped.update(option.strip().lower() for option in connection.split(b','))
    dropped = _HOP_BY_HOP | _SYSTEM_FIELDS | extra_dropped
    return [field for field in request.fields if field[0].lower() not in dropped]


def decode_answer(head: AnswerHead) -> AnswerTerms:
    """Reads the terms of an endpoint's answer.

    Args:
        head: Head of the answer.

    Returns:
        Its terms.
    """
    found = {name.lower(): content for name, content in head.fields}
    return AnswerTerms(
        attempt=found.get(_ATTEMPT_ID, b''),
        is_signed=bool(found.get(_SERVER_SIGNATURE)),
        did_not_run=_NOT_EXECUTED in found or head.status == _MISDIRECTED_STATUS,
        idle_seconds=_decode_idle_timeout(found.get(_KEEP_ALIVE, b'')),
        is_leaving=found.get(_SERVER_LEAVING, b'').strip() == _LEAVING_VALUE,
        rest_seconds=_decode_backoff(head.status, found.get(_RETRY_AFTER, b'')),
    )


def encode_answer(attempt: bytes, endpoint: str) -> Fields:
    """Builds the fields by which an endpoint vouches for its answer.

    Args:
        attempt: Identifier of the attempt that it answers.
        endpoint: Identifier of the endpoint.

    Returns:
        The field lines without framing.
    """
    return [(b'X-Attempt-Id', attempt), (b'X-Server-Signature', endpoint.encode())]


def keep_answer_fields(head: AnswerHead) -> Fields:
    """Keeps the fields of an endpoint's answer that its caller receives.

    Args:
        head: Head of the answer.

    Returns:
        The field lines without framing.
    """
    return [
        field for field in head.fields if field[0].lower() not in _HOP_BY_HOP | _ENDPOINT_FIELDS
    ]


def encode_refusal(attempt: bytes, retry_after_seconds: float) -> Fields:
    """Builds the fields of an answer that the system itself gives.

    Args:
        attempt: Identifier of the caller's attempt; empty if it sent none.
        retry_after_seconds: When the caller may come back; zero if it is not to.

    Returns:
        The field lines without framing.
    """
    fields: Fields = [(b'Content-Type', b'application/problem+json')]
    if attempt:
        fields.append((b'X-Attempt-Id', attempt))
    if retry_after_seconds > 0:
        fields.append((b'Retry-After', b'%.2f' % retry_after_seconds))
    return fields


def _decode_deadline(text: bytes) -> float:
    try:
        deadline = float(text) / _MILLISECONDS_PER_SECOND
    except ValueError:
        return float('inf')
    return deadline if deadline > 0 else float('inf')


def _decode_key(text: bytes) -> str:
    if text[: len(_AUTHORIZATION_SCHEME)].lower() != _AUTHORIZATION_SCHEME:
        return ''
    return text[len(_AUTHORIZATION_SCHEME) :].strip().decode('latin-1')


def _decode_parts(text: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(b','):
        identifier, _, tokens = entry.strip().partition(b':')
        try:
            parts.append(PromptPart(int(identifier, 16), int(tokens)))
        except ValueError:
            break
    return tuple(parts)


def _decode_idle_timeout(text: bytes) -> float | None:
    for option in text.split(b','):
        name = option.strip().lower()
        if name.startswith(_KEEP_ALIVE_TIMEOUT_OPTION):
            return float(_to_int(name[len(_KEEP_ALIVE_TIMEOUT_OPTION) :], 0))
    return None


def _decode_backoff(status: int, text: bytes) -> float:
    if status != _UNAVAILABLE_STATUS or not text:
        return 0.0
    try:
        stated = float(text)
    except ValueError:
        _log.warning('rest_malformed', stated=text.decode('latin-1'))
        return 0.0
    if not math.isfinite(stated) or stated < 0:
        _log.warning('rest_malformed', stated=text.decode('latin-1'))
        return 0.0
    if stated > _MAXIMUM_BACKOFF_SECONDS:
        _log.warning('rest_bounded', stated=stated, bound=_MAXIMUM_BACKOFF_SECONDS)
    return min(stated, _MAXIMUM_BACKOFF_SECONDS)


def _to_int(text: bytes, default: int) -> int:
    try:
        return int(text)
    except ValueError:
        return default
