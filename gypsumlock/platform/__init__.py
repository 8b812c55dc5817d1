"""The platform's table service and object store, and adapters for them."""

from gypsumlock.platform.http_client import HttpPlatform
from gypsumlock.platform.memory import MemoryPlatform
from gypsumlock.platform.services import (
    Condition,
    ObjectStore,
    Platform,
    Row,
    TableService,
    Write,
)

__all__ = [
    "Condition",
    "HttpPlatform",
    "MemoryPlatform",
    "ObjectStore",
    "Platform",
    "Row",
    "TableService",
    "Write",
]
