"""Group commit: many conditional writes travel in one transaction."""

import enum

import attrs
import trio

from ..observability.metrics import Metrics
from .platform_client import CommitResult, PlatformError, Put, TableClient

_BATCH_LIMIT = 64


class PutResult(enum.Enum):
    """Tagged result of one conditional write."""

    committed = 'committed'
    conflict = 'conflict'
    #: The write took effect or will, or not; only reading back tells.
    unknown = 'unknown'
    #: The table was not reached; nothing was written.
    unavailable = 'unavailable'


@attrs.define(eq=False)
class _Waiting:
    put: Put
    result: PutResult | None = None
    settled: trio.Event = attrs.field(factory=trio.Event)

    def settle(self, result: PutResult) -> None:
        self.result = result
        self.settled.set()


class TableBatch:
    """Collects writes while a transaction is on its way and sends them with the next."""

    def __init__(self, table: TableClient, metrics: Metrics) -> None:
        """Starts empty."""
        self._table = table
        self._metrics = metrics
        self._queue: list[_Waiting] = []
        self._added = trio.Event()

    async def submit(self, put: Put) -> PutResult:
        """Writes one row under its condition.

        Args:
            put: The conditional write.

        Returns:
            What became of it.
        """
        waiting = _Waiting(put)
        self._queue.append(waiting)
        self._added.set()
        await waiting.settled.wait()
        assert waiting.result is not None, 'a settled write has a result'
        return waiting.result

    async def run(self) -> None:
        """Sends transactions until cancelled."""
        while True:
            self._added = trio.Event()
            if not self._queue:
                await self._added.wait()
            await self._send(self._take())

    def _take(self) -> list[_Waiting]:
        taken: dict[str, _Waiting] = {}
        rest: list[_Waiting] = []
        for waiting in self._queue:
            if waiting.put.key in taken or len(taken) >= _BATCH_LIMIT:
                rest.append(waiting)
                continue
            taken[waiting.put.key] = waiting
        self._queue = rest
        return list(taken.values())

    async def _send(self, batch: list[_Waiting]) -> None:
        while batch:
            self._metrics.table_writes.inc({})
            self._metrics.claim_rows.add({}, len(batch))
            try:
                commit = await self._table.commit([waiting.put for waiting in batch])
            except PlatformError as error:
                unsure = PutResult.unknown if error.may_have_written else PutResult.unavailable
                _settle_all(batch, unsure)
                return
            if commit.result is CommitResult.committed:
                _settle_all(batch, PutResult.committed)
                return
            failed = [waiting for waiting in batch if waiting.put.key in commit.failed_keys]
            _settle_all(failed, PutResult.conflict)
            batch = [waiting for waiting in batch if waiting not in failed]


def _settle_all(batch: list[_Waiting], result: PutResult) -> None:
    for waiting in batch:
        waiting.settle(result)
