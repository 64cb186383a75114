"""Starts a fleet of separate processes on loopback, for the demo, tests and benchmarks.

`Fleet` emulates the process scheduler of the platform: it starts processes, registers them in the
live list, and ends them. It signals only processes that it started.
"""

import configparser
import os
import signal
import ssl
import subprocess
import sys
import tempfile
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import httpx
import orjson

from .contract_rows import build_contract_puts
from .process import Process, find_addresses, wait_until

FLEET_KEY = 'development-fleet-key'
PLATFORM_CREDENTIAL = 'development-platform-credential'
_START_TIMEOUT_SECONDS = 30.0
_STOP_TIMEOUT_SECONDS = 10.0
#: Timeout of one call of an operator's command to the platform.
_OPERATOR_PLATFORM_TIMEOUT_SECONDS = 20.0


class Fleet:
    """Processes of one fleet; a context manager that ends them.

    Attributes:
        folder: Temporary folder for settings, logs and traces.
        processes: Started processes, by name.
        client: HTTP client for the platform and the processes.
        listen_port: TCP port in the settings of the next process; zero lets the kernel choose.
        source_root: Folder of the build that the next router, sidecar or operator's command runs,
            which has its `src`; None for the installed one.
    """

    def __init__(
        self, *, settings: Mapping[str, Mapping[str, Any]] | None = None, variant: str = ''
    ) -> None:
        """Prepares a fleet without processes.

        Args:
            settings: Settings by section that replace the defaults in every process.
            variant: Variant from `emulator.variants` that routers and sidecars run; empty for the
                unpatched program.
        """
        self._variant = variant
        self.folder = Path(tempfile.mkdtemp(prefix='fireflymux-'))
        self.processes: dict[str, Process] = {}
        ca_file = (settings or {}).get('tls', {}).get('ca_file')
        verify = ssl.create_default_context(cafile=ca_file) if ca_file else True
        self.client = httpx.Client(timeout=30, trust_env=False, verify=verify)
        self._settings = settings or {}
        self._platform_url = ''
        self.listen_port: int | str = 0
        self.source_root: Path | None = None

    def __enter__(self) -> 'Fleet':
        """Returns the fleet."""
        return self

    def __exit__(self, *_details: object) -> None:
        """Ends every process."""
        self.close()

    @property
    def platform(self) -> str:
        """URL of the emulated platform."""
        return self._platform_url

    def close(self) -> None:
        """Kills every process that was started."""
        for process in self.processes.values():
            process.popen.send_signal(signal.SIGCONT)
            process.popen.kill()
        for process in self.processes.values():
            process.popen.wait(_STOP_TIMEOUT_SECONDS)
        self.client.close()

    def start_platform(self, *, live_lag: float = 0.2) -> None:
        """Starts the emulated platform."""
        arguments = [
            '-m',
            'emulator.platform',
            '--live-lag={0}'.format(live_lag),
            '--credential={0}'.format(PLATFORM_CREDENTIAL),
        ]
        self._platform_url = self._start('platform', arguments).address

    def start_engines(self, name: str, count: int, **options: Any) -> list[str]:
        """Starts engines in one process and returns their URLs."""
        return self._start_endpoints('emulator.engine', name, count, options)

    def start_services(self, name: str, count: int, **options: Any) -> list[str]:
        """Starts services in one process and returns their URLs."""
        return self._start_endpoints('emulator.service', name, count, options)

    def together(self, *starts: Callable[[], Any]) -> list[Any]:
        """Runs several start functions concurrently and returns their results in order."""
        with ThreadPoolExecutor(max_workers=len(starts)) as pool:
            return [future.result() for future in [pool.submit(start) for start in starts]]

    def start_naive_router(self, name: str, endpoints: Sequence[str]) -> Process:
        """Starts a naive router, which benchmarks use as the baseline."""
        arguments = ['-m', 'emulator.naive_router', '--endpoints={0}'.format(','.join(endpoints))]
        return self._start(name, arguments)

    def start_router(
        self,
        name: str,
        *,
        failure_domain: str = 'a',
        settings: Mapping[str, Any] | None = None,
    ) -> Process:
        """Starts a router and registers it in the live list."""
        sections = self._build_sections(name, failure_domain)
        sections['router'] = {**self._settings.get('router', {}), **(settings or {})}
        return self._start_role('router', name, sections, pool='')

    def start_sidecar(
        self,
        name: str,
        *,
        endpoint_url: str,
        pool: str,
        kind: str,
        slots: int,
        failure_domain: str = 'a',
        settings: Mapping[str, Any] | None = None,
    ) -> Process:
        """Starts a sidecar and registers it in the live list."""
        sections = self._build_sections(name, failure_domain)
        sections['sidecar'] = {
            'endpoint': name,
            'endpoint_url': endpoint_url,
            'pool': pool,
            'kind': kind,
            'slots': slots,
            **self._settings.get('sidecar', {}),
            **(settings or {}),
        }
        return self._start_role('sidecar', name, sections, pool=pool)

    def run_operator_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs a command of the operators' command line and returns the completed process."""
        section = {
            **self._platform_section(),
            'timeout_seconds': _OPERATOR_PLATFORM_TIMEOUT_SECONDS,
        }
        settings = self._write_settings('operator', {'platform': section})
        command = [sys.executable, '-m', 'fireflymux', *arguments, '--settings', str(settings)]
        return subprocess.run(
            command,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
            env=self._build_environment(),
        )

    def add_contract(self, account: str, *pools: str, **terms: Any) -> None:
        """Creates a contract with the operators' command; its secret is `secret`.

        Args:
            account: The client account.
            pools: Pools that the account may use.
            terms: Further options of the command.

        Raises:
            RuntimeError: The command failed.
        """
        self.add_contract_with_secret(account, 'secret', *pools, **terms)

    def add_contract_with_secret(
        self, account: str, secret: str, *pools: str, **terms: Any
    ) -> None:
        """Creates a contract with a secret of its own; see `add_contract`."""
        options = ['--{0}={1}'.format(name, term) for name, term in terms.items()]
        command = self.run_operator_command(
            'contract',
            'create',
            account,
            secret,
            ','.join(pools),
            *options,
        )
        if command.returncode:
            raise RuntimeError(command.stderr)

    def add_contracts(self, contracts: Sequence[Mapping[str, Any]]) -> None:
        """Writes contracts directly into the empty table, without the command line.

        Args:
            contracts: Fields of each contract that replace the defaults, which set no limit in
                practice.
        """
        puts = build_contract_puts(contracts)
        for start in range(0, len(puts), 100):
            self.client.post(
                self._platform_url + '/table/transactions',
                content=orjson.dumps({'puts': puts[start : start + 100]}),
                headers={'Authorization': 'Bearer ' + PLATFORM_CREDENTIAL},
            ).raise_for_status()

    def set_fault(self, service: str, mode: str, **options: Any) -> None:
        """Sets the fault of a service of the platform; see `emulator.platform.Fault`."""
        self.client.post(
            self._platform_url + '/faults',
            json={'service': service, 'mode': mode, **options},
        ).raise_for_status()

    def register_live(self, name: str, role: str, address: str, **options: Any) -> None:
        """Registers an instance in the live list."""
        entry = {
            'name': name,
            'role': role,
            'address': address,
            'failure_domain': 'a',
            **options,
        }
        self.client.put(
            '{0}/live/{1}'.format(self._platform_url, name),
            json=entry,
        ).raise_for_status()

    def unregister_live(self, name: str) -> None:
        """Removes an instance from the live list."""
        self.client.delete('{0}/live/{1}'.format(self._platform_url, name)).raise_for_status()

    def wait_ready(self, *, seconds: float = 20.0) -> None:
        """Waits until every process is ready and routers are connected to their sidecars.

        A router need not be connected to more sidecars than its reservation fanout.

        Raises:
            TimeoutError: A process is not ready or not connected in time.
        """
        # Only routers and sidecars have a settings file.
        role_processes = [
            item for item in self.processes.values() if (self.folder / item.name).exists()
        ]
        for process in role_processes:
            wait_until(
                lambda item=process: self._is_ready(item.address),
                seconds=seconds,
                what='{0} is not ready'.format(process.name),
            )
        sidecars = [item for item in role_processes if self._is_sidecar(item)]
        routers = [item for item in role_processes if item not in sidecars]
        fanout = self._settings.get('router', {}).get('reservation_fanout', len(sidecars))
        for router in routers:
            wait_until(
                lambda item=router: (
                    self._count_sidecar_up_events(item) >= min(len(sidecars), fanout)
                ),
                seconds=seconds,
                what='{0} is not connected to its sidecars'.format(router.name),
            )

    def metric(self, process: Process, name: str, **labels: str) -> float:
        """Sums the values of a metric of a process over all series with the given labels.

        Args:
            process: Process of a router or sidecar.
            name: Name of the metric without the prefix `fireflymux_`; every metric whose name
                begins with it counts.
            labels: Labels that the series must have.
        """
        text = self.client.get(process.address + '/metrics').text
        total = 0.0
        for line in text.splitlines():
            if not line.startswith('fireflymux_' + name):
                continue
            if all('{0}="{1}"'.format(key, item) in line for key, item in labels.items()):
                total += float(line.rpartition(' ')[2])
        return total

    def _is_sidecar(self, process: Process) -> bool:
        return '[sidecar]' in (self.folder / process.name).read_text()

    def _count_sidecar_up_events(self, process: Process) -> int:
        return process.log.read_text().count('"sidecar_up"')

    def _is_ready(self, address: str) -> bool:
        try:
            return self.client.get(address + '/ready').is_success
        except httpx.HTTPError:
            return False

    def _build_sections(self, name: str, failure_domain: str) -> dict[str, dict[str, Any]]:
        sections = {
            'instance': {
                'name': name,
                'failure_domain': failure_domain,
                'listen_host': '127.0.0.1',
                'listen_port': self.listen_port,
            },
            'fleet': {'key': FLEET_KEY},
            'platform': self._platform_section(),
            'tls': {},
            'observability': {'trace_file': str(self.folder / 'traces.jsonl')},
        }
        for section, items in self._settings.items():
            if section in sections:
                sections[section].update(items)
        return sections

    def _platform_section(self) -> dict[str, Any]:
        return {
            'table_url': self._platform_url + '/table',
            'object_url': self._platform_url + '/objects',
            'live_url': self._platform_url + '/live',
            'credential': PLATFORM_CREDENTIAL,
        }

    def _write_settings(self, name: str, sections: Mapping[str, Mapping[str, Any]]) -> Path:
        parser = configparser.ConfigParser(interpolation=None)
        for section, items in sections.items():
            parser[section] = {key: str(item) for key, item in items.items()}
        path = self.folder / name
        # Written aside and renamed, since a process that started earlier may be reading the file.
        with tempfile.NamedTemporaryFile(
            'w', encoding='utf-8', dir=self.folder, delete=False
        ) as stream:
            parser.write(stream)
        return Path(stream.name).replace(path)

    def _start_role(
        self,
        role: str,
        name: str,
        sections: Mapping[str, Mapping[str, Any]],
        *,
        pool: str,
    ) -> Process:
        path = self._write_settings(name, sections)
        program = ['emulator.variants', self._variant] if self._variant else ['fireflymux']
        process = self._start(name, ['-m', *program, role, str(path)])
        self.register_live(name, role, process.address, pool=pool)
        return process

    def _start_endpoints(
        self,
        module: str,
        name: str,
        count: int,
        options: Mapping[str, Any],
    ) -> list[str]:
        arguments = ['-m', module, '--count={0}'.format(count)]
        arguments += ['--{0}={1}'.format(key, item) for key, item in options.items()]
        return self._start(name, arguments).addresses

    def _start(self, name: str, arguments: Sequence[str]) -> Process:
        log = self.folder / (name + '.log')
        with log.open('wb') as stream:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=stream,
                stderr=subprocess.STDOUT,
                env=self._build_environment(),
            )
        process = Process(name, popen, log)
        self.processes[name] = process
        process.addresses = wait_until(
            lambda: find_addresses(process),
            seconds=_START_TIMEOUT_SECONDS,
            what='{0} did not start'.format(name),
        )
        return process

    def _build_environment(self) -> dict[str, str]:
        """Returns the environment in which Python runs the chosen build."""
        environment = {**os.environ, 'PYTHONUNBUFFERED': '1'}
        if self.source_root is not None:
            paths = [str(self.source_root / 'src'), os.environ.get('PYTHONPATH', '')]
            environment['PYTHONPATH'] = os.pathsep.join(filter(None, paths))
        return environment
