"""Requests of the operator API that change the configuration."""

from __future__ import annotations

from dataclasses import replace
from typing import TypeVar

from result import Err, Ok, Result

from gypsumlock.blackboard import Board
from gypsumlock.distribution import Acceptor, ChangeRequest, History
from gypsumlock.http_app import decode_body, read_body
from gypsumlock.logs import Component, get_logger
from gypsumlock.model import (
    AddException,
    Edit,
    EditException,
    RemoveException,
    ReplaceDefaults,
    RestoreVersion,
    SetDefault,
)
from gypsumlock.operator.messages import (
    ExceptionBody,
    LoadDefaultsBody,
    RemoveExceptionBody,
    RestoreBody,
    SetDefaultBody,
    VersionReport,
)
from gypsumlock.proxy.request import Receive
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["ChangeHandlers"]

log = get_logger(Component.OPERATOR)

T = TypeVar("T")

ChangeBody = (
    SetDefaultBody
    | LoadDefaultsBody
    | ExceptionBody
    | RemoveExceptionBody
    | RestoreBody
)


class ChangeHandlers:
    """Converts request bodies to edits and submits them to the acceptor."""

    __slots__ = ("_acceptor", "_board", "_history")

    def __init__(self, board: Board, acceptor: Acceptor, history: History) -> None:
        self._board = board
        self._acceptor = acceptor
        self._history = history

    async def set_default(self, receive: Receive) -> Result[object, list[Fault]]:
        """Set one default."""
        decoded = await _read_typed_body(receive, SetDefaultBody)
        if isinstance(decoded, Err):
            return decoded
        body = decoded.ok_value
        return await self._submit(
            SetDefault(body.path, body.value, body.base_revision), body
        )

    async def load_defaults(self, receive: Receive) -> Result[object, list[Fault]]:
        """Replace all defaults."""
        decoded = await _read_typed_body(receive, LoadDefaultsBody)
        if isinstance(decoded, Err):
            return decoded
        body = decoded.ok_value
        return await self._submit(
            ReplaceDefaults(body.document, body.base_revision), body
        )

    async def put_exception(self, receive: Receive) -> Result[object, list[Fault]]:
        """Add or edit an exception."""
        decoded = await _read_typed_body(receive, ExceptionBody)
        if isinstance(decoded, Err):
            return decoded
        body = decoded.ok_value
        return await self._submit(_exception_edit(body), body)

    async def remove_exception(
        self, name: str, receive: Receive
    ) -> Result[object, list[Fault]]:
        """Remove an exception."""
        decoded = await _read_typed_body(receive, RemoveExceptionBody)
        if isinstance(decoded, Err):
            return decoded
        body = decoded.ok_value
        return await self._submit(RemoveException(name, body.base_revision), body)

    async def restore(self, receive: Receive) -> Result[object, list[Fault]]:
        """Create a new version with the content of an older one."""
        decoded = await _read_typed_body(receive, RestoreBody)
        if isinstance(decoded, Err):
            return decoded
        body = decoded.ok_value
        older = await self._history.snapshot(body.version)
        if isinstance(older, Err):
            return Err([older.err_value])
        edit = RestoreVersion(older.ok_value, body.base_version)
        return await self._submit(edit, body)

    async def _submit(
        self, edit: Edit, body: ChangeBody
    ) -> Result[object, list[Fault]]:
        request = ChangeRequest(edit, body.author, body.reason, body.operation_id)
        accepted = await self._acceptor.accept(request)
        if isinstance(accepted, Err):
            codes = [fault.code.value for fault in accepted.err_value]
            log.info("change rejected", change=edit.summary(), codes=codes)
            return accepted
        ref = accepted.ok_value
        self._board.record_head(ref, None)
        source = self._board.source.read()
        newest = max(ref.version, source.head_version)
        self._board.source.write(replace(source, head_version=newest))
        return Ok(VersionReport(ref.version, ref.digest.hex()))


def _exception_edit(body: ExceptionBody) -> Edit:
    if body.base_revision is None:
        return AddException(
            body.name, body.selector, body.overrides, body.reason, body.review_on
        )
    return EditException(
        body.name,
        body.selector,
        body.overrides,
        body.reason,
        body.base_revision,
        body.review_on,
    )


async def _read_typed_body(
    receive: Receive, body_type: type[T]
) -> Result[T, list[Fault]]:
    body = await read_body(receive)
    if isinstance(body, Err):
        return Err([body.err_value])
    decoded = decode_body(body.ok_value, body_type)
    if isinstance(decoded, Err):
        detail = decoded.err_value.detail
        code = ResultCode.CONFIG_BAD_DOCUMENT
        # msgspec describes invalid JSON as malformed or truncated.
        if "malformed" in detail or "truncated" in detail:
            code = ResultCode.OPERATOR_BAD_BODY
        return Err([Fault(code, detail)])
    return decoded.map_err(lambda fault: [fault])
