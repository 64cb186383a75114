"""Entry instances of a soak run, each in a process of its own."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import attrs
import trio

from fireflymux.http.client_connection import ConnectFailed

from .caller_exchange import exchange
from .overlaps import Overlap

#: Folder of the build in the work tree.
ROOT = Path(__file__).resolve().parent.parent
_READINESS_REQUEST = b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n'
_READINESS_TIMEOUT_SECONDS = 0.5
_OK = 200
_NANOSECONDS_PER_SECOND = 1e9
_SETTINGS = """[entry]
name = {name}
failure_domain = {failure_domain}
caller_address = {caller_address}
readiness_address = {readiness_address}
peer_host = {peer_host}
peer_advertised_host = {advertised_host}
peer_port = {peer_port}
seeds = {seeds}
store_address = {store_address}
shutdown_timeout_seconds = 8
retry_constant = {retry_constant}
metrics_address = {metrics_address}
"""


@attrs.define(kw_only=True)
class InstanceProcess:
    """One entry instance and its current process; it can be restarted.

    Attributes:
        name: Name of the instance.
        failure_domain: Failure domain that it belongs to.
        caller_address: Address that callers connect to.
        readiness_address: Address of its readiness check.
        peer_host: IP address on which it listens for other instances.
        advertised_host: IP address of the proxies in front of `peer_host`, which other instances
            use.
        peer_port: Port for the traffic between instances, on both addresses.
        seeds: Addresses of the instances that it contacts first, separated by commas.
        store_address: Address at which it reaches the store; each instance has its own, so that
            an outage can be limited to one.
        folder: Folder for its settings file and its log.
        mutant: Variant of the program with one mechanism disabled, from `emulator.variants`; empty
            for the unchanged program.
        retry_constant: Retries allowed beside a share of the requests.
        metrics_address: Address of its metrics; empty for none.
        source_root: Folder of the build that it runs from its next start on, which has its `src`.
        incarnation: Number of starts so far.
        is_end_expected: Whether its process was sent a signal to end.
        is_paused: Whether a fault pauses its process.
        process: Process of the last start; None before the first one.
    """

    name: str
    failure_domain: str
    caller_address: str
    readiness_address: str
    peer_host: str
    advertised_host: str
    peer_port: int
    seeds: str
    store_address: str
    folder: Path
    mutant: str = ''
    retry_constant: int = 10
    metrics_address: str = ''
    source_root: Path = ROOT
    incarnation: int = 0
    is_end_expected: bool = False
    is_paused: Overlap[bool] = attrs.field(factory=lambda: Overlap(initial=False))
    process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether its process is running, or stopped by SIGSTOP."""
        return self.process is not None and self.process.poll() is None

    @property
    def log_path(self) -> Path:
        """File that receives the output of all its processes."""
        return self.folder / '{0}.log'.format(self.name)

    @property
    def run_delay_seconds(self) -> float:
        """Time for which its process has waited for a processor in all; zero if it has ended."""
        if self.process is None:
            return 0.0
        path = Path('/proc/{0}/schedstat'.format(self.process.pid))
        try:
            return int(path.read_text().split()[1]) / _NANOSECONDS_PER_SECOND
        except (OSError, IndexError):
            return 0.0

    def start(self) -> None:
        """Writes the settings file and starts a new process."""
        path = self.folder / '{0}.ini'.format(self.name)
        path.write_text(_SETTINGS.format(**attrs.asdict(self, recurse=False)))
        self.incarnation += 1
        self.is_end_expected = False
        program = ['emulator.variants', self.mutant] if self.mutant else ['fireflymux']
        with self.log_path.open('ab') as stream:
            self.process = subprocess.Popen(
                [sys.executable, '-m', *program, 'entry', str(path)],
                cwd=self.source_root,
                env=os.environ | {'PYTHONPATH': '{0}/src:{0}'.format(self.source_root)},
                stdout=stream,
                stderr=subprocess.STDOUT,
            )

    async def is_ready(self) -> bool:
        """Asks whether it is ready, as a load balancer does."""
        with trio.move_on_after(_READINESS_TIMEOUT_SECONDS):
            try:
                reply = await exchange(self.readiness_address, _READINESS_REQUEST)
            except (ConnectFailed, OSError):
                return False
            return reply.status == _OK
        return False

    def signal(self, signum: signal.Signals) -> None:
        """Sends a signal to its process, unless the process has ended."""
        if self.process is None or self.process.poll() is not None:
            return
        if signum in {signal.SIGKILL, signal.SIGTERM}:
            self.is_end_expected = True
        self.process.send_signal(signum)

    def kill(self) -> None:
        """Kills its process and waits until it has ended."""
        if self.process is None:
            return
        self.process.kill()
        self.process.wait()
