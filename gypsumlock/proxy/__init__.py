"""The HTTP data path."""

from gypsumlock.proxy.app import CallApp
from gypsumlock.proxy.caller import OutboundProxy
from gypsumlock.proxy.context import CallContext, ContextSigner
from gypsumlock.proxy.owner import InboundProxy
from gypsumlock.proxy.pool import ConnectionPool, Http1ConnectionPool

__all__ = [
    "CallApp",
    "CallContext",
    "OutboundProxy",
    "ConnectionPool",
    "ContextSigner",
    "InboundProxy",
    "Http1ConnectionPool",
]
