"""Sends calls to the endpoint beside the sidecar and buffers the responses.

The endpoint is either a model engine or a plain service. An engine keeps running a request
whose connection breaks, so its stream is resumed at the offset reached. A call to a plain
service is sent once.
"""

from collections.abc import Callable
from typing import Any

import httpx
import trio

from ..errors import CallFailure, ErrorKind, ExecutionStatus
from ..wire.headers import STREAM_END, encode_headers
from .endpoint_results import (
    BYTES_PER_TOKEN,
    ResponseTooLarge,
    build_head,
    count_completion_tokens,
    to_failure,
    to_oversized,
)
from .running_call import EndpointCall

REQUEST_ID_HEADER = 'X-Request-Id'
_EVENT_END = b'\n\n'
#: Largest body that is kept whole: that of a call to a plain service, or with a key.
_MAXIMUM_RESPONSE_BYTES = 33554432
#: Trace event that httpcore emits just before it writes the first byte of a request.
_SEND_STARTED = 'http11.send_request_headers.started'
_MAXIMUM_RESUME_ATTEMPTS = 3
_RESUME_DELAY_SECONDS = 0.2


class _SendRefused(Exception):
    """The admission check failed just before the call was sent."""

    def __init__(self, refused: CallFailure) -> None:
        super().__init__(refused.detail)
        self.refused = refused


