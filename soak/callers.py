"""Simulated callers that reuse their connections and record each answer, read strictly.

Some pipeline requests, wait to be told to continue before they send a body, read slowly, ask by
HEAD or speak HTTP/1.0. They use an open connection until it ends or an answer states that it closes,
and some of them beyond that answer.
"""

import zlib

import trio

from emulator.caller_exchange import encode_call
from emulator.faulty_endpoint import BIG_SUFFIX
from emulator.instance_process import InstanceProcess
from emulator.strict_connection import ConnectionEnded, StrictConnection

from .history import Exchange
from .testbed import API_KEYS, PROBE_ACCOUNT, ROUTES, Testbed, probe_key

_REQUEST_TIMEOUT_SECONDS = 4.0
#: Range of the pause before each request.
_REQUEST_PAUSE_SECONDS = (0.01, 0.06)
#: Probability that a caller leaves its connection idle before its next request, and for how long.
_IDLE_PROBABILITY = 0.03
_IDLE_SECONDS = (0.3, 2.4)
#: Time between two probes of the configuration.
_PROBE_INTERVAL_SECONDS = 0.1
_CONNECT_TIMEOUT_SECONDS = 1.0
_DEADLINE_MS = 3000
#: Probability that a caller gives up on a resumable stream early.
_ABANDON_PROBABILITY = 0.08
#: Probability that a caller sends further requests before it reads the answer to the first.
_PIPELINE_PROBABILITY = 0.2
_MAXIMUM_PIPELINED = 3
#: Probability that the last of several requests is sent after the answer to the one before it, even
#: if that states that the connection closes.
_BEHIND_PROBABILITY = 0.5
#: Probabilities that a request is a HEAD request, and that a connection is one of HTTP/1.0.
_HEAD_PROBABILITY = 0.05
_HTTP10_PROBABILITY = 0.08
#: Probability that the last request of a caller's turn waits to be told to continue.
_EXPECT_PROBABILITY = 0.2
#: Time after the preceding answer until a caller sends its body without being told to.
_CONTINUE_SECONDS = 0.3
#: Probability that a connection is read slowly, and the largest number of events asked for on it.
_SLOW_PROBABILITY = 0.1
_SLOW_EVENT_COUNT = 4
#: Time that a caller waits for a connection to end after an answer that states it.
_CLOSE_SECONDS = 0.1
#: Kinds of requests; a kind that is listed twice is sent twice as often.
_RESUMABLE_KINDS = ('resumable', 'resumable', 'resumable_thrice', 'resumable_thrice')
_REQUEST_KINDS = ('unsafe', 'unsafe', 'safe', 'once', *_RESUMABLE_KINDS)
_STREAM_KINDS = frozenset(('once', 'resumable', 'resumable_thrice'))


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
        self._connection: StrictConnection | None = None
        self._instance = testbed.instances[0]
        self._incarnation = 0
        self._last_exchange: Exchange | None = None

    async def run(self) -> None:
        """Sends requests of all kinds until cancelled."""
        rng = self._testbed.rng
        while True:
            is_idle = rng.random() < _IDLE_PROBABILITY
            await trio.sleep(rng.uniform(*(_IDLE_SECONDS if is_idle else _REQUEST_PAUSE_SECONDS)))
            connection = await self._take_connection(
                is_slow=rng.random() < _SLOW_PROBABILITY,
                is_http10=rng.random() < _HTTP10_PROBABILITY,
            )
            if connection is None:
                continue
            count = 1
            if rng.random() < _PIPELINE_PROBABILITY and not connection.reader.is_http10:
                count = rng.randint(2, _MAXIMUM_PIPELINED)
            exchanges = [self._draw_exchange(is_slow=connection.is_slow) for _ in range(count)]
            timeout_seconds = _REQUEST_TIMEOUT_SECONDS
            may_abandon = count == 1 and exchanges[0].kind.startswith('resumable')
            if may_abandon and rng.random() < _ABANDON_PROBABILITY:
                timeout_seconds = rng.uniform(0.02, 0.2)
            await self._send_requests(
                connection,
                exchanges,
                timeout_seconds=timeout_seconds,
                expects_continue=rng.random() < _EXPECT_PROBABILITY,
                is_behind=count > 1 and rng.random() < _BEHIND_PROBABILITY,
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
                connection = await self._take_connection()
                if connection is not None:
                    probe = self._build_exchange('safe', PROBE_ACCOUNT, key_version=version)
                    await self._send_requests(connection, [probe])

    def _draw_exchange(self, *, is_slow: bool) -> Exchange:
        rng = self._testbed.rng
        kind = rng.choice(_REQUEST_KINDS)
        event_count = rng.randint(2, 12) if kind in _STREAM_KINDS else 0
        if is_slow:
            event_count = min(event_count, _SLOW_EVENT_COUNT)
        return self._build_exchange(
            kind,
            rng.choice(list(API_KEYS)),
            event_count=event_count,
            suffix=BIG_SUFFIX if is_slow else '',
            method='HEAD' if rng.random() < _HEAD_PROBABILITY else 'POST',
        )

    def _build_exchange(
        self,
        kind: str,
        account: str,
        *,
        event_count: int = 0,
        key_version: int = 0,
        suffix: str = '',
        method: str = 'POST',
    ) -> Exchange:
        self._requests_sent += 1
        return Exchange(
            attempt='{0}-{1}{2}'.format(self._name, self._requests_sent, suffix),
            kind=kind,
            account=account,
            key_version=key_version,
            instance=self._instance.name,
            incarnation=self._incarnation,
            sent_at=trio.current_time(),
            event_count=event_count,
            method=method,
        )

    async def _send_requests(
        self,
        connection: StrictConnection,
        exchanges: list[Exchange],
        *,
        timeout_seconds: float = _REQUEST_TIMEOUT_SECONDS,
        expects_continue: bool = False,
        is_behind: bool = False,
    ) -> None:
        """Sends requests in a row and records their answers; keeps the connection if it may."""
        exchanges[0].is_kept = connection.reader.answers_due > 0
        self._testbed.history.exchanges.extend(exchanges)
        self._connection = None
        is_kept = False
        paused_before = connection.paused_seconds
        scope = trio.move_on_after(timeout_seconds)
        try:
            with scope:
                is_kept = await _exchange(
                    connection,
                    exchanges,
                    expects_continue=expects_continue and not is_behind,
                    is_behind=is_behind,
                )
        finally:
            if not is_kept:
                connection.close()
            for exchange in exchanges:
                exchange.paused_seconds = connection.paused_seconds - paused_before
        self._last_exchange = exchanges[-1]
        if is_kept:
            self._connection = connection
        if not scope.cancelled_caught:
            return
        # Only a timeout below the default means that the caller gave up on purpose.
        for exchange in exchanges:
            if exchange.ended_at == float('inf') and timeout_seconds < _REQUEST_TIMEOUT_SECONDS:
                exchange.abandoned_at = trio.current_time()
            elif exchange.ended_at == float('inf'):
                exchange.ended_at = trio.current_time()

    async def _take_connection(self, **style: bool) -> StrictConnection | None:
        """Returns the open connection, or a new one if it has ended; None if none can be made."""
        connection = self._connection
        if connection is not None:
            if connection.receive_unrequested():
                return connection
            if self._last_exchange is not None:
                self._last_exchange.violation = connection.reader.violation
            connection.close()
            self._connection = None
        return await self._connect(**style)

    async def _connect(self, **style: bool) -> StrictConnection | None:
        instance = self._fixed_instance or self._choose_instance()
        if instance is None:
            return None
        host, _, port = instance.caller_address.rpartition(':')
        # Read before connecting, since the instance may restart meanwhile.
        incarnation = instance.incarnation
        try:
            connection = await StrictConnection.open(
                host, int(port), timeout_seconds=_CONNECT_TIMEOUT_SECONDS, **style
            )
        except (OSError, trio.TooSlowError):
            return None
        self._instance = instance
        self._incarnation = incarnation
        return connection

    def _choose_instance(self) -> InstanceProcess | None:
        testbed = self._testbed
        ready = [instance for instance in testbed.instances if instance.name in testbed.ready]
        return testbed.rng.choice(ready) if ready else None


async def _exchange(
    connection: StrictConnection,
    exchanges: list[Exchange],
    *,
    expects_continue: bool,
    is_behind: bool,
) -> bool:
    """Sends requests and records their answers; returns whether the connection can be reused."""
    reader = connection.reader
    first = len(reader.answers)
    last = exchanges[-1]
    version = '1.0' if reader.is_http10 else '1.1'
    expects_continue = expects_continue and last.event_count > 0 and not reader.is_http10
    heads = [_encode_request(exchange, version=version) for exchange in exchanges]
    reader.head_answers.update(
        number for number, item in enumerate(exchanges, first) if item.method == 'HEAD'
    )
    body = b''
    if expects_continue:
        heads[-1] = _encode_request(last, more='Expect: 100-continue')
        body = str(last.event_count).encode()
        heads[-1] = heads[-1].removesuffix(body)
        reader.continues_before = first + len(exchanges) - 1
    reader.answers_due += len(exchanges)
    behind = heads.pop() if is_behind else b''
    try:
        await connection.send(b''.join(heads))
        for number, exchange in enumerate(exchanges, first):
            if exchange is last and body:
                await connection.send_when_told(body, timeout_seconds=_CONTINUE_SECONDS)
                last.sent_at = trio.current_time()
            await _read_answer(connection, exchange, number)
            if behind and number + 1 == first + len(heads):
                last.sent_at = trio.current_time()
                await connection.send(behind)
            if reader.answers[number].closes:
                await connection.await_end(timeout_seconds=_CLOSE_SECONDS)
                exchange.violation = reader.violation
                break
    except ConnectionEnded:
        _mark_unanswered(connection, exchanges)
        return False
    _mark_unanswered(connection, exchanges)
    reader.continues_before = -1
    return last.is_complete and not reader.answers[-1].closes


def _encode_request(exchange: Exchange, *, more: str = '', version: str = '1.1') -> bytes:
    lines = [more] if more else []
    if exchange.kind == 'once':
        lines.append(_encode_prompt(exchange.attempt))
    key = probe_key(exchange.key_version) if exchange.key_version else API_KEYS[exchange.account]
    return encode_call(
        ROUTES[exchange.kind] + exchange.attempt,
        key=key,
        attempt=exchange.attempt,
        deadline_ms=_DEADLINE_MS,
        content=str(exchange.event_count).encode() if exchange.event_count else b'',
        method=exchange.method,
        more='\r\n'.join(lines),
        version=version,
    )


def _encode_prompt(attempt: str) -> str:
    """Returns the header lines of a prompt whose parts no other request has."""
    identifier = zlib.crc32(attempt.encode())
    return 'X-Token-Usage: 20,5\r\nX-Prompt-Prefix: {0:x}1:10,{0:x}2:10'.format(identifier)


async def _read_answer(connection: StrictConnection, exchange: Exchange, number: int) -> None:
    reader = connection.reader
    try:
        await connection.read_answer(number)
    except ConnectionEnded:
        exchange.violation = reader.violation
        exchange.ended_at = trio.current_time()
        raise
    finally:
        if len(reader.answers) > number:
            exchange.record_answer(reader.answers[number])
    exchange.ended_at = trio.current_time()


def _mark_unanswered(connection: StrictConnection, exchanges: list[Exchange]) -> None:
    """Marks requests without a complete answer: given up after a violation, or dropped.

    After a violation it is the caller that stops reading and closes the connection. Otherwise the
    requests behind one whose answer ended the connection were dropped.
    """
    now = trio.current_time()
    for exchange in exchanges:
        if connection.reader.violation and not exchange.is_complete:
            exchange.abandoned_at = now
        if exchange.ended_at == float('inf'):
            exchange.ended_at = now
            exchange.is_dropped = exchange is not exchanges[0]
        exchange.is_dropped = exchange.is_dropped and not connection.reader.violation
