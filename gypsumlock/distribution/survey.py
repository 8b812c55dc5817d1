"""Asks every member which version it has in force.

A survey of a large fleet goes through a tree: the members are cut into at most
`SURVEY_FANOUT` groups, and the first of each group that answers surveys the
rest of it. A member that can't be reached is reported as such, never as
converged.
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
        State of this node.
    transport : PeerTransport
        Way to the members.
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
    """Let the first member that answers survey the rest of its group."""
    for index, delegate in enumerate(group):
        rest = group[index + 1 :]
        timeout_s = _timeout_s(len(rest))
        answer = await transport.survey(delegate, rest, timeout_s)
        if isinstance(answer, Ok):
            entries.extend(answer.ok_value)
            return
        entries.append(_unreachable(delegate))


def _timeout_s(rest: int) -> float:
    """Return the time that a delegate with `rest` further members may take.

    Each level below has half of the time, so that a delegate can still answer
    after one of its own delegates did not.
    """
    timeout_s = defaults.SURVEY_TIMEOUT_S
    while rest > 0:
        timeout_s *= 2
        rest = (rest - 1) // defaults.SURVEY_FANOUT
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


def _unreachable(address: str) -> SurveyEntry:
    return SurveyEntry(address, 0, 0, False, ResultCode.PEER_UNREACHABLE.value)


def _split(addresses: list[str], groups: int) -> list[list[str]]:
    """Deal addresses into at most `groups` lists of nearly the same length."""
    dealt = [addresses[index::groups] for index in range(groups)]
    return [group for group in dealt if group]
