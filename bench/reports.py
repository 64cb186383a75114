"""Measures the size and processor time of reports between entry instances.

Run as `python -m bench.reports`. The number of endpoints with requests of the sending instance
varies. The usage of accounts is part of only some reports, so that both kinds are measured.
"""

import random
import time

import trio

from fireflymux._messages_generated import PeerReport
from fireflymux._settings_generated import EntrySettings
from fireflymux.entry.entry_metrics import EntryMetrics
from fireflymux.entry.peer_link import PeerLink
from fireflymux.entry.report_datagrams import (
    ReportAssembler,
    ReportSplitter,
    decode_datagram,
    decode_report,
    encode_report,
)
from fireflymux.entry.state import EntryState

_ENDPOINT_COUNTS = (10, 100, 1000, 3700)
_ACCOUNT_COUNT = 330
_PLACEMENT_COUNT = 2
_REPETITIONS = 300


def build_report(endpoints: int, *, has_usage: bool) -> PeerReport:
    """Builds the report of a busy instance.

    Args:
        endpoints: Number of endpoints that run requests of the instance.
        has_usage: Whether the report contains the usage of accounts.
    """
    rng = random.Random(1)
    loads = []
    for _ in range(endpoints):
        loads.extend((rng.getrandbits(32), rng.randrange(20000), rng.randrange(64)))
    placements = [
        [rng.getrandbits(32), *(number for _ in range(3) for number in (rng.getrandbits(32), 900))]
        for _ in range(_PLACEMENT_COUNT)
    ]
    usage = {'account-{0}'.format(number): 1000.0 for number in range(_ACCOUNT_COUNT)}
    return PeerReport(
        instance='entry-1',
        config_version=7,
        is_whole=has_usage,
        members_era=0,
        members_version=9,
        store_age_milliseconds=100,
        loads=loads,
        placements=placements,
        refusals=[],
        usage=usage if has_usage else None,
        demand=usage if has_usage else None,
        crashes=[] if has_usage else None,
        leaving=[] if has_usage else None,
    )


def measure(report: PeerReport, link: PeerLink) -> tuple[int, float, float]:
    """Measures one kind of report.

    Args:
        report: The report.
        link: Link of the receiving instance.

    Returns:
        Size in bytes, and processor time in microseconds to encode and to receive the report.
    """
    splitter = ReportSplitter('10.0.0.1', 'a', random.Random(1))
    started_at = time.process_time()
    datagrams_by_report = [
        splitter.split(encode_report(report), is_for_all=report.usage is not None)
        for _ in range(_REPETITIONS)
    ]
    encoded_at = time.process_time()
    assembler = ReportAssembler()
    for datagrams in datagrams_by_report:
        for datagram in datagrams:
            received = assembler.take(decode_datagram(datagram))
            if received is not None:
                link.apply_report(
                    decode_report(received.content), host='10.0.0.1', failure_domain='a'
                )
    taken_at = time.process_time()
    return (
        sum(len(datagram) for datagram in datagrams_by_report[0]),
        (encoded_at - started_at) / _REPETITIONS * 1e6,
        (taken_at - encoded_at) / _REPETITIONS * 1e6,
    )


async def main() -> None:
    """Prints one row for each number of endpoints, without and with the usage of accounts."""
    settings = EntrySettings(
        name='entry-2',
        failure_domain='b',
        caller_address='127.0.0.1:1',
        readiness_address='127.0.0.1:2',
        peer_host='127.0.0.1',
        peer_port=3,
        store_address='127.0.0.1:4',
    )
    link = PeerLink(EntryState(settings, random.Random(1)), EntryMetrics())
    print('endpoints  usage  bytes  us to encode  us to take')
    for endpoints in _ENDPOINT_COUNTS:
        for has_usage in (False, True):
            row = measure(build_report(endpoints, has_usage=has_usage), link)
            print('{0:9} {1!s:>6} {2:6} {3:13.1f} {4:11.1f}'.format(endpoints, has_usage, *row))


if __name__ == '__main__':
    trio.run(main)
