"""HTTP clients of a process: to the platform, to other processes and to endpoints."""

import ssl

import httpx

from .._settings_generated import FleetSettings, PlatformSettings, TlsSettings
from .credentials import BEARER_PREFIX

_CONNECT_TIMEOUT_SECONDS = 1.0
LINK_TIMEOUT_SECONDS = 1.0
_UNLIMITED = httpx.Limits(max_connections=None, max_keepalive_connections=None)


def create_ssl_context(tls: TlsSettings) -> ssl.SSLContext:
    """Creates the context that verifies other processes.

    Args:
        tls: Section [tls].

    Returns:
        A context for the configured authority, or the default verification.
    """
    return ssl.create_default_context(cafile=tls.ca_file or None)


def create_platform_client(platform: PlatformSettings, tls: TlsSettings) -> httpx.AsyncClient:
    """Creates the client for the platform's services.

    Args:
        platform: Section [platform].
        tls: Section [tls].

    Returns:
        The client.
    """
    return httpx.AsyncClient(
        verify=create_ssl_context(tls),
        timeout=platform.timeout_seconds,
        headers={'Authorization': BEARER_PREFIX + platform.credential}
        if platform.credential
        else {},
        limits=_UNLIMITED,
        trust_env=False,
    )


class LinkClients:
    """HTTP clients for other processes of the system, one for each address.

    The connection pool of a client looks at all of its connections for each request, so one
    pool for all peers would cost more the more streams are open.
    """

    def __init__(self, fleet: FleetSettings, tls: TlsSettings) -> None:
        """Prepares clients that authenticate themselves.

        Args:
            fleet: Section [fleet].
            tls: Section [tls].
        """
        self._fleet_key = fleet.key
        self._ssl_context = create_ssl_context(tls)
        self._clients: dict[str, httpx.AsyncClient] = {}

    def to(self, address: str) -> httpx.AsyncClient:
        """Returns the client for one process.

        Args:
            address: URL of the process.

        Returns:
            A client whose streams have no read timeout of their own.
        """
        client = self._clients.get(address)
        if client is None:
            client = self._create_client()
            self._clients[address] = client
        return client

    async def close(self, address: str) -> None:
        """Closes the connections to a process that is gone.

        Args:
            address: URL of the process.
        """
        client = self._clients.pop(address, None)
        if client is not None:
            await client.aclose()

    def _create_client(self) -> httpx.AsyncClient:
        client = httpx.AsyncClient(
            verify=self._ssl_context,
            timeout=httpx.Timeout(None, connect=_CONNECT_TIMEOUT_SECONDS),
            headers={'Authorization': BEARER_PREFIX + self._fleet_key},
            limits=_UNLIMITED,
            trust_env=False,
        )
        # Every heartbeat would carry these, and no listener of the system reads them.
        for name in ('Accept', 'Accept-Encoding', 'User-Agent', 'Connection'):
            client.headers.pop(name, None)
        return client


def create_endpoint_client(tls: TlsSettings) -> httpx.AsyncClient:
    """Creates the client for the endpoint beside a sidecar.

    Args:
        tls: Section [tls].

    Returns:
        A client without read timeout.
    """
    return httpx.AsyncClient(
        verify=create_ssl_context(tls),
        timeout=httpx.Timeout(None, connect=_CONNECT_TIMEOUT_SECONDS),
        limits=_UNLIMITED,
        trust_env=False,
    )
