"""Runs one node on the users' platform.

Phases: read the settings, wire the node to the platform, run it until SIGTERM.
SIGHUP reads the settings again; what is in force stays if they are wrong.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import anyio
from result import Err

from gypsumlock.controller import Controller
from gypsumlock.logs import Component, configure_bounded_logs, get_logger
from gypsumlock.mesh.node import MeshNode
from gypsumlock.mesh.state import MeshState
from gypsumlock.mesh.watchers import ConfigWatcher, RecordPublisher, RecordWatcher
from gypsumlock.platform.config import decode_config
from gypsumlock.platform.endpoints import HeartbeatHandler, ReadinessHandler
from gypsumlock.platform.names import CONFIG_KEY, CONFIG_TABLE, HEADER_NAMES
from gypsumlock.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    load_settings,
)
from gypsumlock.platform.store_client import PlatformStore
from gypsumlock.result_codes import ResultCode

__all__ = ["main"]

log = get_logger(Component.NODE)

# Time between two looks at the settings file, in seconds.
SETTINGS_POLL_S = 1.0


def main() -> int:
    """Run a node until it is stopped; return a result code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    settings = load_settings(path)
    if isinstance(settings, Err):
        print(f"gypsumlock: {settings.err_value.text()}", file=sys.stderr)
        return settings.err_value.code.value
    configure_bounded_logs(settings.ok_value.node)
    return anyio.run(
        _serve, path, settings.ok_value, backend_options={"use_uvloop": True}
    )


async def _serve(path: Path, settings: PlatformSettings) -> int:
    state = MeshState(
        node=settings.node,
        zone=settings.zone,
        service=settings.service,
        addresses=settings.addresses,
        headers=HEADER_NAMES,
        bounds=settings.bounds,
        link_mbps=settings.link_mbps,
    )
    node = MeshNode(state)
    store = PlatformStore(settings.store_address)
    controllers: list[Controller] = [
        ConfigWatcher(store, node.feed, CONFIG_TABLE, CONFIG_KEY, decode_config),
        RecordWatcher(store, state, node.feed),
        RecordPublisher(store, state, node.feed),
        SettingsWatcher(path, state),
    ]
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    heartbeats = HeartbeatHandler(state, node.upstream_changed)
    try:
        await node.listen(ReadinessHandler(state, node.metrics), heartbeats)
    except OSError as error:
        log.error("can't listen", reason=str(error))
        return ResultCode.PORT_IN_USE.value
    await node.run(controllers, stop_requested)
    return ResultCode.OK.value


class SettingsWatcher(Controller):
    """Takes over the settings that may change while the process runs."""

    def __init__(self, path: Path, state: MeshState) -> None:
        self._path = path
        self._state = state
        self._hung_up = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._hung_up.set)

    async def run(self) -> None:
        """Read the settings after a signal, and from time to time."""
        text = self._path.read_bytes()
        while True:
            with anyio.move_on_after(SETTINGS_POLL_S):
                await self._hung_up.wait()
            self._hung_up.clear()
            try:
                found = self._path.read_bytes()
            except OSError as error:
                log.warning("settings unreadable", reason=str(error))
                continue
            if found != text:
                text = found
                self._take_over()

    def _take_over(self) -> None:
        settings = load_settings(self._path)
        if isinstance(settings, Err):
            log.error("settings refused", reason=settings.err_value.text())
            return
        self._state.service = settings.ok_value.service
        self._state.bounds = settings.ok_value.bounds
        log.info("settings reloaded", service=self._state.service)
