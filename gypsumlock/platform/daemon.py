"""Runs one node on the users' platform.

Startup reads the settings and connects the node to the platform; the node then runs
until SIGTERM or SIGINT. The settings file is checked for changes on SIGHUP and at a
fixed interval; if the new settings are invalid, the current ones stay in effect.
"""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import sys
from pathlib import Path

import anyio
from result import Err

from gypsumlock.controller import Controller
from gypsumlock.leases import LeaseKeeper
from gypsumlock.logs import Component, configure_bounded_logs, get_logger
from gypsumlock.mesh.config_watcher import ConfigWatcher
from gypsumlock.mesh.node import MeshNode
from gypsumlock.mesh.record_publisher import RecordPublisher
from gypsumlock.mesh.record_watcher import RecordWatcher
from gypsumlock.mesh.state import MeshState
from gypsumlock.platform.config import decode_config
from gypsumlock.platform.endpoints import HeartbeatHandler, ReadinessHandler
from gypsumlock.platform.names import CONFIG_KEY, CONFIG_TABLE, HEADER_NAMES
from gypsumlock.platform.rollout import PlatformRolloutRows
from gypsumlock.platform.settings import (
    SETTINGS_PATH_VARIABLE,
    PlatformSettings,
    load_settings,
)
from gypsumlock.platform.store_client import PlatformStore
from gypsumlock.result_codes import ResultCode
from gypsumlock.rollout.wiring import rollout_controllers

__all__ = ["main"]

log = get_logger(Component.NODE)

# Interval at which the settings file is checked for changes, in seconds.
SETTINGS_POLL_INTERVAL_S = 1.0


def main() -> int:
    """Run a node until it is stopped and return a result code as the exit status."""
    path = Path(os.environ.get(SETTINGS_PATH_VARIABLE, ""))
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
        header_names=HEADER_NAMES,
        bounds=settings.bounds,
        link_mbps=settings.link_mbps,
        fleet_start=settings.fleet_start,
        memory_mb=settings.memory_mb,
        max_fds=settings.max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0],
    )
    node = MeshNode(state)
    store = PlatformStore(settings.store_address, state.store_era)
    granter = node.quota_granter
    granter.leases = LeaseKeeper(
        store,
        settings.node,
        granter.refresh,
        store_era=state.store_era,
        fleet_start=state.fleet_start,
    )
    controllers: list[Controller] = [
        ConfigWatcher(store, node.feed, CONFIG_TABLE, CONFIG_KEY, decode_config),
        RecordWatcher(store, state, node.feed),
        RecordPublisher(store, state, node.feed),
        granter.leases,
        SettingsWatcher(path, state),
    ]
    if settings.bounds.rollout is not None:
        controllers += rollout_controllers(store, node, PlatformRolloutRows())
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    heartbeat_handler = HeartbeatHandler(state, node.notify_upstream_changed)
    try:
        await node.listen(ReadinessHandler(state, node.metrics), heartbeat_handler)
    except OSError as error:
        log.error("can't listen on an address of the node", reason=str(error))
        return ResultCode.PORT_IN_USE.value
    await node.run(controllers, stop_requested)
    return ResultCode.OK.value


class SettingsWatcher(Controller):
    """Reloads the settings that may change while the process is running."""

    def __init__(self, path: Path, state: MeshState) -> None:
        self._path = path
        self._state = state
        self._reload_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)

    async def run(self) -> None:
        """Check the settings file after each SIGHUP and at a fixed interval."""
        content = self._path.read_bytes()
        while True:
            with anyio.move_on_after(SETTINGS_POLL_INTERVAL_S):
                await self._reload_requested.wait()
            self._reload_requested.clear()
            try:
                new_content = self._path.read_bytes()
            except OSError as error:
                log.warning("settings file unreadable", reason=str(error))
                continue
            if new_content != content:
                content = new_content
                self._reload()

    def _reload(self) -> None:
        settings = load_settings(self._path)
        if isinstance(settings, Err):
            log.error("settings refused", reason=settings.err_value.text())
            return
        self._state.service = settings.ok_value.service
        self._state.bounds = settings.ok_value.bounds
        log.info("settings reloaded", service=self._state.service)
