"""One process of a fleet on loopback: its log, its addresses, its signals."""

import signal
import subprocess
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import orjson


@attrs.define(eq=False)
class Process:
    """One process that the fleet started.

    Attributes:
        name: Name of the instance in the live list, and of its settings file.
        popen: The process.
        log: File that receives its standard output and standard error.
        addresses: URLs that it listens on.
    """

    name: str
    popen: subprocess.Popen[bytes]
    log: Path
    addresses: list[str] = attrs.field(factory=list)

    @property
    def address(self) -> str:
        """First URL that it listens on."""
        return self.addresses[0]

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes the process after `freeze`."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Ends the process with SIGKILL and waits for its end."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> None:
        """Asks the process to shut down with SIGTERM, without waiting."""
        self.popen.terminate()


def wait_until(condition: Callable[[], Any], *, seconds: float, what: str) -> Any:
    """Polls a condition until it holds.

    Args:
        condition: Returns a value that is true once the condition holds.
        seconds: Timeout.
        what: Message of the error at a timeout, which says what did not happen.

    Returns:
        The value of the condition.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.02)
    raise TimeoutError(what)


def find_addresses(process: Process) -> list[str]:
    """Returns the URLs in the log line `listening`; empty if it is not written yet.

    Raises:
        RuntimeError: The process has ended.
    """
    if process.popen.poll() is not None:
        raise RuntimeError(process.log.read_text())
    for line in process.log.read_text().splitlines():
        if '"listening"' not in line:
            continue
        message = orjson.loads(line)
        return message.get('addresses') or [message['address']]
    return []
