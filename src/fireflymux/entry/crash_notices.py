"""Tells the other entry instances at once of crashes that are counted.

Full reports state all counts, but in a large fleet they are seconds apart. A notice is one datagram
beside them, which states some counts; it is repeated for a while, since datagrams can be lost.
Receivers may apply notices in any order and more than once. Instances that do not know them drop
them as malformed.
"""

import typing
from collections.abc import Iterable

import msgspec
import trio

from .._messages_generated import PeerCrashNotice
from ..decisions.crash_counts import CrashCount
from ..observability.logs import get_logger
from .message_types import Fingerprint, Name
from .peer_messages import build_decoder, encode_message
from .quarantine import apply_counts
from .state import EntryState

_log = get_logger(__name__)
#: Value of the field `kind`, which tells a notice from other datagrams.
_KIND = 'crashes'
#: Time between two notices, and time for which a changed count is told.
_INTERVAL_SECONDS = 0.25
_REPEAT_SECONDS = 1.5
#: Maximum number of counts in one notice, so that it fits into one datagram.
_MAXIMUM_COUNTS = 24
#: Greatest generation of a count that is taken over, since a response increases it.
_MAXIMUM_GENERATION = 1000000
_decode_notice = build_decoder(
    PeerCrashNotice,
    instance=Name,
    counts=list[typing.Annotated[list[Fingerprint], msgspec.Meta(min_length=2)]],
)


def encode_counts(counts: Iterable[CrashCount]) -> list[list[int]]:
    """Encodes counts as fingerprint, generation and the numbers of the endpoints."""
    return [[count.fingerprint, count.generation, *count.endpoints] for count in counts]


def decode_counts(instance: str, encoded: Iterable[list[int]]) -> list[CrashCount]:
    """Decodes counts, without those whose generation is out of range.

    Args:
        instance: Name of the instance that sent them, for the log.
        encoded: Counts as `encode_counts` returned them.
    """
    counts: list[CrashCount] = []
    for fingerprint, generation, *endpoints in encoded:
        if generation > _MAXIMUM_GENERATION:
            _log.warning('crash_count_malformed', peer=instance, generation=generation)
            continue
        counts.append(CrashCount(fingerprint, generation, tuple(endpoints)))
    return counts


class CrashNoticeBuilder:
    """Builds the notices whenever some are due."""

    def __init__(self, state: EntryState) -> None:
        """Prepares the first notice.

        Args:
            state: State of the instance.
        """
        self._state = state
        self._sent_at = float('-inf')

    def build(self) -> list[bytes]:
        """Builds and encodes the notices that are due; none if no count changed lately."""
        now = trio.current_time()
        crashes = self._state.crashes
        is_due = now >= self._sent_at + _INTERVAL_SECONDS or crashes.list_changed(self._sent_at)
        if crashes.is_empty or not is_due:
            return []
        changed = crashes.list_changed(now - _REPEAT_SECONDS)
        self._sent_at = now
        return [
            self._encode(changed[start : start + _MAXIMUM_COUNTS])
            for start in range(0, len(changed), _MAXIMUM_COUNTS)
        ]

    def _encode(self, counts: list[CrashCount]) -> bytes:
        notice = PeerCrashNotice(
            kind=_KIND, instance=self._state.settings.name, counts=encode_counts(counts)
        )
        return encode_message(notice)


def apply_if_crash_notice(state: EntryState, received: bytes) -> bool:
    """Applies a datagram if it is a notice of crashes.

    Args:
        state: State of the instance.
        received: Bytes of the datagram.

    Returns:
        Whether it is a notice.
    """
    try:
        notice = _decode_notice(received)
    except msgspec.MsgspecError:
        return False
    if notice.kind != _KIND:
        return False
    if notice.instance != state.settings.name:
        counts = decode_counts(notice.instance, notice.counts)
        apply_counts(state, notice.instance, counts)
    return True
