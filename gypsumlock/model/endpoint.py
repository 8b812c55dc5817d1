"""Endpoints: callable upstreams, each reached through its owner node.

The owner node of an upstream is the node that runs beside it.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Endpoint", "NodeIdentity"]


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Identity and location of a node. The address identifies it across restarts."""

    # Address of the peer protocol, as `host:port`.
    address: str
    # Address that accepts calls, as `host:port`.
    call_address: str
    zone: str
    region: str
    # Name of the instance, as used in the selectors of exceptions.
    instance: str


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One upstream of a service, reached through its owner node."""

    service: str
    # Addresses of the owner node, as in `NodeIdentity`.
    node_address: str
    call_address: str
    zone: str
    region: str
    slots: int
    serving_since_s: float
    # True while the owner node is suspected to have failed.
    suspect: bool = False
