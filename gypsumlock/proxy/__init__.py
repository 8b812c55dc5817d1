"""The HTTP data path."""

from gypsumlock.proxy.app import CallApp
from gypsumlock.proxy.caller import OutboundProxy
from gypsumlock.proxy.context import CallContext, ContextSigner
from gypsumlock.proxy.owner import OwnerSide
from gypsumlock.proxy.pool import ConnectionPool, Http1ConnectionPool

__all__ = [
    "CallApp",
    "CallContext",
    "OutboundProxy",
    "ConnectionPool",
    "ContextSigner",
    "OwnerSide",
    "Http1ConnectionPool",
]
