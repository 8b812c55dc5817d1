"""Accepts a change: compiled, stored, then committed by one transaction.

Phases of one attempt:
1. Read the operation row: a repeated request finds its earlier outcome.
2. Read the head row and the head's snapshot.
3. Apply the edit and check the result whole.
4. Put the snapshot into the object store, named by its digest.
5. Commit head, version and operation rows, on condition that the head did not
   move and the operation is new.

A lost race starts again from phase 1. A lost answer is settled by phase 1 too:
the operation row exists exactly if the commit took effect, and since the
commit demands that it is absent, no request is ever committed twice.
"""

from __future__ import annotations

from datetime import UTC, datetime

import msgspec
from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.blackboard import AcceptedVersion, Board
from gypsumlock.controller import Backoff
from gypsumlock.distribution.payload import SnapshotReader
from gypsumlock.distribution.rows import (
    HEAD_KEY,
    Head,
    VersionRow,
    decode_version_row,
    operation_key,
    read_head,
    version_key,
)
from gypsumlock.logs import Component, get_logger
from gypsumlock.model import (
    Edit,
    Origin,
    Snapshot,
    VersionRef,
    check_snapshot,
    digest_of,
    encode_snapshot,
    next_snapshot,
)
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.store import Condition, Platform, Write

__all__ = ["Acceptor", "ChangeRequest"]

log = get_logger(Component.ACCEPT)

# Failures of the platform after which the outcome is still open.
_OPEN = frozenset({ResultCode.PLATFORM_UNREACHABLE})


class ChangeRequest:
    """One change as an operator asked for it."""

    __slots__ = ("author", "edit", "operation_id", "reason")

    def __init__(self, edit: Edit, author: str, reason: str, operation_id: str) -> None:
        self.edit = edit
        self.author = author
        self.reason = reason
        # Names the request; the same id is never committed twice.
        self.operation_id = operation_id


class Acceptor:
    """Commits changes of the configuration to the platform.

    Parameters
    ----------
    platform : Platform
        Table service and object store.
    reader : SnapshotReader
        Where the head's snapshot comes from.
    board : Board
        Learns of each version that is committed here.
    """

    __slots__ = ("_board", "_platform", "_reader")

    def __init__(
        self, platform: Platform, reader: SnapshotReader, board: Board
    ) -> None:
        self._platform = platform
        self._reader = reader
        self._board = board

    async def accept(self, request: ChangeRequest) -> Result[VersionRef, list[Fault]]:
        """Commit one change, or say why not.

        Returns
        -------
        Result[VersionRef, list[Fault]]
            The version that carries the change, or every fault found.
            `PLATFORM_OUTCOME_UNKNOWN` means that repeating the request with
            the same operation id will settle it.
        """
        backoff = Backoff()
        sent = False
        for _ in range(defaults.ACCEPT_ATTEMPTS):
            outcome = await self._attempt(request)
            if isinstance(outcome, Ok):
                return outcome
            first = outcome.err_value[0].code
            if first is ResultCode.PLATFORM_OUTCOME_UNKNOWN:
                sent = True
            elif first is ResultCode.PLATFORM_CONDITION_FAILED:
                log.info("head moved, trying again", operation=request.operation_id)
            elif first not in _OPEN or not sent:
                return outcome
            await backoff.wait()
        return Err([_given_up(request, sent)])

    async def _attempt(self, request: ChangeRequest) -> Result[VersionRef, list[Fault]]:
        earlier = await self._earlier_outcome(request.operation_id)
        if isinstance(earlier, Err):
            return Err([earlier.err_value])
        if earlier.ok_value is not None:
            return Ok(earlier.ok_value)
        head = await read_head(self._platform)
        if isinstance(head, Err):
            return Err([head.err_value])
        current = await self._reader.read(head.ok_value.ref)
        if isinstance(current, Err):
            return Err([current.err_value])
        successor = _successor(current.ok_value, request)
        if isinstance(successor, Err):
            return successor
        return await self._commit(successor.ok_value, head.ok_value)

    async def _earlier_outcome(
        self, operation_id: str
    ) -> Result[VersionRef | None, Fault]:
        row = await self._platform.get(operation_key(operation_id))
        if isinstance(row, Err):
            return row
        if row.ok_value is None:
            return Ok(None)
        return decode_version_row(row.ok_value).map(lambda found: found.ref())

    async def _commit(
        self, snapshot: Snapshot, head: Head
    ) -> Result[VersionRef, list[Fault]]:
        payload = encode_snapshot(snapshot)
        ref = VersionRef(snapshot.version, digest_of(payload))
        # Read only for a version that is the head, so not before it is committed.
        self._board.accepted.write(AcceptedVersion(ref, payload))
        stored = await self._platform.put(ref.digest.hex(), payload)
        if isinstance(stored, Err):
            return Err([stored.err_value])
        operation = operation_key(snapshot.origin.operation_id)
        row = VersionRow(
            ref.version, ref.digest.hex(), snapshot.parent, snapshot.origin
        )
        value = msgspec.json.encode(row).decode()
        committed = await self._platform.transact(
            [Condition(HEAD_KEY, head.revision), Condition(operation, None)],
            [
                Write(HEAD_KEY, value),
                Write(version_key(ref.version), value),
                Write(operation, value),
            ],
        )
        if isinstance(committed, Err):
            return Err([_open_outcome(committed.err_value)])
        log.info(
            "version accepted",
            version=ref.version,
            digest=ref.digest.hex()[:12],
            author=snapshot.origin.author,
            change=snapshot.origin.summary,
        )
        return Ok(ref)


def _successor(
    current: Snapshot, request: ChangeRequest
) -> Result[Snapshot, list[Fault]]:
    """Apply and check a change; pure but for the time of acceptance."""
    origin = Origin(
        author=request.author,
        reason=request.reason,
        accepted_at=datetime.now(UTC).isoformat(timespec="milliseconds"),
        operation_id=request.operation_id,
        summary=request.edit.summary(),
    )
    edited = next_snapshot(current, request.edit, origin)
    if isinstance(edited, Err):
        return Err([edited.err_value])
    faults = check_snapshot(edited.ok_value)
    if faults:
        return Err(faults)
    if len(encode_snapshot(edited.ok_value)) > defaults.MAX_SNAPSHOT_BYTES:
        found = f"the snapshot is larger than {defaults.MAX_SNAPSHOT_BYTES} bytes"
        return Err([Fault(ResultCode.CONFIG_OUT_OF_RANGE, found)])
    return Ok(edited.ok_value)


def _open_outcome(fault: Fault) -> Fault:
    """Tell a commit that may have taken effect from one that did not."""
    if fault.code in _OPEN:
        return Fault(ResultCode.PLATFORM_OUTCOME_UNKNOWN, fault.detail)
    return fault


def _given_up(request: ChangeRequest, sent: bool) -> Fault:
    if sent:
        found = (
            "the platform did not say whether the change took effect; "
            f"repeat it with operation id {request.operation_id}"
        )
        return Fault(ResultCode.PLATFORM_OUTCOME_UNKNOWN, found)
    found = f"the head moved {defaults.ACCEPT_ATTEMPTS} times meanwhile"
    return Fault(ResultCode.CONFIG_TOO_BUSY, found)
