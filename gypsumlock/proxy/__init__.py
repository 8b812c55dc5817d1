"""The HTTP data path."""

from gypsumlock.proxy.app import CallApp
from gypsumlock.proxy.caller import CallerSide
from gypsumlock.proxy.context import CallContext, ContextSigner
from gypsumlock.proxy.owner import OwnerSide
from gypsumlock.proxy.pool import ConnectionPool, RawPool

__all__ = [
    "CallApp",
    "CallContext",
    "CallerSide",
    "ConnectionPool",
    "ContextSigner",
    "OwnerSide",
    "RawPool",
]
