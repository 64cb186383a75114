"""Runs a call that must not repeat at most once.

Before a sidecar sends such a call it inserts one row under the idempotency key. Whoever
inserted the row is the only one that may ever send the call. No lease takes part: a sidecar
that was paused cannot lose the right to another one, and another one never gets it.
"""

import base64
import hashlib
from dataclasses import dataclass

import attrs
import trio

from ..errors import ErrorKind, Ran, Refused
from ..messages import ClaimRow, RunOrder
from ..observability.logs import get_logger
from ..observability.metrics import Metrics
from ..store.platform_client import (
    ObjectClient,
    PlatformClients,
    PlatformError,
    Put,
    Row,
    TableClient,
)
from ..store.table_batch import PutResult, TableBatch
from ..wire import codec
from .answer_buffer import ResponseHead

_log = get_logger(__name__)
_MAX_CLAIM_ATTEMPTS = 4
_MAX_INLINE_BODY_BYTES = 16384
_RETRY_DELAY_SECONDS = 0.5
_MAX_RETRY_DELAY_SECONDS = 15.0

STATE_CLAIMED = 'claimed'
STATE_DONE = 'done'
STATE_UNKNOWN = 'unknown'
STATE_RELEASED = 'released'


@dataclass(frozen=True, slots=True)
class Claimed:
    """This sidecar, and no other, may send the call once."""

    key: str
    version: int
    row: ClaimRow


@dataclass(frozen=True, slots=True)
class Replay:
    """The call finished before; this is its first answer."""

    head: ResponseHead
    body: bytes


def claim_key(order: RunOrder) -> str:
    """Returns the row key of an idempotent call.

    Args:
        order: The call.

    Returns:
        Key of the table row; the caller's key is hashed, since it may hold any text.
    """
    digest = hashlib.sha256(order.idempotency_key.encode()).hexdigest()
    return 'calls/{0}/{1}/{2}'.format(order.account, order.pool, digest)


