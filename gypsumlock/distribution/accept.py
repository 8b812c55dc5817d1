"""Accepts a change: checks it, stores its snapshot and commits it.

Phases of one attempt:
1. Read the operation row. For a repeated request it holds the earlier outcome.
2. Read the head row and the head's snapshot.
3. Apply the edit and check the resulting snapshot as a whole.
4. Put the snapshot into the object store, named by its digest.
5. Commit the head, version and operation rows in one transaction, on condition
   that the head has not moved and that the operation row does not exist.

An attempt that loses a race for the head is retried from phase 1. If the
response to a commit is lost, phase 1 of the next attempt determines the outcome:
the operation row exists if and only if the commit took effect, and because the
commit requires that the row is absent, no request is ever committed twice.
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

# Codes of platform failures after which a request may or may not have taken effect.
_UNKNOWN_OUTCOME_CODES = frozenset({ResultCode.PLATFORM_UNREACHABLE})


class ChangeRequest:
    """One change that an operator requested."""

    __slots__ = ("author", "edit", "operation_id", "reason")

    def __init__(self, edit: Edit, author: str, reason: str, operation_id: str) -> None:
        self.edit = edit
        self.author = author
        self.reason = reason
        # Identifies the request; the same id is never committed twice.
        self.operation_id = operation_id


class Acceptor:
    """Commits changes of the configuration to the platform.

    Parameters
    ----------
    platform : Platform
        Table service and object store.
    reader : SnapshotReader
        Reads the snapshot of the head.
    board : Board
        Receives each version that is committed by this node.
    """

    __slots__ = ("_board", "_platform", "_reader")

    def __init__(
        self, platform: Platform, reader: SnapshotReader, board: Board
    ) -> None:
        self._platform = platform
        self._reader = reader
        self._board = board

    async def accept(self, request: ChangeRequest) -> Result[VersionRef, list[Fault]]:
        """Commit one change, or return why it was not committed.

        Returns
        -------
        Result[VersionRef, list[Fault]]
            The version that carries the change, or every fault found.
            After `PLATFORM_OUTCOME_UNKNOWN`, repeating the request with the
            same operation id determines the outcome.
        """
        backoff = Backoff()
        outcome_unknown = False
        for _ in range(defaults.ACCEPT_ATTEMPTS):
            outcome = await self._attempt(request)
            if isinstance(outcome, Ok):
                return outcome
            code = outcome.err_value[0].code
            if code is ResultCode.PLATFORM_OUTCOME_UNKNOWN:
                outcome_unknown = True
            elif code is ResultCode.PLATFORM_CONDITION_FAILED:
                log.info("head moved, retrying", operation=request.operation_id)
            elif code not in _UNKNOWN_OUTCOME_CODES or not outcome_unknown:
                return outcome
            await backoff.wait()
        return Err([_attempts_exhausted(request, outcome_unknown)])

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
        successor = _make_successor(current.ok_value, request)
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
        return decode_version_row(row.ok_value).map(
            lambda version_row: version_row.ref()
        )

    async def _commit(
        self, snapshot: Snapshot, head: Head
    ) -> Result[VersionRef, list[Fault]]:
        payload = encode_snapshot(snapshot)
        ref = VersionRef(snapshot.version, digest_of(payload))
        # May be written before the commit: it is read only for the version that is
        # the head, and this version becomes the head only by the commit.
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
            return Err([_commit_fault(committed.err_value)])
        log.info(
            "version accepted",
            version=ref.version,
            digest=ref.digest.hex()[:12],
            author=snapshot.origin.author,
            change=snapshot.origin.summary,
        )
        return Ok(ref)


def _make_successor(
    current: Snapshot, request: ChangeRequest
) -> Result[Snapshot, list[Fault]]:
    """Apply and check a change; pure except for the time of acceptance."""
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
        detail = f"the snapshot is larger than {defaults.MAX_SNAPSHOT_BYTES} bytes"
        return Err([Fault(ResultCode.CONFIG_OUT_OF_RANGE, detail)])
    return Ok(edited.ok_value)


def _commit_fault(fault: Fault) -> Fault:
    """Report a fault as outcome unknown if the commit may have taken effect."""
    if fault.code in _UNKNOWN_OUTCOME_CODES:
        return Fault(ResultCode.PLATFORM_OUTCOME_UNKNOWN, fault.detail)
    return fault


def _attempts_exhausted(request: ChangeRequest, outcome_unknown: bool) -> Fault:
    if outcome_unknown:
        detail = (
            "the platform did not report whether the change took effect; "
            f"repeat the request with operation id {request.operation_id}"
        )
        return Fault(ResultCode.PLATFORM_OUTCOME_UNKNOWN, detail)
    detail = f"the head moved during each of {defaults.ACCEPT_ATTEMPTS} attempts"
    return Fault(ResultCode.CONFIG_TOO_BUSY, detail)
