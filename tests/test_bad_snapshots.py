"""A node keeps its version if it can't decode or compile a newer snapshot."""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import replace

import msgspec

from gypsumlock.distribution.rows import (
    HEAD_KEY,
    VersionRow,
    read_head,
    version_key,
)
from gypsumlock.model import Snapshot, digest_of, encode_snapshot
from gypsumlock.result_codes import ResultCode
from gypsumlock.store import Condition, HttpPlatform, Write
from tests.standins.fleet import Fleet, Instance, InstancePlan, load_example_defaults
from tests.standins.processes import wait_until

FAULT_REPORT_TIMEOUT_S = 6.0
OBSERVATION_S = 2.0
PLANS = [InstancePlan(f"n{i}", zone, "") for i, zone in enumerate("abc")]


class TestBadSnapshots(unittest.TestCase):
    """A head that this release did not write is never applied in part."""

    def setUp(self) -> None:
        self.fleet = Fleet(PLANS).__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.wait_ready()
        first = self.fleet.instances[0]
        self.version = self.fleet.load_defaults(load_example_defaults("bowline"), first)
        self.fleet.wait_version(self.version)

    def test_undecodable_snapshot(self) -> None:
        payload = b'{"version": 2, "parent": 1, "defaults": {"ranks": 7}}'
        self.assert_version_kept(payload, ResultCode.SNAPSHOT_UNDECODABLE)

    def test_snapshot_that_does_not_compile(self) -> None:
        document = load_example_defaults("bowline")
        broken = Snapshot(2, 1, replace(document, services=()))
        self.assert_version_kept(encode_snapshot(broken), ResultCode.SNAPSHOT_INVALID)

    def test_snapshot_of_another_version(self) -> None:
        other = Snapshot(9, 1, load_example_defaults("bowline"))
        self.assert_version_kept(
            encode_snapshot(other), ResultCode.SNAPSHOT_UNDECODABLE
        )

    def assert_version_kept(self, payload: bytes, code: ResultCode) -> None:
        """Commit the payload as the head; nodes report it and keep their version."""
        asyncio.run(self.commit_head(payload))
        for instance in self.fleet.instances:
            wait_until(
                lambda i=instance: self.fault_code_of(i) == code,  # type: ignore[misc]
                FAULT_REPORT_TIMEOUT_S,
                f"{instance.plan.name} reports {code.name}",
            )
        deadline_s = time.monotonic() + OBSERVATION_S
        while time.monotonic() < deadline_s:
            for instance in self.fleet.instances:
                self.assertEqual(instance.in_force_version(), self.version)
                self.assertTrue(instance.ready())
            time.sleep(0.1)
        report = self.fleet.convergence_report(2, self.fleet.instances[0])
        self.assertFalse(report.converged)
        self.assertEqual({node.code for node in report.lagging}, {code.value})

    def fault_code_of(self, instance: Instance) -> int | None:
        status = instance.status()
        return status.fault.code if status and status.fault else None

    async def commit_head(self, payload: bytes) -> None:
        platform = HttpPlatform(f"http://{self.fleet.platform_address}")
        digest = digest_of(payload).hex()
        head = (await read_head(platform)).unwrap()
        value = msgspec.json.encode(VersionRow(2, digest, 1)).decode()
        (await platform.put(digest, payload)).unwrap()
        writes = [Write(HEAD_KEY, value), Write(version_key(2), value)]
        result = await platform.transact([Condition(HEAD_KEY, head.revision)], writes)
        result.unwrap()
        await platform.close()
