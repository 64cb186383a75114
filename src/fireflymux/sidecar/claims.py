"""At-most-once execution of calls that carry an idempotency key.

Before a sidecar sends such a call, it claims the call by inserting a row into the table
service. The row key contains a hash of the idempotency key, and the insert succeeds only if no
claim exists, so a single sidecar may send the call. A claim is not a lease and does not expire:
while its sidecar is paused, no other sidecar can take it over and send the call a second time.

The row later records the outcome. A repeated call receives the recorded response, or an error
if the outcome of the first one is not recorded yet or is unknown. A claim whose call was
certainly not sent is released and can be taken by any sidecar.
"""

import base64
import hashlib
from dataclasses import dataclass

import attrs
import trio

from ..errors import CallFailure, ErrorKind, ExecutionStatus
from ..messages import ClaimRow, RunOrder
from ..observability.logs import get_logger
from ..observability.metrics import Metrics
from ..store.group_commit import GroupCommitter, PutResult
from ..store.platform_client import (
    ObjectClient,
    PlatformClients,
    PlatformError,
    Put,
    Row,
    TableClient,
)
from ..wire import codec
from .response_buffer import ResponseHead

_log = get_logger(__name__)
_MAXIMUM_CLAIM_ATTEMPTS = 4
#: Larger response bodies are written to the object store, and the row only names the object.
_MAXIMUM_INLINE_BODY_BYTES = 16384
#: Status codes of final responses.
_STATUSES = range(200, 1000)
#: First delay before a failed write is retried; it doubles with each failure up to the maximum.
_RETRY_DELAY_SECONDS = 0.5
_MAXIMUM_RETRY_DELAY_SECONDS = 15.0

