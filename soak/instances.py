"""Entry instances of a soak, each a process of its own that signals reach."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import attrs

_ROOT = Path(__file__).resolve().parent.parent
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
retry_constant = 10
"""


@attrs.define(kw_only=True)
class InstanceProcess:
    """One instance, which may be started many times.

    Attributes:
        name: Its name.
        failure_domain: Where it is.
        caller_address: Where callers reach it.
        readiness_address: Where it says whether it is ready.
        peer_host: IP address that it hears others at.
        advertised_host: IP address of the proxy before that.
        peer_port: Port for other instances.
        seeds: Addresses of the others.
        store_address: Where it reaches the store.
        folder: Takes its settings and its log.
        mutant: Variant with one mechanism left out; empty for the product itself.
        incarnation: How often it was started.
        process: Its process; None before the first start.
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
    incarnation: int = 0
    process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def log_path(self) -> Path:
        """File that takes what it prints."""
        return self.folder / '{0}.log'.format(self.name)

    def start(self) -> None:
        """Starts its process."""
        path = self.folder / '{0}.ini'.format(self.name)
        path.write_text(_SETTINGS.format(**attrs.asdict(self, recurse=False)))
        self.incarnation += 1
        program = ['emulator.variants', self.mutant] if self.mutant else ['fireflymux']
        with self.log_path.open('ab') as stream:
            self.process = subprocess.Popen(
                [sys.executable, '-m', *program, 'entry', str(path)],
                cwd=_ROOT,
                env=os.environ | {'PYTHONPATH': '{0}/src:{0}'.format(_ROOT)},
                stdout=stream,
                stderr=subprocess.STDOUT,
            )

    def signal(self, signum: signal.Signals) -> None:
        """Sends a signal to its process, if that runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    def kill(self) -> None:
        """Ends its process at once."""
        if self.process is None:
            return
        self.process.kill()
        self.process.wait()
