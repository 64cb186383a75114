"""Calls to the platform's store, and the era that its responses state."""

from collections.abc import Callable
from typing import Any

import orjson
import trio

from ..bounded_values import MAXIMUM_INTEGER, OutOfBounds, check_number, parse_integer
from ..decisions.store_clock import StoreClock
from ..http.messages import ResponseHead, find_header
from ..observability.logs import get_logger
from .store_connections import StoreConnections
from .store_rows import StoreReply

_log = get_logger(__name__)

_OK = 200
#: Bytes of a malformed header field that are logged.
_LOGGED_BYTES = 100
#: Response field with the store's era, which increases when it is restored from an older copy.
_ERA_FIELD = b'store-era'
#: Member of a response with the time of the store's steady clock, in milliseconds.
_CLOCK_MEMBER = 'now_ms'
_MILLISECONDS_PER_SECOND = 1000.0


class StoreCalls:
    """Sends calls to the store, and notices when it was restored from an older copy.

    Attributes:
        era: Newest known era of the store, from its responses or from other instances.
        clock: The store's clock, as its responses state it.
    """

    def __init__(
        self, address: str, *, connect_timeout_seconds: float, on_new_era: Callable[[], None]
    ) -> None:
        """Prepares calls without connecting.

        Args:
            address: IP address and port of the store.
            connect_timeout_seconds: Maximum time to open a connection.
            on_new_era: Is called when a newer era is learned.
        """
        self.era = 0
        self._connections = StoreConnections(
            address, connect_timeout_seconds=connect_timeout_seconds
        )
        self._on_new_era = on_new_era
        self.clock = StoreClock()
        self._era_changed = trio.Event()

    def update_era(self, era: int) -> None:
        """Records the era of the store.

        The known era begins at zero, so the first greater one that is learned counts as newer,
        too, although the store may not have been restored since this process started.

        Args:
            era: Era stated by the store or by another instance; the known one and older ones are
                ignored.
        """
        if era <= self.era:
            return
        _log.warning('store_went_back', era=era, previous=self.era)
        self.era = era
        self.clock = StoreClock()
        self._on_new_era()
        self._era_changed.set()
        self._era_changed = trio.Event()

    async def wait_for_new_era(self) -> None:
        """Waits until a newer era is learned (see `update_era`)."""
        await self._era_changed.wait()

    async def exchange(
        self, start_line: str, content: bytes = b'', *, followed_table: str = ''
    ) -> StoreReply:
        """Sends a call and reads its response.

        Args:
            start_line: Request line.
            content: JSON body; empty for none.
            followed_table: Table that a long poll follows; empty for any other call.

        Returns:
            The response.

        Raises:
            ConnectFailed: No connection could be opened.
            ConnectionBroken: The connection broke, or the response is malformed or too large.
            ValueError: The body of the response is not valid JSON.
        """
        sent_at = trio.current_time()
        response = await self._connections.exchange(
            start_line, content, followed_table=followed_table
        )
        status = response.head.status
        json_body = orjson.loads(response.body) if response.body and status == _OK else None
        era = self._read_era(response.head)
        self.update_era(era)
        as_of = self.clock.find_time(
            _find_stated_time(json_body), sent_at=sent_at, received_at=trio.current_time()
        )
        return StoreReply(status, era, json_body, as_of)

    def _read_era(self, head: ResponseHead) -> int:
        """Returns the era stated in a response, or the known one if it states no valid one."""
        stated = find_header(head.fields, _ERA_FIELD)
        era = parse_integer(stated, maximum=MAXIMUM_INTEGER)
        if era is None and stated:
            _log.warning('era_malformed', stated=stated[:_LOGGED_BYTES].decode('latin-1'))
        return self.era if era is None else era


def _find_stated_time(json_body: Any) -> float | None:
    """Returns the time of the store's clock in seconds; None if a response states no valid one."""
    stated = json_body.get(_CLOCK_MEMBER) if isinstance(json_body, dict) else None
    if stated is None:
        return None
    try:
        return check_number(stated, maximum=MAXIMUM_INTEGER) / _MILLISECONDS_PER_SECOND
    except OutOfBounds as error:
        _log.warning('store_clock_malformed', reason=str(error))
        return None
