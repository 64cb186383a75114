"""Simulated callers that reuse their connections and record each answer."""

import trio

from emulator.entry_fleet import HOST
from fireflymux.http.client_connection import ClientConnection, ConnectFailed, ConnectionBroken
from fireflymux.http.messages import find_header

from .history import Exchange
from .instances import InstanceProcess
from .testbed import API_KEYS, PROBE_ACCOUNT, ROUTES, Testbed, probe_key

_REQUEST_TIMEOUT_SECONDS = 4.0
#: Range of the pause before each request.
_REQUEST_PAUSE_SECONDS = (0.01, 0.06)
#: Time between two probes of the configuration.
_PROBE_INTERVAL_SECONDS = 0.1
_CONNECT_TIMEOUT_SECONDS = 1.0
_DEADLINE_MS = 3000
#: Probability that a caller gives up on a resumable stream early.
_ABANDON_PROBABILITY = 0.08
#: Kinds of requests; a kind that is listed twice is sent twice as often.
_REQUEST_KINDS = ('unsafe', 'unsafe', 'safe', 'once', 'resumable', 'resumable')


class Caller:
    """One caller, with one connection at a time."""

    def __init__(
        self, testbed: Testbed, name: str, fixed_instance: InstanceProcess | None
    ) -> None:
        """Creates a caller without a connection.

        Args:
            testbed: Testbed of the run.
            name: Prefix of the identifiers of its requests; unique in the run.
            fixed_instance: The only instance that it connects to; None to choose a ready one at
                random for each connection.
        """
        self._testbed = testbed
        self._name = name
        self._fixed_instance = fixed_instance
        self._requests_sent = 0
        self._connection: ClientConnection | None = None
        self._instance = testbed.instances[0]
        self._incarnation = 0

    async def run(self) -> None:
        """Sends requests of all kinds until cancelled."""
        rng = self._testbed.rng
        while True:
            await trio.sleep(rng.uniform(*_REQUEST_PAUSE_SECONDS))
            kind = rng.choice(_REQUEST_KINDS)
            account = rng.choice(list(API_KEYS))
            event_count = rng.randint(2, 12) if kind in {'once', 'resumable'} else 0
            timeout_seconds = _REQUEST_TIMEOUT_SECONDS
            if kind == 'resumable' and rng.random() < _ABANDON_PROBABILITY:
                timeout_seconds = rng.uniform(0.02, 0.2)
            await self._send_request(
                kind,
                account,
                API_KEYS[account],
                event_count=event_count,
                timeout_seconds=timeout_seconds,
            )

    async def probe_configuration(self) -> None:
        """Probes which version of the configuration its instance has in force, until cancelled.

        Each version contains an API key of its own; requests are sent with the keys of the two
        newest versions.
        """
        config_accepted_at = self._testbed.history.config_accepted_at
        while True:
            await trio.sleep(_PROBE_INTERVAL_SECONDS)
            for version in sorted(config_accepted_at)[-2:]:
                await self._send_request(
                    'safe', PROBE_ACCOUNT, probe_key(version), key_version=version
                )

    async def _send_request(
        self,
        kind: str,
        account: str,
        key: str,
        *,
        event_count: int = 0,
        key_version: int = 0,
        timeout_seconds: float = _REQUEST_TIMEOUT_SECONDS,
    ) -> None:
        connection = self._connection or await self._connect()
        if connection is None:
            return
        self._requests_sent += 1
        exchange = Exchange(
            attempt='{0}-{1}'.format(self._name, self._requests_sent),
            kind=kind,
            account=account,
            key_version=key_version,
            instance=self._instance.name,
            incarnation=self._incarnation,
            sent_at=trio.current_time(),
            event_count=event_count,
        )
        self._testbed.history.exchanges.append(exchange)
        self._connection = None
        is_kept = False
        scope = trio.move_on_after(timeout_seconds)
        try:
            with scope:
                is_kept = await _exchange(connection, exchange, key)
        finally:
            if not is_kept:
                connection.close()
        now = trio.current_time()
        # Only a timeout below the default means that the caller gave up on purpose.
        if scope.cancelled_caught and timeout_seconds < _REQUEST_TIMEOUT_SECONDS:
            exchange.abandoned_at = now
        elif not scope.cancelled_caught:
            exchange.ended_at = now
        if is_kept:
            self._connection = connection

    async def _connect(self) -> ClientConnection | None:
        instance = self._fixed_instance or self._choose_instance()
        if instance is None:
            return None
        host, _, port = instance.caller_address.rpartition(':')
        # Read before connecting, since the instance may restart meanwhile.
        incarnation = instance.incarnation
        try:
            connection = await ClientConnection.open(
                host, int(port), timeout_seconds=_CONNECT_TIMEOUT_SECONDS
            )
        except ConnectFailed:
            return None
        self._instance = instance
        self._incarnation = incarnation
        return connection

    def _choose_instance(self) -> InstanceProcess | None:
        testbed = self._testbed
        ready = [instance for instance in testbed.instances if instance.name in testbed.ready]
        return testbed.rng.choice(ready) if ready else None


async def _exchange(connection: ClientConnection, exchange: Exchange, key: str) -> bool:
    """Sends a request and records its answer; returns whether the connection can be reused."""
    content = str(exchange.event_count).encode() if exchange.event_count else b''
    lines = {
        'Host': HOST,
        'X-Attempt-Id': exchange.attempt,
        'X-Deadline-Ms': _DEADLINE_MS,
        'Authorization': 'Token {0}'.format(key),
        'Content-Length': len(content),
    }
    path = ROUTES[exchange.kind] + exchange.attempt
    start_line = 'POST {0} HTTP/1.1'.format(path).encode()
    encoded = [(name.encode(), str(text).encode()) for name, text in lines.items()]
    try:
        await connection.send(start_line, encoded, content)
        answer = await connection.next_response()
        fields = answer.head.fields
        exchange.status = answer.head.status
        exchange.echoed_attempt = find_header(fields, b'x-attempt-id').decode()
        exchange.endpoint = find_header(fields, b'x-server-signature').decode()
        while piece := await connection.next_body_part(answer):
            exchange.content += piece
    except ConnectionBroken:
        return False
    exchange.is_complete = True
    connection.drop(answer)
    return connection.is_reusable
