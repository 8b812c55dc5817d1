"""The upstream beside the node: its announcements, and its silence.

An upstream announces itself over HTTP and repeats that. `leaving`, or silence
for longer than a bound, ends it; both change the node's own member record,
which is pushed to the neighbours at once.
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

__all__ = ["Announcement", "AnnouncementController", "take_announcement"]

log = get_logger(Component.UPSTREAM)

TICK_S: Final = 0.25


@dataclass(frozen=True, slots=True)
class Announcement:
    """Body of an announcement."""

    service: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,62}$")]
    # Where the upstream listens, as `IP:port`.
    address: Address
    # Calls that the upstream runs at the same time.
    slots: Annotated[int, Meta(ge=1, le=10_000)]
    leaving: bool = False


def take_announcement(board: Board, announcement: Announcement) -> None:
    """Write an announcement to the blackboard."""
    known = board.upstream.read()
    same = known is not None and known.service == announcement.service
    since_s = known.since_unix_s if known is not None and same else time.time()
    board.upstream.write(
        LocalUpstream(
            service=announcement.service,
            address=announcement.address,
            slots=announcement.slots,
            leaving=announcement.leaving,
            since_unix_s=since_s,
        )
    )


class AnnouncementController(Controller):
    """Moves the state of the upstream into the node's member record."""

    def __init__(self, board: Board, silence_s: float) -> None:
        self._board = board
        self._silence_s = silence_s
        self._announced_at_s = time.monotonic()

    async def run(self) -> None:
        """Follow announcements and silence, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_silence)
            revision = 0
            while True:
                revision = await self._board.upstream.wait_past(revision)
                self._announced_at_s = time.monotonic()
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

    async def _watch_silence(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            if self._board.paused() or not self._board.fresh.read():
                # The process could not hear announcements while it was paused.
                self._announced_at_s = time.monotonic()
            if self._board.upstream.read() is None:
                continue
            silent_s = time.monotonic() - self._announced_at_s
            if silent_s > self._silence_s:
                log.warning("upstream fell silent", silent_s=round(silent_s, 1))
                self._board.upstream.write(None)
