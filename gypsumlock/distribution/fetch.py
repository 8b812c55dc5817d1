"""Turns a head that was heard of into a held version: fetch, verify, compile.

Phases for each new head:
1. Take the snapshot that this node committed itself, or ask the peers that hold
   it, then the object store.
2. Verify the digest and decode.
3. Compile for this node.
4. Write `held`, from which peers may fetch in turn.

Whatever fails leaves the held version and the one in force as they are. A
source that gives a corrupt or missing snapshot is passed over; a snapshot that
is intact but can't be compiled here is reported until a newer head comes.
"""

from __future__ import annotations

import random

from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.blackboard import Board, HeadSeen, HeldVersion
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
    internal_fault,
)
from gypsumlock.peering import PeerTransport
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.store import ObjectStore

__all__ = ["FetchController", "hold_version"]

log = get_logger(Component.CONFIG)

# Faults that another copy of the same snapshot can't mend.
_FINAL = frozenset({ResultCode.SNAPSHOT_UNDECODABLE, ResultCode.SNAPSHOT_INVALID})


def hold_version(
    payload: bytes, ref: VersionRef, node: NodeIdentity
) -> Result[HeldVersion, Fault]:
    """Verify, decode and compile an encoded snapshot for a node.

    Parameters
    ----------
    payload : bytes
        Canonical JSON of the snapshot.
    ref : VersionRef
        Version and digest that it must have.
    node : NodeIdentity
        Node that will run it.

    Returns
    -------
    Result[HeldVersion, Fault]
        The whole version, or the fault that keeps it from being held.
    """
    decoded = decode_snapshot(payload, ref)
    if isinstance(decoded, Err):
        return decoded
    policy = compile_policy(decoded.ok_value, node)
    if isinstance(policy, Err):
        return Err(internal_fault(policy.err_value))
    return Ok(HeldVersion(ref, decoded.ok_value, policy.ok_value, compress(payload)))


class FetchController(Controller):
    """Keeps `held` as new as `head`."""

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
            seen = self._board.head.read()
            held = self._board.held.read()
            if held is None or seen.ref.version > held.ref.version:
                await self._hold(seen)
            if self._board.head.revision == revision:
                await self._board.head.wait_past(revision)

    async def _hold(self, seen: HeadSeen) -> None:
        """Try until the version is held, is beyond help, or a newer one comes."""
        if seen.ref == EMPTY_REF and not self._source_has_none():
            return
        backoff = Backoff()
        while self._board.head.read().ref == seen.ref:
            outcome = await self._fetch(self._board.head.read())
            if isinstance(outcome, Ok):
                self._board.config_fault.write(None)
                self._board.held.write(outcome.ok_value)
                log.info("version held", version=seen.ref.version)
                return
            self._report(seen.ref, outcome.err_value)
            if outcome.err_value.code in _FINAL:
                return
            await backoff.wait()

    async def _fetch(self, seen: HeadSeen) -> Result[HeldVersion, Fault]:
        """Try the holders in random order, then the object store."""
        if seen.ref == EMPTY_REF:
            empty = encode_snapshot(EMPTY_SNAPSHOT)
            return hold_version(empty, EMPTY_REF, self._board.node)
        accepted = self._board.accepted.read()
        if accepted is not None and accepted.ref == seen.ref:
            return hold_version(accepted.payload, seen.ref, self._board.node)
        holders = list(seen.holders)
        random.shuffle(holders)
        for address in holders:
            outcome = await self._fetch_from_peer(address, seen.ref)
            if isinstance(outcome, Ok) or outcome.err_value.code in _FINAL:
                return outcome
            log.debug("peer gave no snapshot", peer=address)
        return await self._fetch_from_store(seen.ref)

    async def _fetch_from_peer(
        self, address: str, ref: VersionRef
    ) -> Result[HeldVersion, Fault]:
        payload = await self._transport.fetch(address, ref, defaults.PLATFORM_TIMEOUT_S)
        plain = payload.and_then(decompress)
        return plain.and_then(lambda p: hold_version(p, ref, self._board.node))

    async def _fetch_from_store(self, ref: VersionRef) -> Result[HeldVersion, Fault]:
        payload = await self._objects.fetch(ref.digest.hex())
        return payload.and_then(lambda p: hold_version(p, ref, self._board.node))

    def _source_has_none(self) -> bool:
        """Tell whether the source itself said that there is no version yet."""
        source = self._board.source.read()
        return source.reachable and source.head_version == 0

    def _report(self, ref: VersionRef, fault: Fault) -> None:
        if self._board.config_fault.read() != fault:
            log.warning("version not held", version=ref.version, fault=fault.text())
            self._board.config_fault.write(fault)
