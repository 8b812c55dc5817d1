"""Compresses snapshots, and reads them from the blackboard or the object store."""

from __future__ import annotations

import zlib

from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.blackboard import Board
from gypsumlock.model import (
    EMPTY_REF,
    EMPTY_SNAPSHOT,
    Snapshot,
    VersionRef,
    decode_snapshot,
)
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.store import ObjectStore

__all__ = ["SnapshotReader", "compress", "decompress"]


def compress(payload: bytes) -> bytes:
    """Compress an encoded snapshot for the transfer between nodes."""
    return zlib.compress(payload, level=6)


def decompress(payload: bytes) -> Result[bytes, Fault]:
    """Undo `compress`; reject a payload that exceeds the largest snapshot size."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(payload, defaults.MAX_SNAPSHOT_BYTES + 1)
    except zlib.error as error:
        return Err(Fault(ResultCode.SNAPSHOT_DIGEST_MISMATCH, str(error)))
    if len(decompressed) > defaults.MAX_SNAPSHOT_BYTES:
        detail = "the decompressed snapshot is larger than allowed"
        return Err(Fault(ResultCode.SNAPSHOT_DIGEST_MISMATCH, detail))
    return Ok(decompressed)


class SnapshotReader:
    """Reads snapshots by reference; the held one needs no request."""

    __slots__ = ("_board", "_objects")

    def __init__(self, board: Board, objects: ObjectStore) -> None:
        self._board = board
        self._objects = objects

    async def read(self, ref: VersionRef) -> Result[Snapshot, Fault]:
        """Return the snapshot that `ref` identifies."""
        if ref == EMPTY_REF:
            return Ok(EMPTY_SNAPSHOT)
        held = self._board.held.read()
        if held is not None and held.ref == ref:
            return Ok(held.snapshot)
        payload = await self._objects.fetch(ref.digest.hex())
        if isinstance(payload, Err):
            return payload
        return decode_snapshot(payload.ok_value, ref)
