"""Connections to simulated engines, which replace those of the package `http`."""

from collections.abc import Callable, Mapping

from ..http.byte_budget import ByteBudget, HeldBytes
from ..http.messages import HeaderFields, ResponseHead
from ..http.response_parser import IncomingResponse
from ..platform.call_headers import build_endpoint_response_headers, find_fetch_host
from .engine import EngineRun, SimulatedEngine
from .load import Prompt

_OK = 200
_EVENT = b'data: tokens\n\n'


class EngineConnection:
    """Connection that carries one request at a time; the counterpart of `ClientConnection`."""

    def __init__(
        self,
        engines: Mapping[str, SimulatedEngine],
        endpoint: str,
        prompts: Mapping[bytes, Prompt],
    ) -> None:
        """Creates a connection without a request.

        Args:
            engines: Engines by identifier, which is the host of their address, too.
            endpoint: Identifier of the engine.
            prompts: Prompts by request target.
        """
        self._engine = engines[endpoint]
        self._engines = engines
        self._endpoint = endpoint
        self._prompts = prompts
        self._attempt = b''
        self._run: EngineRun | None = None
        self._seen_events = 0

    def close(self) -> None:
        """Cancels the request."""
        if self._run is not None:
            self._engine.cancel(self._run)

    def hold(self, give_up: Callable[[], None]) -> HeldBytes:
        """Returns an account without a bound, since no bytes are received."""
        return ByteBudget().open('', give_up)

    def keep(self, size: int) -> None:
        """Does nothing, since no bytes are received."""

    async def send(self, start_line: bytes, fields: HeaderFields, content: bytes) -> None:
        """Sends the request for the prompt that its target identifies."""
        prompt = self._prompts[start_line.split()[1]]
        self._attempt = prompt.attempt
        self._seen_events = 0
        source = find_fetch_host(fields)
        if source:
            await self._engine.fetch(prompt.parts, self._engines[source])
        self._run = self._engine.begin(prompt.parts, prompt.tokens, prompt.output_tokens)

    async def next_response(self) -> IncomingResponse:
        """Waits for the first event, and returns the head of the response."""
        if self._run is not None:
            await self._run.wait_for_event(0)
        fields = build_endpoint_response_headers(self._attempt, self._endpoint)
        return IncomingResponse(ResponseHead(status=_OK, fields=fields))

    @property
    def has_earlier_requests(self) -> bool:
        """Whether the connection carried other requests; always False."""
        return False

    async def next_body_part(self, response: IncomingResponse) -> bytes:
        """Waits for further events; returns an empty string after the last one."""
        run = self._run
        if run is None:
            return b''
        await run.wait_for_event(self._seen_events)
        chunk = _EVENT * (run.events - self._seen_events)
        self._seen_events = run.events
        return chunk

    async def read_full_body(self, response: IncomingResponse, maximum_bytes: int) -> bytes:
        """Waits for all events, and returns them."""
        content = b''
        while chunk := await self.next_body_part(response):
            content += chunk
        return content

    def drop(self, response: IncomingResponse) -> None:
        """Removes the complete response."""
        self._run = None


class EngineConnectionPool:
    """Unlimited connections to one engine; the counterpart of `ConnectionPool`.

    Attributes:
        maximum_idle_connections: Has no effect, since no connection is kept.
    """

    def __init__(
        self,
        engines: Mapping[str, SimulatedEngine],
        endpoint: str,
        prompts: Mapping[bytes, Prompt],
    ) -> None:
        """Creates a pool; the arguments are those of `EngineConnection`."""
        self.maximum_idle_connections = 0
        self._connection_arguments = (engines, endpoint, prompts)

    async def take(self, identifier: bytes) -> EngineConnection:
        """Opens a connection."""
        return EngineConnection(*self._connection_arguments)

    def release_connection(self, connection: EngineConnection, idle_seconds: float | None) -> None:
        """Does nothing, since no connection is kept."""

    def close_stale(self) -> None:
        """Does nothing, since no connection is kept."""

    def close(self) -> None:
        """Does nothing, since no connection is kept open."""
