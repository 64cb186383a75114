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
from .answer_buffer import AnswerHead

_log = get_logger(__name__)
_ATTEMPT_LIMIT = 4
_INLINE_LIMIT_BYTES = 16384
_RECORD_DELAY_SECONDS = 0.5
_RECORD_DELAY_LIMIT_SECONDS = 15.0

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

    head: AnswerHead
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
        self._abandoned: dict[str, ClaimRow] = {}

    async def claim(self, order: RunOrder) -> Claimed | Replay | Refused:
        """Claims a call.

        Args:
            order: The call; it carries an idempotency key.

        Returns:
            The right to send it, its first answer, or why neither can be had.
        """
        outcome = await self._claim(order)
        self._metrics.claims.inc({'result': _label(outcome)})
        return outcome

    async def record(self, claimed: Claimed, head: AnswerHead, body: bytes) -> None:
        """Records the answer of a call until the table has taken it.

        Args:
            claimed: The claim.
            head: Status and content type of the answer.
            body: Body of the answer.
        """
        inline = len(body) <= _INLINE_LIMIT_BYTES
        name = '' if inline else 'answers/{0}'.format(hashlib.sha256(body).hexdigest())
        row = attrs.evolve(
            claimed.row,
            state=STATE_DONE,
            status=head.status,
            content_type=head.content_type,
            headers=head.headers,
            body=base64.b64encode(body).decode() if inline else '',
            object_name=name,
        )
        if not inline:
            await self._store(name, body)
        await self._write_until_settled(claimed, row)

    async def release(self, claimed: Claimed) -> None:
        """Gives a claim back after the call was certainly not sent.

        Args:
            claimed: The claim.
        """
        row = attrs.evolve(claimed.row, state=STATE_RELEASED)
        await self._write_until_settled(claimed, row)

    async def record_unknown(self, claimed: Claimed) -> None:
        """Records that the call was sent and its outcome was lost.

        Args:
            claimed: The claim.
        """
        row = attrs.evolve(claimed.row, state=STATE_UNKNOWN)
        await self._write_until_settled(claimed, row)

    async def run(self) -> None:
        """Releases claims whose insert was not confirmed in time, until cancelled."""
        while True:
            await trio.sleep(_RECORD_DELAY_SECONDS)
            for key, row in list(self._abandoned.items()):
                await self._release_abandoned(key, row)

    async def _claim(self, order: RunOrder) -> Claimed | Replay | Refused:
        key = claim_key(order)
        mine = self._new_row(order)
        expected = 0
        for _ in range(_ATTEMPT_LIMIT):
            result = await self._batch.submit(Put(key, expected, codec.to_plain(mine)))
            if result is PutResult.committed:
                return Claimed(key, expected + 1, mine)
            if result is PutResult.unavailable:
                return Refused(ErrorKind.claims_unavailable, 'the table was not reached')
            try:
                row = await self._table.read(key)
            except PlatformError as error:
                self._abandoned[key] = mine
                return Refused(ErrorKind.claims_unavailable, str(error))
            outcome = await self._judge(row, mine)
            if outcome is not None:
                return outcome
            expected = row.version
        self._abandoned[key] = mine
        return Refused(ErrorKind.claims_unavailable, 'the claim stayed unconfirmed')

    async def _judge(self, row: Row, mine: ClaimRow) -> Claimed | Replay | Refused | None:
        if row.version == 0:
            return None
        found = codec.structure(row.value, ClaimRow)
        if found.fingerprint != mine.fingerprint:
            return Refused(ErrorKind.idempotency_key_reused)
        if found.state == STATE_RELEASED:
            return None
        if found.state == STATE_DONE:
            return await self._replay(found)
        if found.state == STATE_UNKNOWN:
            return Refused(ErrorKind.outcome_unknown, 'the first call broke off')
        if found == mine:
            return Claimed(row.key, row.version, mine)
        return Refused(
            ErrorKind.call_in_progress,
            'another sidecar claimed it',
            writer=found.writer,
        )

    async def _replay(self, found: ClaimRow) -> Replay | Refused:
        head = AnswerHead(found.status, found.content_type, found.headers)
        if not found.object_name:
            return Replay(head, base64.b64decode(found.body))
        try:
            return Replay(head, await self._objects.read(found.object_name))
        except PlatformError as error:
            return Refused(ErrorKind.claims_unavailable, str(error), Ran.yes)

    async def _store(self, name: str, body: bytes) -> None:
        delay = _RECORD_DELAY_SECONDS
        while True:
            try:
                await self._objects.write(name, body)
            except PlatformError:
                await trio.sleep(delay)
                delay = min(delay * 2, _RECORD_DELAY_LIMIT_SECONDS)
                continue
            return

    async def _write_until_settled(self, claimed: Claimed, row: ClaimRow) -> None:
        delay = _RECORD_DELAY_SECONDS
        put = Put(claimed.key, claimed.version, codec.to_plain(row))
        while True:
            result = await self._batch.submit(put)
            # A conflict follows an earlier write of this row whose answer was lost.
            if result in {PutResult.committed, PutResult.conflict}:
                return
            _log.warning('outcome_not_recorded', key=claimed.key, result=result.value)
            await trio.sleep(delay)
            delay = min(delay * 2, _RECORD_DELAY_LIMIT_SECONDS)

    async def _release_abandoned(self, key: str, mine: ClaimRow) -> None:
        try:
            row = await self._table.read(key)
        except PlatformError:
            return
        self._abandoned.pop(key, None)
        if row.version and codec.structure(row.value, ClaimRow) == mine:
            await self.release(Claimed(key, row.version, mine))

    def _new_row(self, order: RunOrder) -> ClaimRow:
        return ClaimRow(
            fingerprint=order.fingerprint,
            writer=self._writer,
            request=order.request,
            attempt=order.attempt,
            state=STATE_CLAIMED,
        )


def _label(outcome: Claimed | Replay | Refused) -> str:
    if isinstance(outcome, Refused):
        return outcome.kind.value
    return 'claimed' if isinstance(outcome, Claimed) else 'replayed'
