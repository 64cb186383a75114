"""Tells the other entry instances of evacuations, and of endpoints that have to warm up again.

A notice is one datagram beside the reports. It is sent as soon as something changes and repeated
for a while, since datagrams can be lost. Receivers may apply notices in any order and more than
once. Instances that do not know notices drop them as malformed.
"""

import msgspec
import trio

from .._messages_generated import PeerNotice
from ..bounded_values import MAXIMUM_SECONDS
from ..decisions.evacuations import EvacuationList
from ..decisions.store_version import StoreVersion
from ..observability.logs import get_logger
from .evacuating import apply_evacuations
from .message_types import Count, Identifier, Name
from .peer_messages import build_decoder, encode_message
from .state import EntryState

_log = get_logger(__name__)
#: Value of the field `kind`, which tells a notice from other datagrams.
_KIND = 'notice'
#: Time between two notices while there is something to tell.
_INTERVAL_SECONDS = 0.2
#: Time for which a change of the evacuations is told at that interval.
_REPEAT_SECONDS = 3.0
#: Time between two notices after that, for instances that could not be reached before: while a
#: failure domain is evacuated, and for a period after the last change.
_REMINDER_SECONDS = 1.0
_REMINDER_PERIOD_SECONDS = 60.0
#: Maximum number of endpoints in one notice, so that it fits into one datagram.
_MAXIMUM_WARMING = 80
#: Numbers for each endpoint that warms up: its number and the milliseconds left.
_WARMING_FIELDS = 2
_MILLISECONDS_PER_SECOND = 1000.0
_decode_notice = build_decoder(
    PeerNotice,
    instance=Name,
    op_era=Count,
    op_version=Count,
    evacuated=list[Name],
    # Milliseconds are checked for each endpoint by itself.
    warming=list[Identifier],
)


def encode_notice(notice: PeerNotice) -> bytes:
    """Encodes a notice."""
    return encode_message(notice)


def decode_notice(received: bytes) -> PeerNotice | None:
    """Decodes a datagram if it is a notice.

    Args:
        received: Bytes of a datagram.

    Returns:
        The notice; None if the datagram is something else.

    Raises:
        ValueError: It is a notice, but an entry of an endpoint is not complete.
    """
    try:
        notice = _decode_notice(received)
    except msgspec.MsgspecError:
        return None
    if notice.kind != _KIND:
        return None
    if len(notice.warming) % _WARMING_FIELDS:
        raise ValueError('the endpoints that warm up are not complete')
    return notice


class NoticeBuilder:
    """Builds a notice whenever one is due."""

    def __init__(self, state: EntryState) -> None:
        """Prepares the first notice.

        Args:
            state: State of the instance.
        """
        self._state = state
        self._told: EvacuationList = state.candidates.evacuations.newest
        self._changed_at = float('-inf')
        self._warming: frozenset[int] = frozenset()
        self._sent_at = float('-inf')

    def build(self) -> list[bytes]:
        """Builds and encodes a notice; returns none if there is nothing to tell now."""
        now = trio.current_time()
        newest = self._state.candidates.evacuations.newest
        warming = self._find_warming(now)
        has_changed = newest.domains != self._told.domains
        if has_changed:
            self._changed_at = now
        is_new = has_changed or not self._warming.issuperset(warming)
        if not is_new and now < self._sent_at + self._find_interval(
            now, has_warming=bool(warming)
        ):
            return []
        self._told = newest
        self._warming = frozenset(warming)
        self._sent_at = now
        return [self._encode(newest, warming)]

    def _find_interval(self, now: float, *, has_warming: bool) -> float:
        """Returns the time until the next notice while nothing changes."""
        if has_warming or now < self._changed_at + _REPEAT_SECONDS:
            return _INTERVAL_SECONDS
        if self._told.domains or now < self._changed_at + _REMINDER_PERIOD_SECONDS:
            return _REMINDER_SECONDS
        return float('inf')

    def _find_warming(self, now: float) -> dict[int, int]:
        """Returns the milliseconds left of the endpoints that said that they are warming up."""
        return {
            live.number: int((live.stated_warmup_until - now) * _MILLISECONDS_PER_SECOND)
            for live in self._state.list_endpoints()
            if live.stated_warmup_until > now
        }

    def _encode(self, evacuations: EvacuationList, warming: dict[int, int]) -> bytes:
        flat: list[int] = []
        for number, milliseconds in list(warming.items())[:_MAXIMUM_WARMING]:
            flat.extend((number, milliseconds))
        return encode_notice(
            PeerNotice(
                kind=_KIND,
                instance=self._state.settings.name,
                op_era=evacuations.version.era,
                op_version=evacuations.version.number,
                evacuated=sorted(evacuations.domains),
                warming=flat,
            )
        )


def apply_if_notice(state: EntryState, received: bytes) -> bool:
    """Applies a datagram if it is a notice of another instance.

    Args:
        state: State of the instance.
        received: Bytes of the datagram.

    Returns:
        Whether it is a notice.

    Raises:
        ValueError: It is a notice, but an entry of an endpoint is not complete.
    """
    notice = decode_notice(received)
    if notice is None:
        return False
    version = StoreVersion(notice.op_era, notice.op_version)
    evacuations = EvacuationList(version=version, domains=frozenset(notice.evacuated))
    apply_evacuations(state, evacuations, notice.instance)
    numbers, milliseconds = (
        notice.warming[start::_WARMING_FIELDS] for start in range(_WARMING_FIELDS)
    )
    for number, left in zip(numbers, milliseconds, strict=True):
        live = state.find_endpoint(number)
        if live is None:
            continue
        seconds = left / _MILLISECONDS_PER_SECOND
        if seconds > MAXIMUM_SECONDS:
            _log.warning(
                'warmup_malformed', number=number, seconds=seconds, source=notice.instance
            )
            continue
        state.candidates.warmups.record(live, seconds)
    return True
