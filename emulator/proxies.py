"""TCP and UDP proxies on loopback that inject network faults."""

import socket
import struct

import trio

from .overlaps import Overlap

_RECEIVE_BYTES = 65536
_BACKLOG = 256
#: Datagrams forwarded in a row before other tasks may run.
_DATAGRAMS_PER_TURN = 32
#: Value of SO_LINGER with which closing a socket sends a TCP reset.
_LINGER_RESET = struct.pack('ii', 1, 0)


class TcpProxy:
    """Forwards TCP connections to one address.

    Attributes:
        delay_seconds: Delay added to each block of bytes received, as faults set it.
        holds_upstream: Whether bytes towards the target are held back, as faults set it.
        holds_downstream: Whether bytes from the target are held back, as faults set it.
        refuses_all: Whether connection attempts hang, as at a machine that is cut off; faults set
            it.
    """

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        """Opens the listening socket; connections are accepted once `run` is called.

        Args:
            host: IP address to listen on.
            port: Port to listen on; zero lets the kernel choose.
            target: IP address and port to forward connections to.
        """
        self.delay_seconds = Overlap(0.0)
        self.holds_upstream = Overlap(initial=False)
        self.holds_downstream = Overlap(initial=False)
        self.refuses_all = Overlap(initial=False)
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
        """Resets all open connections, towards the client and towards the target."""
        for pair in list(self._pairs):
            for sock in pair:
                _reset(sock)

    async def run(self) -> None:
        """Accepts and forwards connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.lowlevel.wait_readable(self._listener)
                if self.refuses_all.current:
                    await self._hang_attempts()
                client_socket, _ = self._listener.accept()
                client_socket.setblocking(False)
                nursery.start_soon(self._relay_connection, client_socket)

    async def _hang_attempts(self) -> None:
        """Keeps the queue of new connections full, so that the kernel answers no attempt."""
        self._listener.listen(0)
        while self.refuses_all.current:
            await trio.sleep(0.02)
        self._listener.listen(_BACKLOG)

    async def _relay_connection(self, client_socket: socket.socket) -> None:
        target_socket = socket.socket()
        target_socket.setblocking(False)
        pair = client_socket, target_socket
        self._pairs.add(pair)
        client_stream = trio.socket.from_stdlib_socket(client_socket)
        target_stream = trio.socket.from_stdlib_socket(target_socket)
        try:
            await target_stream.connect(self._target)
            for sock in pair:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._forward_both(client_stream, target_stream)
        except* OSError:
            for sock in pair:
                _reset(sock)
        finally:
            self._pairs.discard(pair)
            client_stream.close()
            target_stream.close()

    async def _forward_both(
        self, client_stream: trio.socket.SocketType, target_stream: trio.socket.SocketType
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._forward, client_stream, target_stream, self.holds_upstream)
            nursery.start_soon(self._forward, target_stream, client_stream, self.holds_downstream)

    async def _forward(
        self,
        source: trio.socket.SocketType,
        sink: trio.socket.SocketType,
        is_held: Overlap[bool],
    ) -> None:
        while True:
            content = await source.recv(_RECEIVE_BYTES)
            if self.delay_seconds.current:
                await trio.sleep(self.delay_seconds.current)
            while is_held.current:
                await trio.sleep(0.02)
            if not content:
                sink.shutdown(socket.SHUT_WR)
                return
            view = memoryview(content)
            while view:
                view = view[await sink.send(view) :]


class UdpProxy:
    """Forwards datagrams to one instance.

    Attributes:
        drops_datagrams: Whether datagrams are dropped, as faults set it.
    """

    def __init__(self, host: str, target: str, port: int) -> None:
        """Creates a proxy that does not listen yet.

        Args:
            host: IP address to listen on.
            target: IP address to forward datagrams to.
            port: Port on both addresses.
        """
        self.drops_datagrams = Overlap(initial=False)
        self._target = (target, port)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._address = (host, port)

    async def run(self) -> None:
        """Listens and forwards datagrams until cancelled."""
        self._socket.bind(self._address)
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            for _ in range(_DATAGRAMS_PER_TURN):
                if not self._forward_one():
                    break

    def _forward_one(self) -> bool:
        """Forwards one datagram; returns whether there may be more."""
        try:
            content = self._socket.recv(_RECEIVE_BYTES)
            if not self.drops_datagrams.current:
                self._socket.sendto(content, self._target)
        except BlockingIOError:
            return False
        except OSError:
            # The instance is down: an earlier datagram was answered with "port unreachable".
            return True
        return True


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection was closed already.
        return
