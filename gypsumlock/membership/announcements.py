"""Tracks the local upstream, which runs beside the node, by its announcements.

The upstream announces itself over HTTP and repeats the announcement. It counts as
leaving once it announces `leaving`, and as gone when its announcements stop for
longer than a timeout. Both change the node's own member record, which is pushed
to the neighbours at once.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Annotated, Final

import anyio
from msgspec import Meta

from gypsumlock.blackboard import Board, LocalUpstream
from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.membership.member import UpstreamState
from gypsumlock.options import Address

__all__ = ["Announcement", "AnnouncementController", "apply_announcement"]

log = get_logger(Component.UPSTREAM)

CHECK_INTERVAL_S: Final = 0.25


@dataclass(frozen=True, slots=True)
class Announcement:
    """Body of an announcement request."""

    service: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,62}$")]
    # Where the upstream listens, as `IP:port`.
    address: Address
    # Number of calls that the upstream can run at the same time.
    slots: Annotated[int, Meta(ge=1, le=10_000)]
    leaving: bool = False


def apply_announcement(board: Board, announcement: Announcement) -> None:
    """Write an announcement to the blackboard."""
    previous = board.upstream.read()
    same_service = previous is not None and previous.service == announcement.service
    first_announced_unix_s = (
        previous.since_unix_s if previous is not None and same_service else time.time()
    )
    board.upstream.write(
        LocalUpstream(
            service=announcement.service,
            address=announcement.address,
            slots=announcement.slots,
            leaving=announcement.leaving,
            since_unix_s=first_announced_unix_s,
        )
    )


class AnnouncementController(Controller):
    """Publishes the state of the upstream in the node's own member record.

    Parameters
    ----------
    board : Board
        State of the node.
    silence_timeout_s : float
        Time without an announcement after which the upstream counts as gone.
    """

    def __init__(self, board: Board, silence_timeout_s: float) -> None:
        self._board = board
        self._silence_timeout_s = silence_timeout_s
        self._last_announced_at_s = time.monotonic()

    async def run(self) -> None:
        """Publish announcements and detect when they stop, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._check_silence)
            revision = 0
            while True:
                revision = await self._board.upstream.wait_past(revision)
                self._last_announced_at_s = time.monotonic()
                self._publish(self._board.upstream.read())

    def _publish(self, upstream: LocalUpstream | None) -> None:
        members = self._board.members
        own = members.own
        if upstream is None:
            if own.upstream is not UpstreamState.NONE:
                members.set_upstream(UpstreamState.NONE)
            return
        leaving = upstream.leaving or self._board.stopping.read()
        state = UpstreamState.LEAVING if leaving else UpstreamState.SERVING
        published = (own.upstream, own.service, own.slots)
        if published == (state, upstream.service, upstream.slots):
            return
        members.set_upstream(
            state, upstream.service, upstream.slots, upstream.since_unix_s
        )
        log.info(
            "upstream announced",
            service=upstream.service,
            address=upstream.address,
            state=state.name.lower(),
            slots=upstream.slots,
        )

    async def _check_silence(self) -> None:
        """Remove the upstream once it has not announced itself for the timeout."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._board.paused() or not self._board.version_checked.read():
                # The process could not receive announcements while it was paused.
                self._last_announced_at_s = time.monotonic()
            if self._board.upstream.read() is None:
                continue
            silent_s = time.monotonic() - self._last_announced_at_s
            if silent_s > self._silence_timeout_s:
                log.warning(
                    "upstream stopped announcing itself", silent_s=round(silent_s, 1)
                )
                self._board.upstream.write(None)
