"""Sends requests to sidecars and reads their responses.

A sidecar keeps the response of each attempt for a while. If a transfer breaks, the router asks the
same sidecar for the rest of the response instead of sending the request again.
"""

import uuid
from collections.abc import AsyncIterator
from dataclasses import dataclass

import attrs
import httpx
import trio

from ..errors import CallFailure, ErrorKind, ExecutionStatus, from_problem
from ..messages import Problem, RunOrder
from ..observability.metrics import Metrics
from ..web.http_clients import FleetClients
from ..wire import codec, headers
from .backlog import Placement
from .peers import PeerDirectory
from .sidecar_peer import SidecarPeer

#: Transfers of one streamed response, resumed ones included, before it counts as cut off.
_MAXIMUM_TRANSFERS = 5
#: Timeout for resuming a response, long enough for a crashed sidecar to restart.
_RESUME_TIMEOUT_SECONDS = 5.0
_RESUME_DELAY_SECONDS = 0.3
#: Transient failures to resume a response, for example while the sidecar restarts.
_RETRIED_RESUME_FAILURES = frozenset((ErrorKind.outcome_unknown, ErrorKind.endpoint_unreachable))


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A response that was received to its end."""

    status: int
    content_type: str
    body: bytes
    headers: dict[str, str]


@attrs.define(eq=False)
class StreamedResponse:
    """A response whose body is still being received.

    Attributes:
        status: HTTP status code.
        content_type: Content type of the response.
        order: The run order that it responds to.
        placement: The sidecar that sends the response.
        response: Current HTTP response; replaced when the transfer is resumed.
        offset: Number of bytes received so far.
        last_bytes: The last bytes received, at most as many as the end marker of a stream has.
        failure: Why resuming the response failed. It stays None for a stream that is complete, but
            also for one that ended early because its transfers were used up or because the
            sidecar did not resume it as an event stream.
    """

    status: int
    content_type: str
    order: RunOrder
    placement: Placement
    response: httpx.Response
    offset: int = 0
    last_bytes: bytes = b''
    failure: CallFailure | None = None


class RunClient:
    """Sends run orders to sidecars, and resumes interrupted responses."""

    def __init__(
        self, fleet_clients: FleetClients, peers: PeerDirectory, metrics: Metrics
    ) -> None:
        """Creates a client.

        Args:
            fleet_clients: HTTP clients for the sidecars.
            peers: Sidecars whose failure ends their transfers.
            metrics: Metrics of the process.
        """
        self._fleet_clients = fleet_clients
        self._peers = peers
        self._metrics = metrics

    async def send_order(
        self,
        placement: Placement,
        order: RunOrder,
        body: bytes,
    ) -> BufferedResponse | StreamedResponse | CallFailure:
        """Sends a run order and waits for the head of an event stream or for the whole response.

        Args:
            placement: The sidecar.
            order: The run order.
            body: Body of the request.

        Returns:
            The complete response, or a stream if it is an event stream without a stated length, or
            why there is none.
        """
        request_headers = {
            headers.RUN_ORDER: codec.encode_header(order),
            headers.EXCHANGE: uuid.uuid4().hex,
            'Content-Type': order.content_type,
        }
        request = self._fleet_clients.to(placement.address).build_request(
            'POST',
            '{0}/v1/run'.format(placement.address),
            content=body,
            headers=headers.encode_headers(request_headers),
        )
        result = await self._send_request(placement, order, request)
        if isinstance(result, CallFailure) and result.kind is ErrorKind.outcome_unknown:
            # The request may be running, so the same sidecar is asked for the response first.
            return await self._reopen(placement, order, 0, result)
        return result

    async def read_stream(self, stream: StreamedResponse) -> AsyncIterator[bytes]:
        """Reads a stream to its end, resuming at the current offset if a transfer breaks.

        Args:
            stream: A stream returned by `send_order`.

        Yields:
            The chunks of the body without gaps or overlaps. Afterwards `is_complete` tells whether
            the stream is complete.
        """
        transfer_count = 0
        while True:
            async for chunk in self._read_transfer(stream):
                yield chunk
            transfer_count += 1
            if is_complete(stream) or transfer_count == _MAXIMUM_TRANSFERS:
                return
            result = await self._reopen(
                stream.placement,
                stream.order,
                stream.offset,
                CallFailure(ErrorKind.answer_cut, 'the transfer broke off'),
            )
            if isinstance(result, CallFailure):
                stream.failure = result
            if not isinstance(result, StreamedResponse):
                return
            stream.response = result.response

    async def cancel(self, placement: Placement, order: RunOrder) -> None:
        """Tells a sidecar that the response is no longer needed; failures are ignored.

        Args:
            placement: The sidecar.
            order: The run order to cancel.
        """
        url = '{0}/v1/runs/{1}/{2}'.format(placement.address, order.request, order.attempt)
        try:
            await self._fleet_clients.to(placement.address).delete(url, timeout=1)
        except httpx.HTTPError:
            return

    async def _read_transfer(self, stream: StreamedResponse) -> AsyncIterator[bytes]:
        peer = self._peers.find(stream.placement.address)
        chunks = stream.response.aiter_raw()
        try:
            while True:
                chunk = await self._next_chunk(chunks, peer)
                if not chunk:
                    return
                stream.offset += len(chunk)
                stream.last_bytes = (stream.last_bytes + chunk)[-len(headers.STREAM_END) :]
                yield chunk
        finally:
            with trio.CancelScope(shield=True):
                with trio.move_on_after(1):
                    await stream.response.aclose()

    async def _next_chunk(self, chunks: AsyncIterator[bytes], peer: SidecarPeer | None) -> bytes:
        """Returns the next chunk, empty at the end, on an error or if the sidecar goes down."""
        with _PeerTransferScope(peer):
            try:
                return await anext(chunks, b'')
            except httpx.HTTPError:
                return b''
        # Reached only if the scope was cancelled because the sidecar went down.
        return b''

    async def _reopen(
        self,
        placement: Placement,
        order: RunOrder,
        offset: int,
        failure: CallFailure,
    ) -> BufferedResponse | StreamedResponse | CallFailure:
        """Resumes a response: requests the rest of it until the sidecar sends it or time is up.

        Args:
            placement: The sidecar.
            order: The run order of the response.
            offset: Offset of the first byte to request.
            failure: Result if the sidecar reports that the response has expired, or if every
                request until the time is up fails with `outcome_unknown` or
                `endpoint_unreachable`.

        Returns:
            The response from the offset on, or `failure`, or any other failure that the sidecar
            reports.
        """
        url = '{0}/v1/runs/{1}/{2}/answer?offset={3}'.format(
            placement.address,
            order.request,
            order.attempt,
            offset,
        )
        run_order = codec.encode_header(order)
        deadline = trio.current_time() + _RESUME_TIMEOUT_SECONDS
        while trio.current_time() < deadline:
            request_headers = {headers.RUN_ORDER: run_order, headers.EXCHANGE: uuid.uuid4().hex}
            request = self._fleet_clients.to(placement.address).build_request(
                'GET', url, headers=request_headers
            )
            result = await self._send_request(placement, order, request)
            if not isinstance(result, CallFailure):
                self._metrics.resumes.inc({'result': 'resumed'})
                return result
            if result.kind is ErrorKind.answer_expired:
                break
            if result.kind not in _RETRIED_RESUME_FAILURES:
                return result
            await trio.sleep(_RESUME_DELAY_SECONDS)
        self._metrics.resumes.inc({'result': 'failed'})
        return failure

    async def _send_request(
        self,
        placement: Placement,
        order: RunOrder,
        request: httpx.Request,
    ) -> BufferedResponse | StreamedResponse | CallFailure:
        peer = self._peers.find(placement.address)
        with _PeerTransferScope(peer):
            try:
                return await self._read_response(placement, order, request)
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                return CallFailure(ErrorKind.endpoint_unreachable, repr(error))
            except httpx.HTTPError as error:
                return CallFailure(ErrorKind.outcome_unknown, repr(error))
        # Reached only if the scope was cancelled because the sidecar went down.
        return CallFailure(ErrorKind.outcome_unknown, 'the sidecar went down')

    async def _read_response(
        self,
        placement: Placement,
        order: RunOrder,
        request: httpx.Request,
    ) -> BufferedResponse | StreamedResponse | CallFailure:
        response = await self._fleet_clients.to(placement.address).send(request, stream=True)
        content_type = response.headers.get('Content-Type', '')
        if not _is_response_to(response, request, order):
            # The response is not read, so that its connection is closed.
            await response.aclose()
            return CallFailure(ErrorKind.outcome_unknown, 'the answer of another request arrived')
        if headers.REQUEST_ECHO not in response.headers:
            body = await response.aread()
            return _decode_problem(content_type, body)
        # Of events with a stated length, as plain services send them, the sidecar has the end: they
        # need no end marker.
        is_open_ended = 'Content-Length' not in response.headers
        if is_open_ended and content_type.startswith(headers.EVENT_STREAM):
            return StreamedResponse(response.status_code, content_type, order, placement, response)
        body = await response.aread()
        try:
            endpoint_headers = _decode_endpoint_headers(response)
        except codec.DecodeError as error:
            return CallFailure(ErrorKind.outcome_unknown, str(error))
        return BufferedResponse(response.status_code, content_type, body, endpoint_headers)


def _is_response_to(response: httpx.Response, request: httpx.Request, order: RunOrder) -> bool:
    """Tells whether a response is for a request, and not one that its connection carried before."""
    exchange = request.headers[headers.EXCHANGE]
    # Older sidecars state no exchange, and no echo in their errors.
    if response.headers.get(headers.EXCHANGE, exchange) != exchange:
        return False
    problem_echo = response.headers.get(headers.PROBLEM_ECHO, order.request)
    return response.headers.get(headers.REQUEST_ECHO, problem_echo) == order.request


def is_complete(stream: StreamedResponse) -> bool:
    """Tells whether a stream was received to its end.

    Args:
        stream: A stream that was read.

    Returns:
        Whether it ends with the end marker `data: [DONE]`.
    """
    return stream.last_bytes == headers.STREAM_END


def _decode_endpoint_headers(response: httpx.Response) -> dict[str, str]:
    text = response.headers.get(headers.ENDPOINT_HEADERS_HEADER, '{}')
    return codec.decode(text, dict[str, str])


def _decode_problem(content_type: str, body: bytes) -> CallFailure:
    if content_type != headers.PROBLEM_JSON:
        return CallFailure(
            ErrorKind.outcome_unknown,
            'the sidecar answered without its echo',
        )
    try:
        return from_problem(codec.decode(body, Problem))
    except (codec.DecodeError, ValueError) as error:
        return CallFailure(ErrorKind.outcome_unknown, str(error), ExecutionStatus.unknown)


class _PeerTransferScope:
    """Context manager that cancels its block when the sidecar goes down."""

    def __init__(self, peer: SidecarPeer | None) -> None:
        self._peer = peer
        self._scope = trio.CancelScope()

    def __enter__(self) -> None:
        if self._peer is not None:
            self._peer.transfer_scopes.add(self._scope)
        self._scope.__enter__()

    def __exit__(self, *details: object) -> bool | None:
        if self._peer is not None:
            self._peer.transfer_scopes.discard(self._scope)
        return self._scope.__exit__(*details)  # type: ignore[arg-type]
