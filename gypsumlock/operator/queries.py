"""Read-only requests of the operator API."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from datetime import UTC, datetime

from result import Err, Ok, Result

from gypsumlock.blackboard import Board
from gypsumlock.distribution import History, survey_members
from gypsumlock.membership import MemberStatus, choose_neighbours
from gypsumlock.metrics import Metrics
from gypsumlock.model.diff import diff_snapshots
from gypsumlock.operator.messages import (
    ConvergenceReport,
    DefaultsReport,
    ExceptionsReport,
    FaultEntry,
    LaggingNode,
    StatusReport,
    UpstreamEntry,
)
from gypsumlock.peering import PeerTransport
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["QueryHandlers"]

Query = Mapping[str, str]
QueryResult = Result[object, list[Fault]]

DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 500


class QueryHandlers:
    """Handles queries about the node and the fleet."""

    __slots__ = ("_board", "_handlers", "_history", "_metrics", "_transport")

    def __init__(
        self,
        board: Board,
        history: History,
        transport: PeerTransport,
        metrics: Metrics,
    ) -> None:
        self._board = board
        self._history = history
        self._transport = transport
        self._metrics = metrics
        self._handlers: dict[str, Callable[[Query], Awaitable[QueryResult]]] = {
            "/v1/status": self._get_status,
            "/v1/defaults": self._get_defaults,
            "/v1/exceptions": self._get_exceptions,
            "/v1/history": self._list_history,
            "/v1/diff": self._get_diff,
            "/v1/converged": self._check_convergence,
            "/v1/upstreams": self._list_upstreams,
        }

    async def handle(self, path: str, query: Query) -> QueryResult:
        """Handle the query at a path."""
        handler = self._handlers.get(path)
        if handler is None:
            return Err(
                [Fault(ResultCode.OPERATOR_NOT_FOUND, f"no endpoint GET {path}")]
            )
        return await handler(query)

    async def _get_status(self, query: Query) -> QueryResult:
        board = self._board
        members = board.members
        fault = board.config_fault.read()
        recovery = board.recovery.read()
        statuses = Counter(
            member.status.name.lower() for member in members.all_members()
        )
        neighbours = choose_neighbours(board.node.address, members.others())
        return Ok(
            StatusReport(
                address=board.node.address,
                zone=board.node.zone,
                region=board.node.region,
                instance=board.node.instance,
                ready=board.ready(),
                stopping=board.stopping.read(),
                in_force_version=board.version_in_force(),
                held_version=board.held_ref().version,
                head_version=board.head.read().ref.version,
                floor=recovery.min_version,
                witness=recovery.witness,
                source_reachable=board.source.read().reachable,
                fault=_fault_entry(fault) if fault else None,
                members=dict(statuses),
                neighbours=[member.address for member in neighbours],
                origin=board.snapshot().origin,
                metrics=self._metrics.report(),
                overdue_exceptions=self._overdue_exceptions(),
            )
        )

    async def _get_defaults(self, query: Query) -> QueryResult:
        snapshot = self._board.snapshot()
        return Ok(
            DefaultsReport(
                snapshot.version, snapshot.defaults_revision, snapshot.defaults
            )
        )

    async def _get_exceptions(self, query: Query) -> QueryResult:
        snapshot = self._board.snapshot()
        return Ok(ExceptionsReport(snapshot.version, list(snapshot.exceptions)))

    async def _list_history(self, query: Query) -> QueryResult:
        limit = _integer_parameter(query, "limit", DEFAULT_HISTORY_LIMIT)
        if isinstance(limit, Err):
            return limit
        entries = await self._history.newest(min(MAX_HISTORY_LIMIT, limit.ok_value))
        return entries.map_err(lambda fault: [fault])

    async def _get_diff(self, query: Query) -> QueryResult:
        newest = self._board.held_ref().version
        after = _integer_parameter(query, "to", newest)
        if isinstance(after, Err):
            return after
        before = _integer_parameter(query, "from", max(0, after.ok_value - 1))
        if isinstance(before, Err):
            return before
        older = await self._history.snapshot(before.ok_value)
        if isinstance(older, Err):
            return Err([older.err_value])
        newer = await self._history.snapshot(after.ok_value)
        if isinstance(newer, Err):
            return Err([newer.err_value])
        return Ok(diff_snapshots(older.ok_value, newer.ok_value))

    async def _check_convergence(self, query: Query) -> QueryResult:
        requested = _integer_parameter(
            query, "version", self._board.head.read().ref.version
        )
        if isinstance(requested, Err):
            return requested
        version = requested.ok_value
        others = [member.address for member in self._board.members.others()]
        entries = await survey_members(self._board, self._transport, others)
        lagging = [
            LaggingNode(
                address=entry.address,
                in_force_version=entry.in_force_version,
                held_version=entry.held_version,
                reachable=entry.reachable,
                code=entry.code,
            )
            for entry in entries
            if not entry.reachable or entry.in_force_version < version
        ]
        converged = not lagging and self._board.table.read() is not None
        dead = sorted(
            member.address
            for member in self._board.members.all_members()
            if member.status is MemberStatus.DEAD
        )
        return Ok(ConvergenceReport(version, converged, len(entries), lagging, dead))

    async def _list_upstreams(self, query: Query) -> QueryResult:
        endpoints = self._board.members.endpoints()
        return Ok(
            [
                UpstreamEntry(
                    service=endpoint.service,
                    node_address=endpoint.node_address,
                    call_address=endpoint.call_address,
                    zone=endpoint.zone,
                    slots=endpoint.slots,
                    suspect=endpoint.suspect,
                )
                for endpoint in sorted(
                    endpoints,
                    key=lambda endpoint: (endpoint.service, endpoint.node_address),
                )
            ]
        )

    def _overdue_exceptions(self) -> list[str]:
        today = datetime.now(UTC).date().isoformat()
        return [
            item.name
            for item in self._board.snapshot().exceptions
            if item.review_on and item.review_on < today
        ]


def _fault_entry(fault: Fault) -> FaultEntry:
    return FaultEntry(fault.code.value, fault.code.name, fault.detail, fault.path)


def _integer_parameter(
    query: Query, name: str, default: int
) -> Result[int, list[Fault]]:
    text = query.get(name)
    if text is None:
        return Ok(default)
    if not text.isascii() or not text.isdigit():
        detail = f"found {text!r}, allowed: a non-negative integer"
        return Err([Fault(ResultCode.OPERATOR_BAD_BODY, detail, name)])
    return Ok(int(text))
