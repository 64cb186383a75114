"""Simulated endpoints that record what they run and fail on demand."""

import random

import attrs
import trio

from fireflymux.entry.listeners import Listener
from fireflymux.http.messages import HeaderFields, HttpLimits, Request, find_header
from fireflymux.http.response_writer import ResponseWriter

from .faulty_answers import EXTRAS, FLOOD, REFUSALS, FaultyAnswers
from .overlaps import Overlap

#: Requests that an endpoint runs at a time; it rejects further ones.
SLOTS = 8
_EVENT_INTERVAL_SECONDS = 0.02
#: Range of the time until the answer starts.
_WORK_SECONDS = (0.005, 0.04)
#: Probability that an endpoint in mode `grey` answers a request with an error.
_ERROR_PROBABILITY = 0.6
#: Probability that an endpoint in mode `faulty` breaks a stream off that it answers well otherwise.
_BREAK_PROBABILITY = 0.4
#: Probability that an endpoint in mode `flood` answers a request with bytes without end.
_FLOOD_PROBABILITY = 0.3
_OK = 200
_FAILED = 500
#: End of the identifiers of requests whose events are large, and the bytes added to each of these.
BIG_SUFFIX = '-big'
_BIG_EVENT_BYTES = 30000


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
    padding = 'x' * _BIG_EVENT_BYTES if attempt.endswith(BIG_SUFFIX) else ''
    return 'id: {0}\ndata: {1} {0}{2}\n\n'.format(number, attempt, padding).encode()


@attrs.define(kw_only=True)
class Arrival:
    """One request that an endpoint began to run.

    Attributes:
        attempt: Identifier of the caller's request (`X-Attempt-Id`).
        endpoint: Identifier of the endpoint.
        service: Service of the endpoint.
        account: Client account that the instance stated in the request.
        has_key: Whether the instance forwarded the caller's API key, which it must not.
        started_at: Time at which the endpoint began to run it.
        status: Status that the endpoint answered with its signature; zero for none.
        ended_at: Time at which the endpoint stopped running it; infinite until then.
    """

    attempt: str
    endpoint: str
    service: str
    account: str
    has_key: bool
    started_at: float
    status: int = 0
    ended_at: float = float('inf')


