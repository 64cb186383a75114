"""Encodes reports into datagrams that cross any network whole, and puts them together again.

Datagrams are lost, doubled and overtake each other. Only a whole report is taken, and what it
says of a state only if no newer report of the same run of its sender was taken.
"""

import random
import typing
from collections import OrderedDict, deque

import attrs
import msgspec

from .._messages_generated import PeerDatagram, PeerReport

#: Bytes of a report in one datagram; with its header it fits an Ethernet frame.
_PART_BYTES = 1300
#: Reports of one sender that may be incomplete at a time.
_MAXIMUM_INCOMPLETE_REPORTS = 4
_MAXIMUM_PARTS = 1000
#: Earlier runs of one sender whose late datagrams are recognized.
_MAXIMUM_PAST_INCARNATIONS = 8


def _row_type(message: type) -> typing.Any:
    """Returns the type of a message that is sent as a row of its fields."""
    return tuple[tuple(typing.get_type_hints(message).values())]  # type: ignore[misc]


_REPORT_FIELDS = tuple(field.name for field in attrs.fields(PeerReport))
_DATAGRAM_FIELDS = tuple(field.name for field in attrs.fields(PeerDatagram))
_REPORT_DECODER = msgspec.msgpack.Decoder(_row_type(PeerReport))
_DATAGRAM_DECODER = msgspec.msgpack.Decoder(_row_type(PeerDatagram))


def encode_report(report: PeerReport) -> bytes:
    """Encodes a report."""
    return msgspec.msgpack.encode(attrs.astuple(report, recurse=False))


def decode_report(content: bytes) -> PeerReport:
    """Decodes a report.

    Args:
        content: What `encode_report` returned.

    Returns:
        The report.

    Raises:
        msgspec.MsgspecError: The bytes are no report.
    """
    columns = _REPORT_DECODER.decode(content)
    return PeerReport(**dict(zip(_REPORT_FIELDS, columns, strict=True)))


def encode_datagram(datagram: PeerDatagram) -> bytes:
    """Encodes a datagram."""
    return msgspec.msgpack.encode(attrs.astuple(datagram, recurse=False))


def decode_datagram(received: bytes) -> PeerDatagram:
    """Decodes a datagram.

    Args:
        received: Bytes of a datagram.

    Returns:
        The datagram.

    Raises:
        msgspec.MsgspecError: The bytes are no datagram of a report.
    """
    columns = _DATAGRAM_DECODER.decode(received)
    datagram = PeerDatagram(**dict(zip(_DATAGRAM_FIELDS, columns, strict=True)))
    if datagram.parts > _MAXIMUM_PARTS or datagram.part not in range(datagram.parts):
        raise msgspec.ValidationError('part {0.part} of {0.parts}'.format(datagram))
    return datagram


class ReportSender:
    """Numbers the reports of one run of an instance."""

    def __init__(self, host: str, failure_domain: str, rng: random.Random) -> None:
        """Starts a run.

        Args:
            host: IP address of the instance.
            failure_domain: Where it is.
            rng: Source of the number that tells this run from earlier ones.
        """
        self._host = host
        self._failure_domain = failure_domain
        self._incarnation = rng.getrandbits(32)
        self._sequence = 0

    def split(self, content: bytes, *, is_for_all: bool) -> list[bytes]:
        """Splits an encoded report.

        Args:
            content: The report.
            is_for_all: Whether every instance gets it from here.

        Returns:
            Its datagrams.
        """
        self._sequence += 1
        starts = range(0, max(len(content), 1), _PART_BYTES)
        return [
            encode_datagram(
                PeerDatagram(
                    host=self._host,
                    failure_domain=self._failure_domain,
                    is_relayed=False,
                    is_for_all=is_for_all,
                    incarnation=self._incarnation,
                    sequence=self._sequence,
                    part=part,
                    parts=len(starts),
                    content=content[start : start + _PART_BYTES],
                )
            )
            for part, start in enumerate(starts)
        ]


@attrs.define(frozen=True)
class ReceivedReport:
    """A whole report.

    Attributes:
        content: The encoded report.
        is_newest: Whether no newer one of its sender was taken, so that its state counts.
    """

    content: bytes
    is_newest: bool


@attrs.define
class _SenderState:
    """What is known of one sender's reports."""

    incarnation: int
    newest_sequence: int = 0
    past: deque[int] = attrs.field(factory=lambda: deque(maxlen=_MAXIMUM_PAST_INCARNATIONS))
    incomplete: OrderedDict[int, dict[int, bytes]] = attrs.field(factory=OrderedDict)

    def start_incarnation(self, incarnation: int) -> None:
        """Takes note of another run of the sender."""
        self.past.append(self.incarnation)
        self.incarnation = incarnation
        self.newest_sequence = 0
        self.incomplete.clear()


class ReportAssembler:
    """Puts the reports of all senders together."""

    def __init__(self) -> None:
        """Starts with no sender."""
        self._senders: dict[str, _SenderState] = {}

    def forget(self, host: str) -> None:
        """Drops what is known of one sender."""
        self._senders.pop(host, None)

    def take(self, datagram: PeerDatagram) -> ReceivedReport | None:
        """Takes a datagram.

        Args:
            datagram: The datagram.

        Returns:
            The report, if that makes it whole.
        """
        sender = self._senders.setdefault(datagram.host, _SenderState(datagram.incarnation))
        if datagram.incarnation in sender.past:
            return None
        if datagram.incarnation != sender.incarnation:
            sender.start_incarnation(datagram.incarnation)
        content = _add_part(sender, datagram)
        if content is None:
            return None
        is_newest = datagram.sequence > sender.newest_sequence
        if is_newest:
            sender.newest_sequence = datagram.sequence
        return ReceivedReport(content, is_newest)


def _add_part(sender: _SenderState, datagram: PeerDatagram) -> bytes | None:
    if datagram.parts == 1:
        return datagram.content
    parts = sender.incomplete.setdefault(datagram.sequence, {})
    parts[datagram.part] = datagram.content
    if len(parts) == datagram.parts:
        sender.incomplete.pop(datagram.sequence)
        return b''.join(parts[part] for part in range(datagram.parts))
    if len(sender.incomplete) > _MAXIMUM_INCOMPLETE_REPORTS:
        sender.incomplete.popitem(last=False)
    return None
