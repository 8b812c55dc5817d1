"""HTTP data path: routes calls between clients, nodes and upstreams."""

from gypsumlock.proxy.app import CallApp
from gypsumlock.proxy.caller import OutboundProxy
from gypsumlock.proxy.context import CallContext, ContextSigner
from gypsumlock.proxy.owner import InboundProxy
from gypsumlock.proxy.pool import ConnectionPool, Http1ConnectionPool

__all__ = [
    "CallApp",
    "CallContext",
    "ConnectionPool",
    "ContextSigner",
    "Http1ConnectionPool",
    "InboundProxy",
    "OutboundProxy",
]
