"""An emulated endpoint that ends whenever it begins to answer a request with a certain part.

All of its connections break when it ends. It starts again at the same address after a while, as
another incarnation of itself.
"""

from collections.abc import Callable

import attrs
import trio

from fireflymux.entry.listeners import Listener
from fireflymux.http.messages import HeaderFields, HttpLimits, Request, find_header
from fireflymux.http.response_writer import ResponseWriter

from .entry_fleet import EntryFleet, free_port

_EVENTS = 3
_EVENT_INTERVAL_SECONDS = 0.03
#: Time from the arrival of a request to the beginning of its answer.
_PREFILL_SECONDS = 0.03


@attrs.define(frozen=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        at: Time in seconds.
        attempt: Identifier of the caller's attempt.
        is_bad: Whether it has the part that ends endpoints.
    """

    at: float
    attempt: str
    is_bad: bool


class CrashingEndpoint:
    """One endpoint, with all that its incarnations received.

    Attributes:
        name: Identifier of the endpoint.
        arrivals: Requests that reached it.
        crashes: Times at which it ended, in seconds.
    """

    def __init__(
        self,
        name: str,
        address: str,
        bad_part: str,
        *,
        announce: Callable[[int], None],
        down_seconds: float,
    ) -> None:
        self.name = name
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []
        self._address = address
        self._bad_part = bad_part.encode()
        self._announce = announce
        self._down_seconds = down_seconds
        self._ended = trio.Event()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Runs one incarnation after the other until cancelled.

        Args:
            task_status: Is told when the first one listens.
        """
        started = task_status.started
        incarnation = 0
        while True:
            self._ended = trio.Event()
            async with trio.open_nursery() as nursery:
                listener = Listener(
                    self._address, self._respond, limits=HttpLimits, is_stopping=bool
                )
                await nursery.start(listener.run)
                incarnation += 1
                self._announce(incarnation)
                started()
                started = _ignore
                await self._ended.wait()
                nursery.cancel_scope.cancel()
            await trio.sleep(self._down_seconds)

    async def _respond(self, request: Request, writer: ResponseWriter) -> None:
        attempt = find_header(request.fields, b'x-attempt-id')
        prompt = find_header(request.fields, b'x-prompt-prefix')
        parts = [entry.partition(b':')[0].strip() for entry in prompt.split(b',')]
        is_bad = self._bad_part in parts
        self.arrivals.append(Arrival(trio.current_time(), attempt.decode(), is_bad))
        fields = [(b'X-Attempt-Id', attempt), (b'X-Server-Signature', self.name.encode())]
        await trio.sleep(_PREFILL_SECONDS)
        if is_bad:
            self.crashes.append(trio.current_time())
            self._ended.set()
            await trio.sleep_forever()
        after = int(find_header(request.fields, b'last-event-id') or b'0')
        await _stream(writer, fields, after)


async def _stream(writer: ResponseWriter, fields: HeaderFields, after: int) -> None:
    await writer.start(200, [*fields, (b'Content-Type', b'text/event-stream')], b'')
    for number in range(after + 1, _EVENTS + 1):
        await writer.send_chunk(b'id: %d\ndata: word\n\n' % number)
        await trio.sleep(_EVENT_INTERVAL_SECONDS)
    await writer.end()


def _ignore() -> None:
    """Tells nobody that a later incarnation listens."""


async def start_crashing_endpoints(
    fleet: EntryFleet,
    nursery: trio.Nursery,
    count: int,
    *,
    service: str,
    bad_part: str,
    down_seconds: float,
) -> list[CrashingEndpoint]:
    """Starts endpoints and announces them in the store of a fleet.

    Args:
        fleet: The fleet.
        nursery: Runs them.
        count: Number of endpoints.
        service: Service that they belong to.
        bad_part: Identifier of the part that ends them.
        down_seconds: Time until one that ended starts again.
    """
    endpoints = []
    for number in range(count):
        name = 'c{0}'.format(number)
        address = '127.0.0.1:{0}'.format(free_port())

        def announce(incarnation: int, name: str = name, address: str = address) -> None:
            born = 1700000000000 + incarnation
            fleet.announce(name, service, address, born=born, batch_slots=16)

        endpoint = CrashingEndpoint(
            name, address, bad_part, announce=announce, down_seconds=down_seconds
        )
        await nursery.start(endpoint.run)
        endpoints.append(endpoint)
    return endpoints
