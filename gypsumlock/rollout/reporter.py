"""Reports the answers of the local upstream to the conductor during a roll-out."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from gypsumlock.controller import Controller
from gypsumlock.logs import Component, get_logger
from gypsumlock.mesh.boot_clock import boot_time_s
from gypsumlock.mesh.directory import UpstreamDirectory
from gypsumlock.mesh.owner import UpstreamOwner
from gypsumlock.mesh.state import MeshState
from gypsumlock.rollout.messages import ReportHandler, VersionReport

__all__ = ["VersionReporter"]

log = get_logger(Component.ROLLOUT)

TICK_INTERVAL_S = 0.1
# Time between two reports, in seconds.
REPORT_INTERVAL_S = 0.5


class VersionReporter(Controller):
    """Follows the roll-out of the local upstream's service.

    Parameters
    ----------
    state : MeshState
        Shared state of the node.
    owner : UpstreamOwner
        Tells whether calls are in flight.
    directory : UpstreamDirectory
        Connections to other nodes.
    local_handler : ReportHandler
        Receives the reports if this node is the conductor.
    on_accepting_changed : Callable[[], None]
        Called when calls are accepted again, or no longer.
    """

    def __init__(
        self,
        state: MeshState,
        owner: UpstreamOwner,
        directory: UpstreamDirectory,
        local_handler: ReportHandler,
        on_accepting_changed: Callable[[], None],
    ) -> None:
        self._state = state
        self._owner = owner
        self._directory = directory
        self._local_handler = local_handler
        self._on_accepting_changed = on_accepting_changed
        self._next_report_s = 0.0
        self._accepts = True
        self._conductor = ""

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            if self._state.bounds.rollout is not None:
                await self._tick()

    async def _tick(self) -> None:
        gate = self._state.version_gate
        now_s = boot_time_s()
        if gate.update(self._owner.may_be_executing(), now_s):
            self._state.publish_needed.set()
            # The conductor waits for the last owner.
            self._next_report_s = now_s
            log.info("upstream retired", retired=gate.retired)
        self._apply_verdict()
        accepts = gate.accepts(now_s)
        if accepts != self._accepts:
            self._accepts = accepts
            log.info("version permission changed", accepts=accepts)
            self._on_accepting_changed()
        if now_s < self._next_report_s:
            return
        report = gate.take_report(self._state.node, now_s)
        if report is not None:
            self._next_report_s = now_s + REPORT_INTERVAL_S
            await self._send(report)

    async def _send(self, report: VersionReport) -> None:
        conductor = self._state.versions.services[report.service].conductor
        self._conductor = conductor
        if conductor == self._state.node:
            verdict = self._local_handler.handle_report(report)
            if verdict is not None:
                self._state.version_gate.apply_verdict(verdict)
        elif self._directory.knows(conductor):
            await self._directory.connection_to(conductor).send_report(report)

    def _apply_verdict(self) -> None:
        """Apply the conductor's answer to an earlier report."""
        conductor = self._conductor
        if conductor in ("", self._state.node) or not self._directory.knows(conductor):
            return
        verdict = self._directory.connection_to(conductor).take_verdict()
        if verdict is not None:
            self._state.version_gate.apply_verdict(verdict)
