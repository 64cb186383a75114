"""Group commit: combines concurrent conditional writes into one transaction.

Sidecars write their claims with it. Each write is a `Put`; a batch is the writes of one
transaction.
"""

import enum

import attrs
import trio

from ..observability.metrics import Metrics
from .platform_client import CommitResult, PlatformError, Put, TableClient

_MAXIMUM_BATCH_PUTS = 64


class PutResult(enum.Enum):
    """Result of one conditional write."""

    committed = 'committed'
    conflict = 'conflict'
    #: The write may have taken effect, or may still do so; reading the row tells.
    unknown = 'unknown'
    #: The table could not be reached or rejected the call; nothing was written.
    unavailable = 'unavailable'


@attrs.define(eq=False)
class _PendingPut:
    put: Put
    result: PutResult | None = None
    resolved: trio.Event = attrs.field(factory=trio.Event)

    def resolve(self, result: PutResult) -> None:
        self.result = result
        self.resolved.set()


class GroupCommitter:
    """Queues writes while a transaction is in progress and sends them in the next one.

    Every write counts in the metric of claim rows, as sidecars use it for claims only.
    """

    def __init__(self, table: TableClient, metrics: Metrics) -> None:
        """Creates an empty queue; `run` sends the writes."""
        self._table = table
        self._metrics = metrics
        self._queue: list[_PendingPut] = []
        self._put_added = trio.Event()

    async def submit(self, put: Put) -> PutResult:
        """Queues a conditional write and waits for its result.

        Args:
            put: The conditional write.

        Returns:
            The result.
        """
        pending = _PendingPut(put)
        self._queue.append(pending)
        self._put_added.set()
        await pending.resolved.wait()
        assert pending.result is not None, 'a resolved write must have a result'
        return pending.result

    async def run(self) -> None:
        """Sends transactions until cancelled."""
        while True:
            self._put_added = trio.Event()
            if not self._queue:
                await self._put_added.wait()
            await self._send(self._take_batch())

    def _take_batch(self) -> list[_PendingPut]:
        """Removes the next batch from the queue; it has at most one write for each row."""
        batch: dict[str, _PendingPut] = {}
        deferred: list[_PendingPut] = []
        for pending in self._queue:
            if pending.put.key in batch or len(batch) >= _MAXIMUM_BATCH_PUTS:
                deferred.append(pending)
                continue
            batch[pending.put.key] = pending
        self._queue = deferred
        return list(batch.values())

    async def _send(self, batch: list[_PendingPut]) -> None:
        """Commits a batch; after a conflict, commits the writes that did not conflict.

        The metrics count each repetition as a transaction, with the writes that it holds.
        """
        while batch:
            self._metrics.table_writes.inc({})
            self._metrics.claim_rows.add({}, len(batch))
            try:
                outcome = await self._table.commit([pending.put for pending in batch])
            except PlatformError as error:
                error_result = (
                    PutResult.unknown if error.may_have_written else PutResult.unavailable
                )
                _resolve_all(batch, error_result)
                return
            if outcome.result is CommitResult.committed:
                _resolve_all(batch, PutResult.committed)
                return
            failed = [pending for pending in batch if pending.put.key in outcome.failed_keys]
            _resolve_all(failed, PutResult.conflict)
            batch = [pending for pending in batch if pending not in failed]


def _resolve_all(batch: list[_PendingPut], result: PutResult) -> None:
    for pending in batch:
        pending.resolve(result)
