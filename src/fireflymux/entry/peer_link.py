"""Exchanges reports between entry instances as UDP datagrams.

A report states the load that its sender has on each endpoint, the prompts that it placed, the
usage of accounts, and the versions of the store's tables that it knows. An instance counts as
heard for a short time after each report. A full report is one whose field `is_whole` is true.
"""

import socket
from functools import partial

import attrs
import msgspec
import trio

from .._messages_generated import PeerDatagram, PeerReport
from ..bounded_values import is_ipv4_address
from ..decisions.followers import is_follower
from ..decisions.report_routes import (
    KnownInstance,
    choose_receivers,
    choose_relay_targets,
    choose_report_interval,
)
from ..observability.logs import get_logger
from .crash_notices import CrashNoticeBuilder, apply_if_crash_notice
from .entry_metrics import EntryMetrics
from .heard_instance import HeardInstance
from .peer_notices import NoticeBuilder, apply_if_notice
from .received_reports import apply_events, apply_newest_report
from .report_builder import ReportBuilder
from .report_datagrams import (
    ReportAssembler,
    ReportSplitter,
    decode_datagram,
    decode_report,
    encode_datagram,
    encode_report,
)
from .state import EntryState
from .supervision import supervise

_log = get_logger(__name__)
_MAXIMUM_DATAGRAM_BYTES = 65536
#: How long the list of heard instances is reused before it is computed again.
_HEARD_CACHE_SECONDS = 0.1
#: Datagrams handled in a row before other tasks may run.
_DATAGRAMS_PER_TURN = 16
#: An instance counts as heard for this long after its newest report.
_HEARD_SECONDS = 1.0
#: What is known of an instance is dropped this long after its newest report.
_FORGET_AFTER_SECONDS = 60.0


