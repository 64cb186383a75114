"""Loopback proxies for connections and datagrams, which delay, silence, reset and lose."""

import socket
import struct
from collections.abc import Callable

import trio

_RECEIVE_BYTES = 65536
_BACKLOG = 256
#: Closing a socket with this option sends a reset.
_RESET = struct.pack('ii', 1, 0)


class TcpProxy:
    """A proxy of connections to one address.

    Attributes:
        delay_seconds: How long each piece is held.
        is_silent_up: Whether bytes towards the target are held back.
        is_silent_down: Whether bytes from the target are held back.
    """

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        """Prepares to listen.

        Args:
            host: IP address to listen on.
            port: Port to listen on; zero lets the kernel choose.
            target: Address that connections lead to.
        """
        self.delay_seconds = 0.0
        self.holds_upstream = False
        self.holds_downstream = False
        self._target = target
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, port))
        self._listener.listen(_BACKLOG)
        self._listener.setblocking(False)

    @property
    def address(self) -> str:
        """Address that the proxy listens on."""
        return '{0}:{1}'.format(*self._listener.getsockname())

    def reset(self) -> None:
        """Resets every open connection on both sides."""
        for pair in list(self._pairs):
            for raw in pair:
                _reset(raw)

    async def run(self) -> None:
        """Takes connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.lowlevel.wait_readable(self._listener)
                client_socket, _ = self._listener.accept()
                client_socket.setblocking(False)
                nursery.start_soon(self._relay_connection, client_socket)

    async def _relay_connection(self, client_socket: socket.socket) -> None:
        target_socket = socket.socket()
        target_socket.setblocking(False)
        pair = client_socket, target_socket
        self._pairs.add(pair)
        caller = trio.socket.from_stdlib_socket(client_socket)
        target = trio.socket.from_stdlib_socket(target_socket)
        try:
            await target.connect(self._target)
            for raw in pair:
                raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, caller, target, self._holds_upstream)
                nursery.start_soon(self._forward, target, caller, self._holds_downstream)
        except* OSError:
            for raw in pair:
                _reset(raw)
        finally:
            self._pairs.discard(pair)
            caller.close()
            target.close()

    def _holds_upstream(self) -> bool:
        return self.holds_upstream

    def _holds_downstream(self) -> bool:
        return self.holds_downstream

    async def _forward(
        self,
        source: trio.socket.SocketType,
        sink: trio.socket.SocketType,
        is_silent: Callable[[], bool],
    ) -> None:
        while True:
            content = await source.recv(_RECEIVE_BYTES)
            if self.delay_seconds:
                await trio.sleep(self.delay_seconds)
            while is_silent():
                await trio.sleep(0.02)
            if not content:
                sink.shutdown(socket.SHUT_WR)
                return
            view = memoryview(content)
            while view:
                view = view[await sink.send(view) :]


class UdpProxy:
    """A proxy of datagrams to one instance.

    Attributes:
        is_cut: Whether all datagrams are lost.
    """

    def __init__(self, host: str, target: str, port: int) -> None:
        """Listens.

        Args:
            host: IP address to listen on.
            target: IP address that datagrams lead to.
            port: Port on both.
        """
        self.drops_datagrams = False
        self._target = (target, port)
        self._socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._address = (host, port)

    async def run(self) -> None:
        """Hands datagrams on until cancelled."""
        await self._socket.bind(self._address)
        while True:
            try:
                content, _ = await self._socket.recvfrom(_RECEIVE_BYTES)
                if not self.drops_datagrams:
                    await self._socket.sendto(content, self._target)
            except OSError:
                # The instance is away: its port refused the datagram before.
                continue


def _reset(raw: socket.socket) -> None:
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        raw.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection has ended by itself.
        return
