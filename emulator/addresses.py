"""Reserves loopback addresses for one soak run, so that concurrent runs do not collide."""

import socket

#: Candidates for the second octet of the addresses.
_BLOCK_NUMBERS = range(16, 250)
#: A run reserves its block by binding this port on the first address of the block.
_LOCK_PORT = 8000
CALLER_PORT = 8001
READINESS_PORT = 8002
PEER_PORT = 8003
STORE_PORT = 8004
ENDPOINT_PORT = 8005
_HOSTS_PER_SUBNET = 250


class AddressBlock:
    """The loopback addresses 127.N.0.0/16, reserved until the process ends."""

    def __init__(self) -> None:
        """Reserves the first block that no other run has reserved.

        Raises:
            RuntimeError: Every block is reserved.
        """
        for number in _BLOCK_NUMBERS:
            self._lock = socket.socket()
            try:
                self._lock.bind(('127.{0}.0.1'.format(number), _LOCK_PORT))
            except OSError:
                self._lock.close()
                continue
            self._number = number
            return
        raise RuntimeError('all blocks of loopback addresses are reserved by other soak runs')

    def host(self, purpose: int, number: int) -> str:
        """Returns an IP address of the block.

        Args:
            purpose: Number that stands for the use of the address, from 1 to 50.
            number: Index among the addresses for this purpose, from zero.
        """
        subnet = 5 * purpose + number // _HOSTS_PER_SUBNET
        return '127.{0}.{1}.{2}'.format(self._number, subnet, 1 + number % _HOSTS_PER_SUBNET)