class PeerLink:
    """Sends this instance's reports to the others and applies theirs to the state.

    Attributes:
        heard: The newest report of each other instance, by IP address. Instances stay here until
            `forget_silent` drops them; `is_heard` tells which of them still count as heard.
    """

    def __init__(self, state: EntryState, metrics: EntryMetrics) -> None:
        """Creates the link; `run` opens its socket.

        Args:
            state: State of the instance.
            metrics: Metrics of the instance.
        """
        self.heard: dict[str, HeardInstance] = {}
        self._state = state
        self._metrics = metrics
        self._reports = ReportBuilder(state)
        self._notices = NoticeBuilder(state)
        self._crash_notices = CrashNoticeBuilder(state)
        self._heard_cache: list[KnownInstance] = []
        self._heard_cache_until = float('-inf')
        self._splitter = ReportSplitter(state.host, state.settings.failure_domain, state.rng)
        self._assembler = ReportAssembler()

    async def run(self) -> None:
        """Sends and receives reports until cancelled."""
        settings = self._state.settings
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.bind((settings.peer_host, settings.peer_port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(supervise, partial(self._receive, sock), 'receive reports')
                nursery.start_soon(supervise, partial(self._send, sock), 'send reports')

    def list_hosts(self) -> list[str]:
        """Lists the IP addresses of the other instances: registered, heard, or set as seeds."""
        state = self._state
        hosts = {host for host in state.instances.values() if is_ipv4_address(host)}
        hosts.update(self.heard)
        hosts.update(_parse_seed_hosts(state.settings.seeds))
        hosts.discard(state.host)
        return sorted(hosts)

    def forget_silent(self) -> None:
        """Forgets the instances that have sent no report for a long time."""
        oldest = trio.current_time() - _FORGET_AFTER_SECONDS
        silent = [host for host, heard in self.heard.items() if heard.heard_at < oldest]
        for host in silent:
            self._assembler.forget(host)
            name = self.heard.pop(host).report.instance
            self._state.forget_instance(name)

    def is_heard(self, host: str) -> bool:
        """Tells whether an instance sent a report recently."""
        heard = self.heard.get(host)
        return heard is not None and trio.current_time() - heard.heard_at < _HEARD_SECONDS

    def count_heard(self) -> int:
        """Counts the instances that sent a report recently."""
        return sum(self.is_heard(host) for host in self.heard)

    def apply_report(self, report: PeerReport, *, host: str, failure_domain: str) -> None:
        """Applies the newest report of another instance to the state.

        Args:
            report: The report.
            host: IP address of the instance.
            failure_domain: Failure domain of the instance.
        """
        if not self.is_heard(host):
            _log.info('instance_heard', peer=report.instance, host=host)
        now = trio.current_time()
        self._state.instances[report.instance] = host
        self.heard[host] = HeardInstance(failure_domain, report, now)
        apply_newest_report(self._state, report, now)
        self._state.notify()

    def is_store_follower(self) -> bool:
        """Tells whether this instance is one of those that follow the tables of the store."""
        own = self._state.settings.failure_domain
        now = trio.current_time()
        fresh = [
            (host, heard.failure_domain)
            for host, heard in self.heard.items()
            if self.is_heard(host) and heard.is_store_fresh(now)
        ]
        neighbours = [host for host, domain in fresh if domain == own]
        return is_follower(self._state.host, neighbours, is_anyone_fresh=bool(fresh))

    def list_neighbours(self) -> list[str]:
        """Lists the IP addresses of the heard instances in this failure domain."""
        own = self._state.settings.failure_domain
        return [known.host for known in self._list_heard() if known.failure_domain == own]

    async def _send(self, sock: socket.socket) -> None:
        while True:
            await trio.sleep(choose_report_interval(self.count_heard()))
            for notice in (*self._notices.build(), *self._crash_notices.build()):
                for host in self.list_hosts():
                    self._send_to(sock, host, notice)
            report = self._reports.build()
            if report is None:
                continue
            datagrams = self._splitter.split(encode_report(report), is_for_all=report.is_whole)
            for host in self._list_receivers(report):
                for datagram in datagrams:
                    self._send_to(sock, host, datagram)

    def _send_to(self, sock: socket.socket, host: str, content: bytes) -> None:
        # If the kernel has no buffer for it, the datagram is lost, as it can be on the network.
        try:
            sock.sendto(content, (host, self._state.settings.peer_port))
        except OSError as error:
            _log.debug('report_not_sent', host=host, reason=repr(error))

    def _list_receivers(self, report: PeerReport) -> list[str]:
        """Lists the hosts that a report is sent to; others get it relayed by one of these.

        A full report goes to every instance directly, so that it arrives even where the path
        through a relay is broken.
        """
        if report.is_whole:
            return self.list_hosts()
        settings = self._state.settings
        return choose_receivers(
            self._list_heard(), host=self._state.host, failure_domain=settings.failure_domain
        )

    def _list_heard(self) -> list[KnownInstance]:
        """Lists the heard instances, from a cache that is renewed regularly."""
        now = trio.current_time()
        if now >= self._heard_cache_until:
            self._heard_cache_until = now + _HEARD_CACHE_SECONDS
            self._heard_cache = [
                KnownInstance(host, heard.failure_domain)
                for host, heard in self.heard.items()
                if self.is_heard(host)
            ]
        return self._heard_cache

    async def _receive(self, sock: socket.socket) -> None:
        while True:
            await trio.lowlevel.wait_readable(sock)
            for _ in range(_DATAGRAMS_PER_TURN):
                try:
                    received, address = sock.recvfrom(_MAXIMUM_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError as error:
                    _log.debug('report_not_received', reason=repr(error))
                    break
                self._handle_received(sock, received, address[0])

    def _handle_received(self, sock: socket.socket, received: bytes, host: str) -> None:
        """Relays a datagram and applies it.

        One that cannot be decoded is dropped. One that completes a report which cannot be decoded
        is relayed all the same, since the others may be able to.
        """
        try:
            if apply_if_notice(self._state, received):
                return
            if apply_if_crash_notice(self._state, received):
                return
            datagram = decode_datagram(received)
            self._relay_to_neighbours(sock, datagram)
            self._handle_datagram(datagram)
        except (msgspec.MsgspecError, ValueError, TypeError) as error:
            self._metrics.unreadable_reports.inc({})
            _log.warning('report_malformed', host=host, reason=repr(error))

    def _handle_datagram(self, datagram: PeerDatagram) -> None:
        if datagram.host == self._state.host:
            return
        received = self._assembler.take(datagram)
        if received is None:
            return
        report = decode_report(received.content)
        if received.is_newest:
            self.apply_report(report, host=datagram.host, failure_domain=datagram.failure_domain)
            return
        # The report is late or a duplicate: the prompts and refusals in it still happened, but its
        # statements about the sender's state are out of date.
        apply_events(self._state, report, trio.current_time())

    def _relay_to_neighbours(self, sock: socket.socket, datagram: PeerDatagram) -> None:
        """Sends a datagram from another failure domain on to the instances in this one."""
        if datagram.is_relayed or datagram.is_for_all or datagram.host == self._state.host:
            return
        neighbours = choose_relay_targets(
            self._list_heard(),
            origin=KnownInstance(datagram.host, datagram.failure_domain),
            failure_domain=self._state.settings.failure_domain,
        )
        if not neighbours:
            return
        content = encode_datagram(attrs.evolve(datagram, is_relayed=True))
        for host in neighbours:
            self._send_to(sock, host, content)


def _parse_seed_hosts(seeds: str) -> list[str]:
    """Returns the IPv4 addresses in the setting `seeds`, a list of hosts with ports."""
    hosts = [entry.strip().rpartition(':')[0] for entry in seeds.split(',') if entry.strip()]
    return [host for host in hosts if is_ipv4_address(host)]