class FaultyEndpoint:
    """One endpoint, from its start to its end; a replacement is another object.

    Attributes:
        name: Identifier of the endpoint.
        modes: How it fails, in all ways that are set: 'grey' answers part of the requests with an error;
            'breaks' aborts the connection before or within the answer; 'faulty' draws one of many
            faults for each request; 'stutter' sends further answers beside sound ones.
        service: Name of the service that it belongs to.
    """

    def __init__(
        self, name: str, service: str, arrivals: list[Arrival], rng: random.Random
    ) -> None:
        """Creates an endpoint that does not listen yet.

        Args:
            name: Identifier of the endpoint.
            service: Name of the service that it belongs to.
            arrivals: Record to which its arrivals are added.
            rng: Random generator for its delays and errors.
        """
        self.name = name
        self.modes = Overlap('')
        self.service = service
        self._arrivals = arrivals
        self._rng = rng
        self._faults = FaultyAnswers(rng)
        self._running = 0
        self._scope = trio.CancelScope()
        self._closed = trio.Event()

    async def run(
        self, address: str, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves requests until it is cancelled or `crash` is called."""
        listener = Listener(address, self._respond, limits=HttpLimits, is_stopping=bool)
        try:
            with self._scope:
                await listener.run(task_status=task_status)
        finally:
            self._closed.set()

    async def crash(self) -> None:
        """Stops at once, and waits until its address and all connections are closed."""
        self._scope.cancel()
        await self._closed.wait()

    async def _respond(self, request: Request, writer: ResponseWriter) -> None:
        await self._faults.send_owed(writer)
        await self._handle_request(request, writer)

    async def _handle_request(self, request: Request, writer: ResponseWriter) -> None:
        attempt = find_header(request.fields, b'x-attempt-id')
        echo = (b'X-Attempt-Id', attempt)
        # The address may have been used by another endpoint when the request was sent.
        if find_header(request.fields, b'x-expect-instance') != self.name.encode():
            await writer.answer(421, [echo], b'')
            return
        if self._running >= SLOTS:
            await writer.answer(503, [echo, (b'X-Not-Executed', b'1')], b'')
            return
        fault = self._draw_fault(request)
        if fault in REFUSALS:
            await self._faults.refuse(fault, writer, attempt)
            return
        arrival = Arrival(
            attempt=attempt.decode(),
            endpoint=self.name,
            service=self.service,
            account=find_header(request.fields, b'x-tenant').decode(),
            has_key=bool(find_header(request.fields, b'authorization')),
            started_at=trio.current_time(),
        )
        self._arrivals.append(arrival)
        self._running += 1
        fields = [echo, (b'X-Server-Signature', self.name.encode())]
        try:
            await self._run_request(request, writer, fields, arrival, fault)
        finally:
            self._running -= 1
            arrival.ended_at = trio.current_time()

    def _draw_fault(self, request: Request) -> str:
        if self.modes.is_held('flood') and self._rng.random() < _FLOOD_PROBABILITY:
            return FLOOD
        if self.modes.is_held('faulty'):
            return self._faults.draw(
                is_resumed=bool(find_header(request.fields, b'last-event-id'))
            )
        return self._faults.draw_extra() if self.modes.is_held('stutter') else ''

    async def _run_request(
        self,
        request: Request,
        writer: ResponseWriter,
        fields: HeaderFields,
        arrival: Arrival,
        fault: str,
    ) -> None:
        await trio.sleep(self._rng.uniform(*_WORK_SECONDS))
        if fault and fault not in EXTRAS:
            arrival.status = self._faults.find_status(fault, request.method)
            await self._faults.fail(fault, writer, fields)
            return
        if self.modes.is_held('grey') and self._rng.random() < _ERROR_PROBABILITY:
            arrival.status = _FAILED
            await writer.answer(_FAILED, fields, b'failed')
            return
        arrival.status = _OK
        await self._answer(request, writer, fields, fault)

    async def _answer(
        self, request: Request, writer: ResponseWriter, fields: HeaderFields, extra: str
    ) -> None:
        await self._faults.send_before(extra, writer)
        await self._answer_soundly(request, writer, fields)
        if not writer.is_broken:
            await self._faults.send_after(extra, writer, fields)

    async def _answer_soundly(
        self, request: Request, writer: ResponseWriter, fields: HeaderFields
    ) -> None:
        event_count = int(request.content or b'0')
        if event_count and request.method != b'HEAD':
            await self._stream(request, writer, fields, event_count)
        elif self.modes.is_held('breaks'):
            writer.abort()
        else:
            await writer.answer(_OK, fields, expected_content(fields[0][1].decode(), 0))

    async def _stream(
        self, request: Request, writer: ResponseWriter, fields: HeaderFields, event_count: int
    ) -> None:
        attempt = fields[0][1].decode()
        after = find_header(request.fields, b'last-event-id')
        first = int(after) + 1 if after else 0
        break_before = self._draw_break(first, event_count)
        await writer.start(_OK, fields, b'')
        for number in range(first, event_count):
            event = _encode_event(attempt, number)
            if number == break_before:
                await self._faults.break_stream(writer, event)
                return
            await writer.send_chunk(event)
            await self._pause_stream(writer)
        await writer.end()

    async def _pause_stream(self, writer: ResponseWriter) -> None:
        await self._faults.send_owed_within(writer)
        await trio.sleep(_EVENT_INTERVAL_SECONDS)

    def _draw_break(self, first: int, event_count: int) -> int:
        """Draws the event at which a stream breaks off; -1 if it does not."""
        if self.modes.is_held('breaks'):
            return first + 1
        is_faulty = self.modes.is_held('faulty') and first < event_count
        if is_faulty and self._rng.random() < _BREAK_PROBABILITY:
            return self._rng.randrange(first, event_count)
        return -1
