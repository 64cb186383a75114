"""HTTP clients of a process: to the platform, to other processes and to endpoints."""

import ssl

import httpx

from ._settings_generated import FleetSettings, PlatformSettings, TlsSettings
from .credentials import BEARER

_CONNECT_TIMEOUT_SECONDS = 1.0
LINK_TIMEOUT_SECONDS = 1.0
_UNLIMITED = httpx.Limits(max_connections=None, max_keepalive_connections=None)


def create_verify(tls: TlsSettings) -> ssl.SSLContext | bool:
    """Creates the context that verifies other processes.

    Args:
        tls: Section [tls].

    Returns:
        A context for the configured authority, or the default verification.
    """
    return ssl.create_default_context(cafile=tls.ca_file) if tls.ca_file else True


def create_platform_client(platform: PlatformSettings, tls: TlsSettings) -> httpx.AsyncClient:
    """Creates the client for the platform's services.

    Args:
        platform: Section [platform].
        tls: Section [tls].

    Returns:
        The client.
    """
    return httpx.AsyncClient(
        verify=create_verify(tls),
        timeout=platform.timeout_seconds,
        headers={'Authorization': BEARER + platform.credential} if platform.credential else {},
        limits=_UNLIMITED,
        trust_env=False,
    )


def create_link_client(fleet: FleetSettings, tls: TlsSettings) -> httpx.AsyncClient:
    """Creates the client for other processes of the system.

    Args:
        fleet: Section [fleet].
        tls: Section [tls].

    Returns:
        A client that authenticates itself; streams have no read timeout of their own.
    """
    client = httpx.AsyncClient(
        verify=create_verify(tls),
        timeout=httpx.Timeout(None, connect=_CONNECT_TIMEOUT_SECONDS),
        headers={'Authorization': BEARER + fleet.key},
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
        verify=create_verify(tls),
        timeout=httpx.Timeout(None, connect=_CONNECT_TIMEOUT_SECONDS),
        limits=_UNLIMITED,
        trust_env=False,
    )
