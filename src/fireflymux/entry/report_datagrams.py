"""Splits reports into datagrams that the network need not fragment, and reassembles them.

Datagrams can be lost, duplicated or reordered. A report counts only when all its parts have
arrived. Its statements about the sender's state are ignored if a newer report of that sender was
complete before. Reports are numbered from 1 in each incarnation of the sender, which is one run of
an instance, from its start to its end. Reports of earlier incarnations are ignored.
"""

import random
import typing
from collections import OrderedDict, deque

import attrs
import msgspec

from .._messages_generated import PeerDatagram, PeerReport
from ..bounded_values import MAXIMUM_TOKENS, is_ipv4_address
from .message_types import Count, Fingerprint, Identifier, Name, Tokens
from .peer_messages import build_decoder, encode_message

#: Bytes of a report in one datagram, which with all headers fits into one Ethernet frame.
_PART_BYTES = 1300
#: Incomplete reports kept of one sender; the oldest one is dropped for a further one.
_MAXIMUM_INCOMPLETE_REPORTS = 4
#: Maximum number of datagrams in one report.
_MAXIMUM_PARTS = 1000
#: Earlier incarnations of one sender whose late datagrams are recognized and ignored.
_MAXIMUM_PAST_INCARNATIONS = 8


#: Numbers for each endpoint in the loads of a report: its number, pending tokens, running requests.
_LOAD_FIELDS = 3
_decode_report = build_decoder(
    PeerReport,
    instance=Name,
    config_version=Count,
    members_era=Count,
    members_version=Count,
    loads=list[Count],
    # Number of the endpoint, then identifier and tokens of each part.
    placements=list[typing.Annotated[list[Identifier], msgspec.Meta(min_length=1)]],
    refusals=list[Count],
    usage=dict[str, Tokens] | None,
    demand=dict[str, Tokens] | None,
    # Fingerprint and generation, then the numbers of endpoints.
    crashes=list[typing.Annotated[list[Fingerprint], msgspec.Meta(min_length=2)]] | None,
    leaving=list[Count] | None,
)
_decode_datagram = build_decoder(
    PeerDatagram, failure_domain=Name, incarnation=Count, sequence=Count, part=Count, parts=Count
)


def encode_report(report: PeerReport) -> bytes:
    """Encodes a report."""
    return encode_message(report)


def decode_report(content: bytes) -> PeerReport:
    """Decodes a report.

    Args:
        content: Bytes that `encode_report` returned.

    Returns:
        The report.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid report, or a number is out of range.
    """
    report = _decode_report(content)
    if len(report.loads) % _LOAD_FIELDS:
        raise msgspec.ValidationError('the loads are not complete')
    for _, *parts in report.placements:
        if len(parts) % 2 or max(parts[1::2], default=0) > MAXIMUM_TOKENS:
            raise msgspec.ValidationError('a placed prompt has an invalid part')
    return report


def encode_datagram(datagram: PeerDatagram) -> bytes:
    """Encodes a datagram."""
    return encode_message(datagram)


def decode_datagram(received: bytes) -> PeerDatagram:
    """Decodes a datagram and checks its part number and the address of its sender.

    Args:
        received: Bytes of a datagram.

    Returns:
        The datagram.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid datagram.
    """
    datagram = _decode_datagram(received)
    if datagram.parts > _MAXIMUM_PARTS or datagram.part not in range(datagram.parts):
        raise msgspec.ValidationError('invalid part {0.part} of {0.parts}'.format(datagram))
    if not is_ipv4_address(datagram.host):
        raise msgspec.ValidationError('the sender is no IPv4 address')
    return datagram


class ReportSplitter:
    """Numbers the reports of one incarnation of an instance, and splits them into datagrams."""

    def __init__(self, host: str, failure_domain: str, rng: random.Random) -> None:
        """Starts an incarnation.

        Args:
            host: IP address of the instance.
            failure_domain: Failure domain of the instance.
            rng: Source of the random number that identifies the incarnation.
        """
        self._host = host
        self._failure_domain = failure_domain
        self._incarnation = rng.getrandbits(32)
        self._sequence = 0

    def split(self, content: bytes, *, is_for_all: bool) -> list[bytes]:
        """Splits an encoded report into datagrams.

        Args:
            content: The report.
            is_for_all: Whether this instance sends it to every other one, so that none relays it.

        Returns:
            The encoded datagrams.
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
    """A report of which every part has arrived.

    Attributes:
        content: The encoded report.
        is_newest: Whether its number is above that of every complete report before it from the
            same incarnation, so that its statements about the sender's state are current. False
            for a duplicate of the newest report, too.
    """

    content: bytes
    is_newest: bool


@attrs.define
class _SenderState:
    """What was received from one sender.

    Attributes:
        incarnation: Number of its current incarnation.
        newest_sequence: Highest number (`sequence`) of a complete report of this incarnation; zero
            before the first.
        past_incarnations: Numbers of its earlier incarnations.
        incomplete: Parts received of each incomplete report, by its `sequence` and the number of
            its parts, and then by their `part`.
    """

    incarnation: int
    newest_sequence: int = 0
    past_incarnations: deque[int] = attrs.field(
        factory=lambda: deque(maxlen=_MAXIMUM_PAST_INCARNATIONS)
    )
    incomplete: OrderedDict[tuple[int, int], dict[int, bytes]] = attrs.field(factory=OrderedDict)

    def start_incarnation(self, incarnation: int) -> None:
        """Starts anew for another incarnation, and remembers the old one to ignore it."""
        self.past_incarnations.append(self.incarnation)
        self.incarnation = incarnation
        self.newest_sequence = 0
        self.incomplete.clear()


class ReportAssembler:
    """Reassembles the reports of all senders."""

    def __init__(self) -> None:
        """Creates an assembler that has received nothing yet."""
        self._senders: dict[str, _SenderState] = {}

    def forget(self, host: str) -> None:
        """Drops the state kept for one sender."""
        self._senders.pop(host, None)

    def take(self, datagram: PeerDatagram) -> ReceivedReport | None:
        """Adds a datagram to the report that it is a part of.

        Args:
            datagram: The datagram.

        Returns:
            The report if this was its last missing part, otherwise None.
        """
        sender = self._senders.setdefault(datagram.host, _SenderState(datagram.incarnation))
        if datagram.incarnation in sender.past_incarnations:
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
    """Adds a part to its report; returns the report's content once it is complete."""
    if datagram.parts == 1:
        return datagram.content
    # Datagrams that disagree on the number of parts do not belong together.
    key = datagram.sequence, datagram.parts
    parts = sender.incomplete.setdefault(key, {})
    parts[datagram.part] = datagram.content
    if len(parts) == datagram.parts:
        sender.incomplete.pop(key)
        return b''.join(parts[part] for part in range(datagram.parts))
    if len(sender.incomplete) > _MAXIMUM_INCOMPLETE_REPORTS:
        sender.incomplete.popitem(last=False)
    return None
