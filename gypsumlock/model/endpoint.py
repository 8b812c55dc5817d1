"""An endpoint: one upstream that can be called, and the node beside it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Endpoint", "NodeIdentity"]


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Who a node is. Its address is its identity across restarts."""

    # Address for other nodes, as `host:port`.
    address: str
    # Address for calls, as `host:port`.
    call_address: str
    zone: str
    region: str
    # Name that exceptions select the instance by.
    instance: str


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One upstream of a service, reached through the node beside it."""

    service: str
    node_address: str
    call_address: str
    zone: str
    region: str
    slots: int
    serving_since_s: float
    # True while the node beside it is suspected to have failed.
    suspect: bool = False
