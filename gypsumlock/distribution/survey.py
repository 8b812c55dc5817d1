"""Asks every member which version it has in force.

A large fleet is surveyed along a tree: the members are split into at most
`SURVEY_FANOUT` groups, and the first member of each group that answers surveys
the rest of its group. A member that can't be reached is reported as unreachable,
never as converged.
"""

from __future__ import annotations

import anyio
from result import Ok

from gypsumlock import defaults
from gypsumlock.blackboard import Board
from gypsumlock.peering import PeerTransport, SurveyEntry
from gypsumlock.result_codes import ResultCode

__all__ = ["survey_members"]


async def survey_members(
    board: Board, transport: PeerTransport, addresses: list[str]
) -> list[SurveyEntry]:
    """Return the state of this node and of each address.

    Parameters
    ----------
    board : Board
        Blackboard of this node.
    transport : PeerTransport
        Transport to the members.
    addresses : list[str]
        Members to ask.

    Returns
    -------
    list[SurveyEntry]
        One entry for this node and one for each address.
    """
    entries = [_own_entry(board)]
    async with anyio.create_task_group() as tasks:
        for group in _split(addresses, defaults.SURVEY_FANOUT):
            tasks.start_soon(_survey_group, transport, group, entries)
    return entries


async def _survey_group(
    transport: PeerTransport, group: list[str], entries: list[SurveyEntry]
) -> None:
    """Delegate the survey of a group to its first member that answers."""
    for index, delegate in enumerate(group):
        remaining = group[index + 1 :]
        timeout_s = _survey_timeout_s(len(remaining))
        reply = await transport.survey(delegate, remaining, timeout_s)
        if isinstance(reply, Ok):
            entries.extend(reply.ok_value)
            return
        entries.append(_unreachable_entry(delegate))


def _survey_timeout_s(remaining_count: int) -> float:
    """Return the timeout for a delegate that surveys `remaining_count` other members.

    Each level below has half of the timeout, so that a delegate can still answer
    after one of its own delegates did not.
    """
    timeout_s = defaults.SURVEY_TIMEOUT_S
    while remaining_count > 0:
        timeout_s *= 2
        remaining_count = (remaining_count - 1) // defaults.SURVEY_FANOUT
    return timeout_s


def _own_entry(board: Board) -> SurveyEntry:
    fault = board.config_fault.read()
    return SurveyEntry(
        address=board.node.address,
        in_force_version=board.version_in_force(),
        held_version=board.held_ref().version,
        reachable=True,
        code=fault.code.value if fault else 0,
    )


def _unreachable_entry(address: str) -> SurveyEntry:
    return SurveyEntry(address, 0, 0, False, ResultCode.PEER_UNREACHABLE.value)


def _split(addresses: list[str], groups: int) -> list[list[str]]:
    """Distribute addresses over at most `groups` lists of nearly equal length."""
    parts = [addresses[index::groups] for index in range(groups)]
    return [group for group in parts if group]
