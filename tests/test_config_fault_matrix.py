"""Every configuration fault at every step; see `tests.config_cells`.

Each cell makes one change while one fault is present at one step, ends the
fault, and then judges the whole fleet: the change is committed exactly once,
in force everywhere within the target, and no node's record shows a move back.
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
from tests.config_cells import CELLS, PATH, PLANS, STEPS, Scenario, acceptor
from tests.standins.checker import find_config_violations
from tests.standins.fleet import Fleet, load_example_defaults
from tests.standins.processes import wait_until

CONVERGENCE_TARGET_S = 6.0
RESTART_TIMEOUT_S = 15.0
# Time for which a fault lasts once the change is under way.
FAULT_S = 1.0


class Change:
    """One change that runs in the background and can be repeated."""

    def __init__(self, fleet: Fleet, cell: str) -> None:
        self._client = acceptor(fleet).client
        self.operation = f"matrix-{time.monotonic_ns()}"
        self._value = 1 + time.time() % 500
        self._cell = cell
        self._base = 0
        self.version: int | None = None
        self._thread = threading.Thread(target=self.send, daemon=True)

    def begin(self) -> None:
        """Read the base and send the change without waiting."""
        base = self._client.get("/v1/defaults", DefaultsReport).unwrap()
        self._base = base.revision
        self._thread.start()

    def finish(self) -> None:
        """Wait for the answer of the change that was begun."""
        self._thread.join(20)

    def send(self) -> None:
        """Send the change; the same operation id every time."""
        body = SetDefaultBody(
            PATH, self._value, self._base, "founder", self.operation, self._cell
        )
        answer = self._client.send("POST", "/v1/defaults", body, VersionReport)
        if answer.is_ok():
            self.version = answer.unwrap().version
        elif answer.unwrap_err()[0].code is ResultCode.CONFIG_CONFLICT:
            # Another operator came first; start again from what is there now.
            current = self._client.get("/v1/defaults", DefaultsReport)
            self._base = current.map(lambda r: r.revision).unwrap_or(self._base)


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
            scenario.arm(fleet)
            pending.begin()
            time.sleep(FAULT_S / 2)
            also_accepted = scenario.during(fleet) or []
            time.sleep(FAULT_S / 2)
        finally:
            scenario.heal(fleet)
        pending.finish()
        if scenario.may_need_repeat:
            wait_until(lambda: settled(pending), 15, "the change is settled")
        self.assertIsNotNone(pending.version)
        assert pending.version is not None
        self.judge(pending, committed_before, also_accepted)

    def judge(
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
        operations = self.history()
        for operation in (pending.operation, *also_accepted):
            self.assertEqual(operations.count(operation), 1, operation)
        self.assertEqual(operations[-len(committed_before) :], committed_before)
        self.assertEqual(find_config_violations(fleet), [])

    def history(self) -> list[str]:
        """Return the operation ids of all versions, the newest first."""
        answer = self.fleet["two"].client.get(
            "/v1/history?limit=500", list[HistoryEntry]
        )
        return [entry.origin.operation_id for entry in answer.unwrap()]


def settled(pending: Change) -> bool:
    """Repeat the change until its outcome is known."""
    if pending.version is None:
        pending.send()
    return pending.version is not None


def _add_cells() -> None:
    for fault, row in CELLS.items():
        for step, cell in row.items():
            if isinstance(cell, str):
                continue
            name = f"test_{fault}_at_{step}".replace(" ", "_")
            method = _method(fault, step, cell)
            # A test that is asked for by name is looked up by this one.
            method.__name__ = name
            setattr(TestConfigFaultMatrix, name, method)


def _method(
    fault: str, step: str, scenario: Scenario
) -> Callable[[TestConfigFaultMatrix], None]:
    def run(self: TestConfigFaultMatrix) -> None:
        self.run_cell(fault, step, scenario)

    return run


_add_cells()


class TestMatrixIsComplete(unittest.TestCase):
    """Every cell has a scenario or a reason."""

    def test_every_fault_has_every_step(self) -> None:
        for fault, row in CELLS.items():
            self.assertEqual(tuple(row), STEPS, fault)