#: State of a claim row: the call may be running, and no outcome is recorded.
STATE_CLAIMED = 'claimed'
#: State of a claim row: the call completed, and its response is recorded.
STATE_DONE = 'done'
#: State of a claim row: the call may have run, and its outcome is unknown.
STATE_UNKNOWN = 'unknown'
#: State of a claim row: the call was not sent, so it can be claimed again.
STATE_RELEASED = 'released'


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is held by this sidecar, which may send the call once.

    Attributes:
        key: Key of the claim's row.
        version: Version of the row, which the next write must expect.
        row: Content of the row.
    """

    key: str
    version: int
    row: ClaimRow


@dataclass(frozen=True, slots=True)
class Replay:
    """Recorded response of a call that has already completed."""

    head: ResponseHead
    body: bytes


def claim_key(order: RunOrder) -> str:
    """Returns the key of the row that holds the claim of an idempotent call.

    Args:
        order: Run order of the call.

    Returns:
        The row key. It contains a hash of the idempotency key, which is arbitrary text chosen
        by the caller.
    """
    digest = hashlib.sha256(order.idempotency_key.encode()).hexdigest()
    return 'calls/{0}/{1}/{2}'.format(order.account, order.pool, digest)


class ClaimStore:
    """Claims calls in the table service and records their outcomes."""

    def __init__(
        self,
        sidecar_id: str,
        platform: PlatformClients,
        group_committer: GroupCommitter,
        metrics: Metrics,
    ) -> None:
        """Creates a store without claims.

        Args:
            sidecar_id: Incarnation of the sidecar, written into each claim.
            platform: Clients of the platform's table service and object store.
            group_committer: Writes rows to the table service, several in one transaction.
            metrics: Metrics of the process.
        """
        self._sidecar_id = sidecar_id
        self._table: TableClient = platform.table
        self._objects: ObjectClient = platform.objects
        self._group_committer = group_committer
        self._metrics = metrics
        self._unconfirmed: dict[str, ClaimRow] = {}

    async def claim(self, order: RunOrder) -> Claimed | Replay | CallFailure:
        """Claims a call, or finds out what became of an earlier call with the same key.

        Args:
            order: Run order of a call with an idempotency key.

        Returns:
            `Claimed` if this sidecar may send the call, `Replay` if it has already completed,
            or the failure to return to the caller.
        """
        claim_result = await self._try_claim(order)
        self._metrics.claims.inc({'result': _result_label(claim_result)})
        return claim_result

    async def record(self, claimed: Claimed, head: ResponseHead, body: bytes) -> None:
        """Records the response of a completed call, retrying until it is stored.

        Args:
            claimed: Claim of the call.
            head: Head of the response.
            body: Complete body of the response.
        """
        is_inline = len(body) <= _MAXIMUM_INLINE_BODY_BYTES
        object_name = '' if is_inline else _object_name(body)
        row = attrs.evolve(
            claimed.row,
            state=STATE_DONE,
            status=head.status,
            content_type=head.content_type,
            headers=head.headers,
            body=base64.b64encode(body).decode() if is_inline else '',
            object_name=object_name,
        )
        if not is_inline:
            await self._store_body(object_name, body)
        await self._write_until_recorded(claimed, row)

    async def release(self, claimed: Claimed) -> None:
        """Releases the claim of a call that was certainly not sent, so that it can be retried.

        Args:
            claimed: Claim of the call.
        """
        row = attrs.evolve(claimed.row, state=STATE_RELEASED)
        await self._write_until_recorded(claimed, row)

    async def record_unknown(self, claimed: Claimed) -> None:
        """Records that a call may have run and that its outcome is unknown.

        Args:
            claimed: Claim of the call.
        """
        row = attrs.evolve(claimed.row, state=STATE_UNKNOWN)
        await self._write_until_recorded(claimed, row)

    async def run(self) -> None:
        """Releases claims of calls that were refused because their write was not confirmed.

        The write of a claim, an insert or the update of a released row, may have taken effect
        although this sidecar could not tell. Its row would then block the idempotency key,
        although nothing was sent. Each such row is read until that succeeds, and released if it
        holds this claim. Runs until cancelled.
        """
        while True:
            await trio.sleep(_RETRY_DELAY_SECONDS)
            for key, row in list(self._unconfirmed.items()):
                await self._release_unconfirmed(key, row)

    async def _try_claim(self, order: RunOrder) -> Claimed | Replay | CallFailure:
        key = claim_key(order)
        own_row = self._new_row(order)
        expected_version = 0
        for _ in range(_MAXIMUM_CLAIM_ATTEMPTS):
            result = await self._group_committer.submit(
                Put(key, expected_version, codec.to_builtins(own_row))
            )
            if result is PutResult.committed:
                return Claimed(key, expected_version + 1, own_row)
            if result is PutResult.unavailable:
                return CallFailure(ErrorKind.claims_unavailable, 'the table was not reached')
            try:
                row = await self._table.read(key)
            except PlatformError as error:
                self._unconfirmed[key] = own_row
                # After a conflict there is a claim: an earlier call with the key may have run.
                ran = ExecutionStatus.unknown if result is PutResult.conflict else None
                return CallFailure(ErrorKind.claims_unavailable, str(error), ran)
            claim_result = await self._evaluate_existing(row, own_row)
            if claim_result is not None:
                return claim_result
            expected_version = row.version
        self._unconfirmed[key] = own_row
        return CallFailure(ErrorKind.claims_unavailable, 'the claim stayed unconfirmed')

    async def _evaluate_existing(
        self, row: Row, own_row: ClaimRow
    ) -> Claimed | Replay | CallFailure | None:
        """Evaluates the row that was read back after a write without success.

        Returns:
            The result of the claim, or None if the write should be retried.
        """
        if row.version == 0:
            return None
        existing = _parse_claim(row)
        if existing is None:
            detail = 'the claim of the call is unreadable'
            return CallFailure(ErrorKind.claims_unavailable, detail, ExecutionStatus.unknown)
        if existing.fingerprint != own_row.fingerprint:
            return CallFailure(ErrorKind.idempotency_key_reused)
        if existing.state == STATE_RELEASED:
            return None
        if existing.state == STATE_DONE:
            return await self._load_replay(existing)
        if existing.state == STATE_UNKNOWN:
            return CallFailure(ErrorKind.outcome_unknown, 'the first call broke off')
        # The write took effect, although its result was lost.
        if existing == own_row:
            return Claimed(row.key, row.version, own_row)
        return CallFailure(
            ErrorKind.call_in_progress,
            'another sidecar claimed it',
            writer=existing.writer,
        )

    async def _load_replay(self, existing: ClaimRow) -> Replay | CallFailure:
        head = ResponseHead(existing.status, existing.content_type, existing.headers)
        try:
            if not existing.object_name:
                return Replay(head, base64.b64decode(existing.body))
            body = await self._objects.read(existing.object_name)
        except (PlatformError, ValueError) as error:
            return CallFailure(ErrorKind.claims_unavailable, str(error), ExecutionStatus.yes)
        if existing.object_name != _object_name(body):
            detail = 'the object is not the recorded body'
            return CallFailure(ErrorKind.claims_unavailable, detail, ExecutionStatus.yes)
        return Replay(head, body)

    async def _store_body(self, object_name: str, body: bytes) -> None:
        delay = _RETRY_DELAY_SECONDS
        while True:
            try:
                await self._objects.write(object_name, body)
            except PlatformError:
                await trio.sleep(delay)
                delay = min(delay * 2, _MAXIMUM_RETRY_DELAY_SECONDS)
                continue
            return

    async def _write_until_recorded(self, claimed: Claimed, row: ClaimRow) -> None:
        delay = _RETRY_DELAY_SECONDS
        put = Put(claimed.key, claimed.version, codec.to_builtins(row))
        while True:
            result = await self._group_committer.submit(put)
            # Only the holder of a claim updates its row, so a conflict means that an earlier
            # attempt took effect although its result was lost.
            if result in {PutResult.committed, PutResult.conflict}:
                return
            _log.warning('outcome_not_recorded', key=claimed.key, result=result.value)
            await trio.sleep(delay)
            delay = min(delay * 2, _MAXIMUM_RETRY_DELAY_SECONDS)

    async def _release_unconfirmed(self, key: str, own_row: ClaimRow) -> None:
        try:
            row = await self._table.read(key)
        except PlatformError:
            return
        self._unconfirmed.pop(key, None)
        if row.version and _parse_claim(row) == own_row:
            await self.release(Claimed(key, row.version, own_row))

    def _new_row(self, order: RunOrder) -> ClaimRow:
        return ClaimRow(
            fingerprint=order.fingerprint,
            writer=self._sidecar_id,
            request=order.request,
            attempt=order.attempt,
            state=STATE_CLAIMED,
        )


def _object_name(body: bytes) -> str:
    return 'answers/{0}'.format(hashlib.sha256(body).hexdigest())


def _parse_claim(row: Row) -> ClaimRow | None:
    """Returns the claim in a row, or None if it cannot be read, which fails its call alone."""
    try:
        claim = codec.structure(row.value, ClaimRow)
    except codec.DecodeError as error:
        _log.warning('claim_unreadable', key=row.key, reason=str(error))
        return None
    is_status_valid = claim.state != STATE_DONE or claim.status in _STATUSES
    return claim if is_status_valid else None


def _result_label(claim_result: Claimed | Replay | CallFailure) -> str:
    if isinstance(claim_result, CallFailure):
        return claim_result.kind.value
    return 'claimed' if isinstance(claim_result, Claimed) else 'replayed'
