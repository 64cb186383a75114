"""HTTP clients for the platform, for other processes of the fleet and for endpoints."""

import ssl
from http.cookiejar import CookieJar, DefaultCookiePolicy

import httpx

from .._settings_generated import FleetSettings, PlatformSettings, TlsSettings
from ..bounded_values import MAXIMUM_PORT
from .credentials import BEARER_PREFIX

_CONNECT_TIMEOUT_SECONDS = 1.0
#: Timeout of a short request to another process of the fleet, such as a heartbeat.
FLEET_REQUEST_TIMEOUT_SECONDS = 1.0
_UNLIMITED = httpx.Limits(max_connections=None, max_keepalive_connections=None)
_WITHOUT_KEEP_ALIVE = httpx.Limits(max_connections=None, max_keepalive_connections=0)


def is_process_url(address: str) -> bool:
    """Tells whether requests can be sent to an address, which another process may have written.

    Args:
        address: The address.

    Returns:
        Whether it is an HTTP URL with a host name and a port in the valid range.
    """
    try:
        url = httpx.URL(address)
        url.host.encode('idna')
    except (httpx.InvalidURL, UnicodeError):
        return False
    is_port_valid = url.port is None or 0 < url.port <= MAXIMUM_PORT
    return url.scheme in {'http', 'https'} and bool(url.host) and is_port_valid


def create_ssl_context(tls: TlsSettings) -> ssl.SSLContext:
    """Creates the context for verifying server certificates.

    Args:
        tls: Section [tls] of the settings.

    Returns:
        A context that trusts the configured CA file, or the system's CAs if there is none.
    """
    return ssl.create_default_context(cafile=tls.ca_file or None)


def _refuse_cookies() -> CookieJar:
    """Creates a jar that stays empty: all callers share a client, and its jar would mix them up."""
    return CookieJar(DefaultCookiePolicy(allowed_domains=()))


def create_platform_client(platform: PlatformSettings, tls: TlsSettings) -> httpx.AsyncClient:
    """Creates the client for the services of the platform.

    It opens a connection for each request: a response to a transaction names no transaction, so that
    what the platform wrote once more on a kept connection would be taken for the next one's.

    Args:
        platform: Section [platform] of the settings.
        tls: Section [tls] of the settings.

    Returns:
        The client, which sends the platform credential if there is one.
    """
    headers = {'Connection': 'close'}
    if platform.credential:
        headers['Authorization'] = BEARER_PREFIX + platform.credential
    return httpx.AsyncClient(
        verify=create_ssl_context(tls),
        timeout=platform.timeout_seconds,
        headers=headers,
        limits=_WITHOUT_KEEP_ALIVE,
        cookies=_refuse_cookies(),
        trust_env=False,
    )


class FleetClients:
    """HTTP clients for other processes of the fleet, one for each address.

    The connection pool of an HTTPX client scans all of its connections on every request. With
    one pool for all processes, each request would become slower with every open stream.
    """

    def __init__(self, fleet: FleetSettings, tls: TlsSettings) -> None:
        """Creates an empty set; each client is created when it is first used.

        Args:
            fleet: Section [fleet] of the settings, with the key that all requests carry.
            tls: Section [tls] of the settings.
        """
        self._fleet_key = fleet.key
        self._ssl_context = create_ssl_context(tls)
        self._clients: dict[str, httpx.AsyncClient] = {}

    def to(self, address: str) -> httpx.AsyncClient:
        """Returns the client for one process.

        Args:
            address: URL of the process.

        Returns:
            A client without a read timeout; callers set one for each request that needs it.

        Raises:
            UnsupportedProtocol: Requests cannot be sent to the address. It is an `HTTPError`, like
                the failure to send one.
        """
        client = self._clients.get(address)
        if client is None:
            if not is_process_url(address):
                raise httpx.UnsupportedProtocol('no URL of a process: {0!r}'.format(address))
            client = self._create_client()
            self._clients[address] = client
        return client

    async def close(self, address: str) -> None:
        """Closes all connections to a process and forgets its client.

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
            cookies=_refuse_cookies(),
            trust_env=False,
        )
        # No process of the fleet reads these headers, and they would enlarge every heartbeat.
        for name in ('Accept', 'Accept-Encoding', 'User-Agent', 'Connection'):
            client.headers.pop(name, None)
        return client


def create_endpoint_client(tls: TlsSettings) -> httpx.AsyncClient:
    """Creates a sidecar's client for its endpoint, which opens a connection for each request.

    On a kept connection, what the endpoint wrote after its previous response would be read as the
    response to the next request. The endpoint may also close such a connection just as the next
    request is sent, whose outcome would then be unknown.

    Args:
        tls: Section [tls] of the settings.

    Returns:
        A client without a read timeout, since a response may take long.
    """
    return httpx.AsyncClient(
        verify=create_ssl_context(tls),
        timeout=httpx.Timeout(None, connect=_CONNECT_TIMEOUT_SECONDS),
        headers={'Connection': 'close', 'Accept-Encoding': 'identity'},
        limits=_WITHOUT_KEEP_ALIVE,
        cookies=_refuse_cookies(),
        trust_env=False,
    )