class ClaimBook:
    """Claims of one sidecar incarnation."""

    def __init__(
        self,
        writer: str,
        platform: PlatformClients,
        batch: TableBatch,
        metrics: Metrics,
    ) -> None:
        """Uses the clients of the process.

        Args:
            writer: The sidecar incarnation.
            platform: Clients of the platform.
            batch: Group commit to the table.
            metrics: Metrics of the process.
        """
        self._writer = writer
        self._table: TableClient = platform.table
        self._objects: ObjectClient = platform.objects
        self._batch = batch
        self._metrics = metrics
        self._unconfirmed: dict[str, ClaimRow] = {}

    async def claim(self, order: RunOrder) -> Claimed | Replay | Refused:
        """Claims a call.

        Args:
            order: The call; it carries an idempotency key.

        Returns:
            The right to send it, its first answer, or why neither can be had.
        """
        outcome = await self._try_claim(order)
        self._metrics.claims.inc({'result': _result_label(outcome)})
        return outcome

    async def record(self, claimed: Claimed, head: ResponseHead, body: bytes) -> None:
        """Records the answer of a call until the table has taken it.

        Args:
            claimed: The claim.
            head: Status and content type of the answer.
            body: Body of the answer.
        """
        is_inline = len(body) <= _MAX_INLINE_BODY_BYTES
        name = '' if is_inline else 'answers/{0}'.format(hashlib.sha256(body).hexdigest())
        row = attrs.evolve(
            claimed.row,
            state=STATE_DONE,
            status=head.status,
            content_type=head.content_type,
            headers=head.headers,
            body=base64.b64encode(body).decode() if is_inline else '',
            object_name=name,
        )
        if not is_inline:
            await self._store_body(name, body)
        await self._write_until_recorded(claimed, row)

    async def release(self, claimed: Claimed) -> None:
        """Gives a claim back after the call was certainly not sent.

        Args:
            claimed: The claim.
        """
        row = attrs.evolve(claimed.row, state=STATE_RELEASED)
        await self._write_until_recorded(claimed, row)

    async def record_unknown(self, claimed: Claimed) -> None:
        """Records that the call was sent and its outcome was lost.

        Args:
            claimed: The claim.
        """
        row = attrs.evolve(claimed.row, state=STATE_UNKNOWN)
        await self._write_until_recorded(claimed, row)

    async def run(self) -> None:
        """Releases claims whose insert was not confirmed in time, until cancelled."""
        while True:
            await trio.sleep(_RETRY_DELAY_SECONDS)
            for key, row in list(self._unconfirmed.items()):
                await self._release_unconfirmed(key, row)

    async def _try_claim(self, order: RunOrder) -> Claimed | Replay | Refused:
        key = claim_key(order)
        own_row = self._new_row(order)
        expected_version = 0
        for _ in range(_MAX_CLAIM_ATTEMPTS):
            result = await self._batch.submit(Put(key, expected_version, codec.to_plain(own_row)))
            if result is PutResult.committed:
                return Claimed(key, expected_version + 1, own_row)
            if result is PutResult.unavailable:
                return Refused(ErrorKind.claims_unavailable, 'the table was not reached')
            try:
                row = await self._table.read(key)
            except PlatformError as error:
                self._unconfirmed[key] = own_row
                return Refused(ErrorKind.claims_unavailable, str(error))
            outcome = await self._judge(row, own_row)
            if outcome is not None:
                return outcome
            expected_version = row.version
        self._unconfirmed[key] = own_row
        return Refused(ErrorKind.claims_unavailable, 'the claim stayed unconfirmed')

    async def _judge(self, row: Row, own_row: ClaimRow) -> Claimed | Replay | Refused | None:
        if row.version == 0:
            return None
        existing = codec.structure(row.value, ClaimRow)
        if existing.fingerprint != own_row.fingerprint:
            return Refused(ErrorKind.idempotency_key_reused)
        if existing.state == STATE_RELEASED:
            return None
        if existing.state == STATE_DONE:
            return await self._replay(existing)
        if existing.state == STATE_UNKNOWN:
            return Refused(ErrorKind.outcome_unknown, 'the first call broke off')
        if existing == own_row:
            return Claimed(row.key, row.version, own_row)
        return Refused(
            ErrorKind.call_in_progress,
            'another sidecar claimed it',
            writer=existing.writer,
        )

    async def _replay(self, existing: ClaimRow) -> Replay | Refused:
        head = ResponseHead(existing.status, existing.content_type, existing.headers)
        if not existing.object_name:
            return Replay(head, base64.b64decode(existing.body))
        try:
            return Replay(head, await self._objects.read(existing.object_name))
        except PlatformError as error:
            return Refused(ErrorKind.claims_unavailable, str(error), Ran.yes)

    async def _store_body(self, name: str, body: bytes) -> None:
        delay = _RETRY_DELAY_SECONDS
        while True:
            try:
                await self._objects.write(name, body)
            except PlatformError:
                await trio.sleep(delay)
                delay = min(delay * 2, _MAX_RETRY_DELAY_SECONDS)
                continue
            return

    async def _write_until_recorded(self, claimed: Claimed, row: ClaimRow) -> None:
        delay = _RETRY_DELAY_SECONDS
        put = Put(claimed.key, claimed.version, codec.to_plain(row))
        while True:
            result = await self._batch.submit(put)
            # A conflict follows an earlier write of this row whose answer was lost.
            if result in {PutResult.committed, PutResult.conflict}:
                return
            _log.warning('outcome_not_recorded', key=claimed.key, result=result.value)
            await trio.sleep(delay)
            delay = min(delay * 2, _MAX_RETRY_DELAY_SECONDS)

    async def _release_unconfirmed(self, key: str, own_row: ClaimRow) -> None:
        try:
            row = await self._table.read(key)
        except PlatformError:
            return
        self._unconfirmed.pop(key, None)
        if row.version and codec.structure(row.value, ClaimRow) == own_row:
            await self.release(Claimed(key, row.version, own_row))

    def _new_row(self, order: RunOrder) -> ClaimRow:
        return ClaimRow(
            fingerprint=order.fingerprint,
            writer=self._writer,
            request=order.request,
            attempt=order.attempt,
            state=STATE_CLAIMED,
        )


def _result_label(outcome: Claimed | Replay | Refused) -> str:
    if isinstance(outcome, Refused):
        return outcome.kind.value
    return 'claimed' if isinstance(outcome, Claimed) else 'replayed'