class EndpointClient:
    """HTTP client for one endpoint.

    Admission is checked again just before a call is sent. If the process was paused after the
    first check, for example, its configuration may be out of date by then.
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        url: str,
        *,
        check: Callable[[], CallFailure | None],
        prompt_token_weight: float,
        cost_per_second: float,
        maximum_response_bytes: int = _MAXIMUM_RESPONSE_BYTES,
    ) -> None:
        """Creates a client for the endpoint at a URL.

        Args:
            client: HTTP client without a read timeout.
            url: Base URL of the endpoint.
            check: Checks admission (`check_admission`); returns why no call may be sent, or None.
            prompt_token_weight: Cost units for one prompt token.
            cost_per_second: Cost units for one second of a call to a plain service.
            maximum_response_bytes: Largest body that must be kept whole.
        """
        self._client = client
        self._url = url.rstrip('/')
        self._check_admission = check
        self._prompt_token_weight = prompt_token_weight
        self._cost_per_second = cost_per_second
        self._maximum_response_bytes = maximum_response_bytes

    async def call_service(self, call: EndpointCall) -> None:
        """Calls a plain service, without retries, and buffers its response.

        Args:
            call: The call, metered by its duration, also if it fails.
        """
        sent_at = trio.current_time()
        try:
            response = await self._client.send(self._build_request(call), stream=True)
            body = await self._read_body(response)
        except _SendRefused as refusal:
            call.buffer.finish(refusal.refused)
            return
        except ResponseTooLarge as error:
            call.buffer.finish(to_oversized(error))
            return
        except httpx.HTTPError as error:
            call.buffer.finish(to_failure(error, ErrorKind.outcome_unknown))
            return
        finally:
            elapsed = trio.current_time() - sent_at
            call.meter(elapsed * self._cost_per_second)
        call.observe_first_token(elapsed)
        call.buffer.publish_head(build_head(response))
        call.buffer.append(body)
        call.buffer.finish()

    async def call_engine(self, call: EndpointCall) -> None:
        """Calls a model engine and buffers its response, resuming an interrupted stream.

        Args:
            call: The call, metered by its prompt and generated tokens.
        """
        call.meter(len(call.body) / BYTES_PER_TOKEN * self._prompt_token_weight)
        request = self._build_request(call)
        failure = await self._send_and_receive(call, request, sent_at=trio.current_time())
        may_have_run = failure is not None and failure.outcome is not ExecutionStatus.no
        if may_have_run and call.is_resumable:
            # If the resume fails too, the first failure is the one that is reported.
            resume_failure = await self.resume_stream(call)
            failure = None if resume_failure is None else failure
        call.buffer.finish(failure)

    async def resume_stream(self, call: EndpointCall) -> CallFailure | None:
        """Reads the rest of the response to a request that the engine has already received.

        Args:
            call: The call; its buffer tells from which offset to resume.

        Returns:
            Why the response is incomplete, or None if it is complete.
        """
        failure: CallFailure | None = None
        for _ in range(_MAXIMUM_RESUME_ATTEMPTS):
            url = '{0}/v1/requests/{1}/stream?offset={2}'.format(
                self._url,
                call.endpoint_request_id,
                call.buffer.end_offset,
            )
            request = self._client.build_request('GET', url)
            failure = await self._send_and_receive(call, request, sent_at=None)
            if failure is None or failure.kind is ErrorKind.answer_expired:
                return failure
            await trio.sleep(_RESUME_DELAY_SECONDS)
        return failure

    async def cancel_request(self, call: EndpointCall) -> None:
        """Tells the engine to stop generating; a failure to reach it is ignored.

        Args:
            call: The call to cancel.
        """
        url = '{0}/v1/requests/{1}'.format(self._url, call.endpoint_request_id)
        try:
            await self._client.delete(url, timeout=1)
        except httpx.HTTPError:
            return

    async def _send_and_receive(
        self,
        call: EndpointCall,
        request: httpx.Request,
        *,
        sent_at: float | None,
    ) -> CallFailure | None:
        """Sends a request and appends its response to the buffer of the call.

        Args:
            call: The call.
            request: The request that starts the call or resumes its response.
            sent_at: Time at which the call starts, for the time to the first token; None if its
                response is resumed, for which that time is not observed.

        Returns:
            Why the response is incomplete, or None if it is complete.
        """
        try:
            response = await self._client.send(request, stream=True)
        except _SendRefused as refusal:
            return refusal.refused
        except httpx.HTTPError as error:
            return to_failure(error, ErrorKind.endpoint_crashed)
        try:
            return await self._read_response(call, response, sent_at=sent_at)
        except ResponseTooLarge as error:
            return to_oversized(error)
        except httpx.HTTPError as error:
            return CallFailure(ErrorKind.endpoint_crashed, repr(error))
        finally:
            await response.aclose()

    async def _read_response(
        self,
        call: EndpointCall,
        response: httpx.Response,
        *,
        sent_at: float | None,
    ) -> CallFailure | None:
        """Appends a response to the buffer of the call, and meters its tokens.

        A response to a resume request that has a status other than 200 or is no stream means that
        the stream is gone. For a first response, status 503 counts as `endpoint_unreachable`,
        that is as not run, and the endpoint backs off. Any other status from 500 on counts as a
        crash.
        """
        head = build_head(response)
        is_rest = head.status == httpx.codes.OK and head.is_stream
        if sent_at is None and not is_rest:
            return CallFailure(ErrorKind.answer_expired, 'the engine holds no such stream')
        echoed = response.headers.get(REQUEST_ID_HEADER, call.endpoint_request_id)
        if echoed != call.endpoint_request_id:
            return CallFailure(ErrorKind.answer_cut, 'the engine answered another request')
        if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            return CallFailure(ErrorKind.endpoint_unreachable, 'the engine takes no requests now')
        if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
            return CallFailure(
                ErrorKind.endpoint_crashed,
                'status {0}'.format(response.status_code),
            )
        call.buffer.publish_head(head)
        async for chunk in response.aiter_raw():
            if sent_at is not None:
                call.observe_first_token(trio.current_time() - sent_at)
                # Observes the time for the first chunk only.
                sent_at = None
            self._append(call, chunk)
            if head.is_stream:
                # Counts each event, whatever it holds, as one generated token, which costs one
                # unit. The end marker counts too; an event end split over two chunks does not.
                call.meter(chunk.count(_EVENT_END))
        if not head.is_stream:
            call.meter(count_completion_tokens(call.buffer.content))
            return None
        if call.buffer.ends_with(STREAM_END):
            return None
        return CallFailure(ErrorKind.endpoint_crashed, 'the stream ended early')

    def _append(self, call: EndpointCall, chunk: bytes) -> None:
        """Appends a part of a body to the buffer of the call.

        Raises:
            ResponseTooLarge: The body must be kept whole and is larger than it may be.
        """
        size = call.buffer.end_offset + len(chunk)
        # Of a call without a key, the buffer drops its oldest bytes.
        if call.order.idempotency_key and size > self._maximum_response_bytes:
            raise ResponseTooLarge(size)
        call.buffer.append(chunk)

    def _build_request(self, call: EndpointCall) -> httpx.Request:
        return self._client.build_request(
            call.order.method,
            self._url + call.order.path,
            content=call.body,
            headers=self._headers(call),
            extensions=self._extensions(call),
        )

    async def _read_body(self, response: httpx.Response) -> bytes:
        """Reads a body to its end and closes the response.

        Raises:
            ResponseTooLarge: It is larger than a response may be.
        """
        body = bytearray()
        try:
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > self._maximum_response_bytes:
                    raise ResponseTooLarge(len(body))
        finally:
            await response.aclose()
        return bytes(body)

    async def _check_before_send(self, event: str, _details: object) -> None:
        if event != _SEND_STARTED:
            return
        refused = self._check_admission()
        if refused is not None:
            raise _SendRefused(refused)

    def _extensions(self, call: EndpointCall) -> dict[str, Any]:
        # The client would shorten a path with dots, and cut it off at a number sign.
        target = httpx.URL(self._url).raw_path.rstrip(b'/') + call.order.path.encode('latin-1')
        return {'trace': self._check_before_send, 'target': target}

    def _headers(self, call: EndpointCall) -> list[tuple[bytes, bytes]]:
        headers = {
            **call.order.headers,
            'Content-Type': call.order.content_type,
            REQUEST_ID_HEADER: call.endpoint_request_id,
        }
        if call.order.idempotency_key:
            headers['Idempotency-Key'] = call.order.idempotency_key
        if call.order.traceparent:
            headers['traceparent'] = call.order.traceparent
        return encode_headers(headers)
