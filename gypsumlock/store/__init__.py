"""Interfaces of the platform's table service and object store, and their clients."""

from gypsumlock.store.http_client import HttpPlatform
from gypsumlock.store.memory import MemoryPlatform
from gypsumlock.store.services import (
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
