"""An address that emulated endpoints use one after another."""

import attrs

from .faulty_endpoint import FaultyEndpoint
from .proxies import TcpProxy


@attrs.define(kw_only=True)
class EndpointHost:
    """An address that is used by one endpoint after another.

    Attributes:
        number: Index among the hosts of its testbed.
        address: IP address and port that the endpoint listens on.
        proxy: Proxy that instances connect to instead.
        endpoint: The current endpoint; None once it drains or has crashed, until its replacement
            starts.
    """

    number: int
    address: str
    proxy: TcpProxy
    endpoint: FaultyEndpoint | None = None

    @property
    def name(self) -> str:
        """Target under which disturbances of its address and proxy are recorded."""
        return 'host/{0}'.format(self.number)
