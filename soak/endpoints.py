"""Simulated endpoints that record what they run and fail on demand."""

import random

import trio

from fireflymux.entry.listeners import Listener
from fireflymux.http.messages import HeaderFields, HttpLimits, Request, find_header
from fireflymux.http.response_writer import ResponseWriter

from .history import Arrival, History

#: Requests that an endpoint runs at a time; it rejects further ones.
SLOTS = 8
_EVENT_INTERVAL_SECONDS = 0.02
#: Range of the time until the answer starts.
_WORK_SECONDS = (0.005, 0.04)
#: Probability that an endpoint in mode `grey` answers a request with an error.
_ERROR_PROBABILITY = 0.6
_OK = 200


def expected_content(attempt: str, event_count: int) -> bytes:
    """Returns the body of a complete answer.

    Args:
        attempt: Identifier of the request.
        event_count: Number of events asked for; zero for an answer without events.
    """
    if not event_count:
        return b'done ' + attempt.encode()
    return b''.join(_encode_event(attempt, number) for number in range(event_count))


def _encode_event(attempt: str, number: int) -> bytes:
    return 'id: {0}\ndata: {1} {0}\n\n'.format(number, attempt).encode()


class SoakEndpoint:
    """One endpoint, from its start to its end; a replacement is another object.

    Attributes:
        name: Identifier of the endpoint.
        mode: How it fails: '' not at all; 'grey' answers part of the requests with an error;
            'breaks' aborts the connection before or within the answer.
        service: Name of the service that it belongs to.
    """

    def __init__(self, name: str, service: str, history: History, rng: random.Random) -> None:
        """Creates an endpoint that does not listen yet.

        Args:
            name: Identifier of the endpoint.
            service: Name of the service that it belongs to.
            history: Record to which its arrivals are added.
            rng: Random generator for its delays and errors.
        """
        self.name = name
        self.mode = ''
        self.service = service
        self._history = history
        self._rng = rng
        self._running = 0
        self._scope = trio.CancelScope()

    async def run(
        self, address: str, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves requests until it is cancelled or `crash` is called."""
        listener = Listener(address, self._respond, limits=HttpLimits, is_stopping=bool)
        with self._scope:
            await listener.run(task_status=task_status)

    def crash(self) -> None:
        """Stops at once and closes all connections."""
        self._scope.cancel()

    async def _respond(self, request: Request, writer: ResponseWriter) -> None:
        attempt = find_header(request.fields, b'x-attempt-id')
        echo = (b'X-Attempt-Id', attempt)
        # The address may have been used by another endpoint when the request was sent.
        if find_header(request.fields, b'x-expect-instance') != self.name.encode():
            await writer.answer(421, [echo], b'')
            return
        if self._running >= SLOTS:
            await writer.answer(503, [echo, (b'X-Not-Executed', b'1')], b'')
            return
        arrival = Arrival(
            attempt=attempt.decode(),
            endpoint=self.name,
            service=self.service,
            account=find_header(request.fields, b'x-tenant').decode(),
            has_key=bool(find_header(request.fields, b'authorization')),
            started_at=trio.current_time(),
        )
        self._history.arrivals.append(arrival)
        self._running += 1
        try:
            await self._answer(
                request, writer, [echo, (b'X-Server-Signature', self.name.encode())]
            )
        finally:
            self._running -= 1
            arrival.ended_at = trio.current_time()

    async def _answer(
        self, request: Request, writer: ResponseWriter, fields: HeaderFields
    ) -> None:
        attempt = fields[0][1].decode()
        await trio.sleep(self._rng.uniform(*_WORK_SECONDS))
        if self.mode == 'grey' and self._rng.random() < _ERROR_PROBABILITY:
            await writer.answer(500, fields, b'failed')
            return
        event_count = int(request.content or b'0')
        if not event_count:
            if self.mode == 'breaks':
                writer.abort()
                return
            await writer.answer(_OK, fields, expected_content(attempt, 0))
            return
        await self._stream(request, writer, fields, event_count)

    async def _stream(
        self, request: Request, writer: ResponseWriter, fields: HeaderFields, event_count: int
    ) -> None:
        attempt = fields[0][1].decode()
        after = find_header(request.fields, b'last-event-id')
        first = int(after) + 1 if after else 0
        await writer.start(_OK, fields, b'')
        for number in range(first, event_count):
            event = _encode_event(attempt, number)
            if self.mode == 'breaks' and number > first:
                await writer.send_chunk(event[:7])
                writer.abort()
                return
            await writer.send_chunk(event)
            await trio.sleep(_EVENT_INTERVAL_SECONDS)
        await writer.end()
