"""Combines every configuration fault with every step; see `tests.config_cells`.

Each cell makes one change while one fault is present at one step, removes the
fault, and then checks the whole fleet: the change is committed exactly once and
is in force everywhere within the target, and no node's log shows a move to an
older version.
"""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Callable

from gypsumlock.distribution import HistoryEntry
from gypsumlock.model import Defaults
from gypsumlock.operator.messages import DefaultsReport, SetDefaultBody, VersionReport
from gypsumlock.result_codes import ResultCode
from tests.config_cells import (
    CELLS,
    CHANGED_DEFAULT,
    PLANS,
    STEPS,
    Scenario,
    accepting_node,
)
from tests.standins.checker import find_config_violations
from tests.standins.fleet import Fleet, load_example_defaults
from tests.standins.processes import wait_until

CONVERGENCE_TARGET_S = 6.0
RESTART_TIMEOUT_S = 15.0
# Time for which a fault lasts after the change was sent.
FAULT_DURATION_S = 1.0


class Change:
    """One change that is sent in the background and can be repeated."""

    def __init__(self, fleet: Fleet, cell: str) -> None:
        self._client = accepting_node(fleet).client
        self.operation_id = f"matrix-{time.monotonic_ns()}"
        self._value = 1 + time.time() % 500
        self._cell = cell
        self._base_revision = 0
        self.version: int | None = None
        self._thread = threading.Thread(target=self.send, daemon=True)

    def start(self) -> None:
        """Read the base revision and send the change without waiting."""
        base = self._client.get("/v1/defaults", DefaultsReport).unwrap()
        self._base_revision = base.revision
        self._thread.start()

    def join(self) -> None:
        """Wait for the response to the change that was started."""
        self._thread.join(20)

    def send(self) -> None:
        """Send the change, with the same operation id every time."""
        body = SetDefaultBody(
            CHANGED_DEFAULT,
            self._value,
            self._base_revision,
            "founder",
            self.operation_id,
            self._cell,
        )
        response = self._client.send("POST", "/v1/defaults", body, VersionReport)
        if response.is_ok():
            self.version = response.unwrap().version
        elif response.unwrap_err()[0].code is ResultCode.CONFIG_CONFLICT:
            # Another operator's change came first; rebase on the current revision.
            current = self._client.get("/v1/defaults", DefaultsReport)
            self._base_revision = current.map(lambda r: r.revision).unwrap_or(
                self._base_revision
            )


class TestConfigFaultMatrix(unittest.TestCase):
    """One test method for each cell that can occur; see `_add_cells`."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(PLANS, proxied=True).__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.wait_ready()
        document: Defaults = load_example_defaults("bowline")
        version = cls.fleet.load_defaults(document, cls.fleet.instances[0])
        cls.fleet.wait_version(version)

    def run_cell(self, fault: str, step: str, scenario: Scenario) -> None:
        fleet = self.fleet
        fleet.wait_ready()
        committed_before = self.history()
        pending = Change(fleet, f"{fault} at {step}")
        try:
            scenario.inject_fault(fleet)
            pending.start()
            time.sleep(FAULT_DURATION_S / 2)
            also_accepted = scenario.during(fleet) or []
            time.sleep(FAULT_DURATION_S / 2)
        finally:
            scenario.remove_fault(fleet)
        pending.join()
        if scenario.may_need_repeat:
            wait_until(lambda: retry(pending), 15, "outcome of the change is known")
        self.assertIsNotNone(pending.version)
        assert pending.version is not None
        self.assert_committed_once_everywhere(pending, committed_before, also_accepted)

    def assert_committed_once_everywhere(
        self,
        pending: Change,
        committed_before: list[str],
        also_accepted: list[str],
    ) -> None:
        fleet = self.fleet
        assert pending.version is not None
        for instance in fleet.instances:
            wait_until(instance.ready, RESTART_TIMEOUT_S, f"{instance.plan.name} ready")
        fleet.wait_version(pending.version, CONVERGENCE_TARGET_S)
        committed = self.history()
        for operation_id in (pending.operation_id, *also_accepted):
            self.assertEqual(committed.count(operation_id), 1, operation_id)
        self.assertEqual(committed[-len(committed_before) :], committed_before)
        self.assertEqual(find_config_violations(fleet), [])

    def history(self) -> list[str]:
        """Return the operation ids of all versions, newest first."""
        response = self.fleet["two"].client.get(
            "/v1/history?limit=500", list[HistoryEntry]
        )
        return [entry.origin.operation_id for entry in response.unwrap()]


def retry(pending: Change) -> bool:
    """Repeat a change that has no version yet; return whether it has one now."""
    if pending.version is None:
        pending.send()
    return pending.version is not None


def _add_cells() -> None:
    for fault, row in CELLS.items():
        for step, cell in row.items():
            if isinstance(cell, str):
                continue
            name = f"test_{fault}_at_{step}".replace(" ", "_")
            method = _make_test_method(fault, step, cell)
            # A test that is selected by its name is looked up by `__name__`.
            method.__name__ = name
            setattr(TestConfigFaultMatrix, name, method)


def _make_test_method(
    fault: str, step: str, scenario: Scenario
) -> Callable[[TestConfigFaultMatrix], None]:
    def run(self: TestConfigFaultMatrix) -> None:
        self.run_cell(fault, step, scenario)

    return run


_add_cells()


class TestMatrixIsComplete(unittest.TestCase):
    """Every cell has a scenario or a reason why the fault can't occur."""

    def test_every_fault_has_every_step(self) -> None:
        for fault, row in CELLS.items():
            self.assertEqual(tuple(row), STEPS, fault)
