"""Fetches, verifies and compiles each new head, so that the node holds it.

Phases for each new head:
1. Take the snapshot that this node itself committed; otherwise fetch it from a
   peer that holds it, or else from the object store.
2. Verify the digest and decode the snapshot.
3. Compile it for this node.
4. Write `held`. From then on, peers may fetch the version from this node.

A failure in any phase leaves the held version and the version in force
unchanged. If a peer has no copy or a corrupt one, the next peer is tried, and
then the object store. A snapshot that is intact but can't be compiled by this
node is reported as a fault until there is a newer head.
"""

from __future__ import annotations

import random

from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.blackboard import Board, HeldVersion, KnownHead
from gypsumlock.controller import Backoff, Controller
from gypsumlock.distribution.payload import compress, decompress
from gypsumlock.logs import Component, get_logger
from gypsumlock.model import (
    EMPTY_REF,
    EMPTY_SNAPSHOT,
    NodeIdentity,
    VersionRef,
    compile_policy,
    decode_snapshot,
    encode_snapshot,
    invalid_snapshot_fault,
)
from gypsumlock.peering import PeerTransport
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.store import ObjectStore

__all__ = ["FetchController", "build_held_version"]

log = get_logger(Component.CONFIG)

# Codes of faults that another copy of the same snapshot would not resolve.
_PERMANENT_CODES = frozenset(
    {ResultCode.SNAPSHOT_UNDECODABLE, ResultCode.SNAPSHOT_INVALID}
)


def build_held_version(
    payload: bytes, ref: VersionRef, node: NodeIdentity
) -> Result[HeldVersion, Fault]:
    """Verify, decode and compile an encoded snapshot for a node.

    Parameters
    ----------
    payload : bytes
        Canonical JSON of the snapshot.
    ref : VersionRef
        Version and digest that the snapshot must have.
    node : NodeIdentity
        Node that will run it.

    Returns
    -------
    Result[HeldVersion, Fault]
        The version, or the fault that prevents the node from holding it.
    """
    decoded = decode_snapshot(payload, ref)
    if isinstance(decoded, Err):
        return decoded
    policy = compile_policy(decoded.ok_value, node)
    if isinstance(policy, Err):
        return Err(invalid_snapshot_fault(policy.err_value))
    return Ok(HeldVersion(ref, decoded.ok_value, policy.ok_value, compress(payload)))


class FetchController(Controller):
    """Keeps `held` up to date with `head`."""

    def __init__(
        self, board: Board, transport: PeerTransport, objects: ObjectStore
    ) -> None:
        self._board = board
        self._transport = transport
        self._objects = objects

    async def run(self) -> None:
        """Fetch each new head, until cancelled."""
        while True:
            revision = self._board.head.revision
            head = self._board.head.read()
            held = self._board.held.read()
            if held is None or head.ref.version > held.ref.version:
                await self._hold_head(head)
            if self._board.head.revision == revision:
                await self._board.head.wait_past(revision)

    async def _hold_head(self, head: KnownHead) -> None:
        """Retry until the version is held, fails permanently or is superseded."""
        if head.ref == EMPTY_REF and not self._source_is_empty():
            return
        backoff = Backoff()
        while self._board.head.read().ref == head.ref:
            outcome = await self._fetch(self._board.head.read())
            if isinstance(outcome, Ok):
                self._board.config_fault.write(None)
                self._board.held.write(outcome.ok_value)
                log.info("version held", version=head.ref.version)
                return
            self._report_fault(head.ref, outcome.err_value)
            if outcome.err_value.code in _PERMANENT_CODES:
                return
            await backoff.wait()

    async def _fetch(self, head: KnownHead) -> Result[HeldVersion, Fault]:
        """Fetch from the holders in random order, then from the object store."""
        if head.ref == EMPTY_REF:
            empty_payload = encode_snapshot(EMPTY_SNAPSHOT)
            return build_held_version(empty_payload, EMPTY_REF, self._board.node)
        accepted = self._board.accepted.read()
        if accepted is not None and accepted.ref == head.ref:
            return build_held_version(accepted.payload, head.ref, self._board.node)
        holders = list(head.holders)
        random.shuffle(holders)
        for address in holders:
            outcome = await self._fetch_from_peer(address, head.ref)
            if isinstance(outcome, Ok) or outcome.err_value.code in _PERMANENT_CODES:
                return outcome
            log.debug("fetch from peer failed", peer=address)
        return await self._fetch_from_store(head.ref)

    async def _fetch_from_peer(
        self, address: str, ref: VersionRef
    ) -> Result[HeldVersion, Fault]:
        payload = await self._transport.fetch(address, ref, defaults.PLATFORM_TIMEOUT_S)
        decompressed = payload.and_then(decompress)
        return decompressed.and_then(
            lambda data: build_held_version(data, ref, self._board.node)
        )

    async def _fetch_from_store(self, ref: VersionRef) -> Result[HeldVersion, Fault]:
        payload = await self._objects.fetch(ref.digest.hex())
        return payload.and_then(
            lambda data: build_held_version(data, ref, self._board.node)
        )

    def _source_is_empty(self) -> bool:
        """Return whether the source itself reported that there is no version yet."""
        source = self._board.source.read()
        return source.reachable and source.head_version == 0

    def _report_fault(self, ref: VersionRef, fault: Fault) -> None:
        if self._board.config_fault.read() != fault:
            log.warning("version not held", version=ref.version, fault=fault.text())
            self._board.config_fault.write(fault)
