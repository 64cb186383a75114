"""Datagrams between entry instances: loads, placements, usage and versions."""

import ipaddress
import socket

import orjson
import trio

from .._messages_generated import PeerReport
from ..decisions.loads import LoadReport
from ..decisions.prompts import PromptPart
from ..logs import get_logger
from .state import EntryState

_log = get_logger(__name__)
_MAXIMUM_DATAGRAM_BYTES = 8192
#: Interval between reports while something changes.
REPORT_SECONDS = 0.02
#: Reports without a change in between are left out, but for one in this many.
_REPEAT_EVERY = 10
#: Reports that carry the usage of accounts and the crash counts.
_USAGE_EVERY = 5
_LOAD_FIELDS = 3
_SILENT_SECONDS = 1.0
#: Prompts named in one report; the rest follow with the next one.
_MAXIMUM_PLACEMENTS = 40


class PeerLink:
    """Sends this instance's report to the others and takes theirs."""

    def __init__(self, state: EntryState) -> None:
        """Prepares the link.

        Args:
            state: Beliefs of the instance.
        """
        self._state = state
        self._incarnation = state.rng.getrandbits(40)
        self._count = 0
        self._sent_loads: list[int] = []
        self._heard: dict[str, tuple[str, float]] = {}
        self.newest: dict[str, PeerReport] = {}

    async def run(self) -> None:
        """Sends and receives until cancelled."""
        settings = self._state.settings
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await sock.bind((settings.peer_host, settings.peer_port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, sock)
            nursery.start_soon(self._send, sock)

    def list_hosts(self) -> list[str]:
        """Lists the IP addresses of the other instances."""
        state = self._state
        hosts = {host for host in state.instances.values() if _is_address(host)}
        hosts.update(host for host, _ in self._heard.values())
        hosts.update(_seed_hosts(state.settings.seeds))
        hosts.discard(state.settings.peer_host)
        return sorted(hosts)

    def is_heard(self, host: str) -> bool:
        """Tells whether an instance sent a report lately."""
        now = trio.current_time()
        return any(
            known == host and now - heard < _SILENT_SECONDS
            for known, heard in self._heard.values()
        )

    async def _send(self, sock: trio.socket.SocketType) -> None:
        while True:
            await trio.sleep(REPORT_SECONDS)
            report = self._build_report()
            if report is None:
                continue
            for host in self.list_hosts():
                if not self.is_heard(host) and self._count % _REPEAT_EVERY:
                    continue
                try:
                    await sock.sendto(report, (host, self._state.settings.peer_port))
                except OSError as error:
                    _log.debug('report_not_sent', host=host, reason=repr(error))

    def _build_report(self) -> bytes | None:
        state = self._state
        self._count += 1
        loads: list[int] = []
        for load in state.loads.report():
            loads.extend((load.endpoint, load.pending_tokens, load.running))
        placements = state.placements[:_MAXIMUM_PLACEMENTS]
        if loads == self._sent_loads and not placements and self._count % _REPEAT_EVERY:
            return None
        self._sent_loads = loads
        state.placements = state.placements[_MAXIMUM_PLACEMENTS:]
        now = trio.current_time()
        usage: dict[str, float] = {}
        demand: dict[str, float] = {}
        crashes: dict[str, int] = {}
        if self._count % _USAGE_EVERY == 0:
            usage = {name: round(tokens) for name, tokens in state.usage.report(now).items()}
            demand = {name: round(tokens) for name, tokens in state.demand.report(now).items()}
            crashes = {str(key): count for key, count in state.crashes.report(now).items()}
        return orjson.dumps(
            [
                state.settings.name,
                self._incarnation,
                state.configuration_version,
                state.members_version,
                loads,
                placements,
                usage,
                demand,
                crashes,
                self._count % _USAGE_EVERY == 0,
            ]
        )

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                received, address = await sock.recvfrom(_MAXIMUM_DATAGRAM_BYTES)
            except OSError as error:
                _log.debug('report_not_received', reason=repr(error))
                continue
            try:
                fields = orjson.loads(received)
                self._take(fields, address[0])
            except (ValueError, TypeError, KeyError, IndexError) as error:
                _log.debug('report_malformed', host=address[0], reason=repr(error))

    def _take(self, fields: list, host: str) -> None:
        state = self._state
        *columns, has_usage = fields
        report = PeerReport(
            **dict(zip(PeerReport.__annotations__, columns, strict=True)),
        )
        now = trio.current_time()
        if report.instance == state.settings.name:
            return
        if report.instance not in self._heard or not self.is_heard(host):
            _log.info('instance_heard', peer=report.instance, host=host)
        self._heard[report.instance] = (host, now)
        self.newest[host] = report
        loads = report.loads
        state.loads.merge(
            report.instance,
            [
                LoadReport(*loads[start : start + _LOAD_FIELDS])
                for start in range(0, len(loads), _LOAD_FIELDS)
            ],
            now,
        )
        for number, *parts in report.placements:
            live = state.find_endpoint(number)
            if live is not None:
                pairs = zip(parts[::2], parts[1::2], strict=True)
                live.cache.record([PromptPart(*pair) for pair in pairs])
        if has_usage:
            state.usage.merge(report.instance, report.usage, now)
            state.demand.merge(report.instance, report.demand, now)
            state.crashes.merge(
                report.instance, {int(key): count for key, count in report.crashes.items()}
            )
        state.notify()


def _seed_hosts(seeds: str) -> list[str]:
    hosts = [entry.strip().rpartition(':')[0] for entry in seeds.split(',') if entry.strip()]
    return [host for host in hosts if _is_address(host)]


def _is_address(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
