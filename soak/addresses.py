"""Loopback addresses that belong to one soak, so that soaks beside each other never meet."""

import socket

_BLOCK_NUMBERS = range(16, 250)
_LOCK_PORT = 8000
CALLER_PORT = 8001
READINESS_PORT = 8002
PEER_PORT = 8003
STORE_PORT = 8004
ENDPOINT_PORT = 8005
_HOSTS_PER_SUBNET = 250


class AddressBlock:
    """A block of loopback addresses, reserved until the process ends."""

    def __init__(self) -> None:
        """Reserves the first block that no other soak holds."""
        for number in _BLOCK_NUMBERS:
            self._lock = socket.socket()
            try:
                self._lock.bind(('127.{0}.0.1'.format(number), _LOCK_PORT))
            except OSError:
                self._lock.close()
                continue
            self._number = number
            return
        raise RuntimeError('every block of loopback addresses is taken')

    def host(self, purpose: int, number: int) -> str:
        """Returns an IP address.

        Args:
            purpose: Number of what it is for, 1 to 50.
            number: Number among those, from zero.
        """
        subnet = 5 * purpose + number // _HOSTS_PER_SUBNET
        return '127.{0}.{1}.{2}'.format(self._number, subnet, 1 + number % _HOSTS_PER_SUBNET)
