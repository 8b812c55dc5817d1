"""Leases: at most one holder at any time, whatever fails between node and store."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass, field
from functools import partial

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumlock.leases import (
    LEASE_TABLE,
    Lease,
    LeaseKeeper,
    LeaseState,
    LeaseStep,
    StepKind,
    decode_lease,
    encode_lease,
)
from tests.standins.feed_store import MemoryFeedStore
from tests.standins.simulated_clock import run_simulated

NODES = ("n1", "n2", "n3")


@dataclass
class _Row:
    lease: Lease | None = None
    version: int = 0


@dataclass
class _Model:
    """Nodes that take their steps against one row; writes may be late or lost."""

    now_s: float = 0.0
    row: _Row = field(default_factory=_Row)
    # Writes that have not reached the store yet.
    late: list[LeaseStep] = field(default_factory=list)
    states: dict[str, LeaseState] = field(
        default_factory=lambda: {node: LeaseState(node) for node in NODES}
    )

    def write(self, step: LeaseStep) -> bool:
        if self.row.version != step.expected_version:
            return False
        self.row = _Row(step.lease, self.row.version + 1)
        return True

    def step(self, node: str, is_candidate: bool, fate: str, delay_s: float) -> None:
        state = self.states[node]
        step = state.next_step(self.now_s, is_candidate)
        if step.kind is StepKind.WAIT:
            return
        if step.kind is not StepKind.READ:
            state.start_write(step, self.now_s)
            if fate == "late":
                self.late.append(step)
        took_effect = False
        if step.kind is not StepKind.READ and fate in ("done", "lost"):
            took_effect = self.write(step)
        row = self.row
        self.now_s += delay_s
        if fate != "done":
            state.call_failed(self.now_s)
        elif took_effect:
            state.write_done(row.version, self.now_s)
        else:
            state.observe(row.version, row.lease, self.now_s)

    def holders(self) -> dict[str, int]:
        held = {node: state.held(self.now_s) for node, state in self.states.items()}
        return {node: token for node, token in held.items() if token is not None}


# Kind, node, fate of the call to the store, and how long it takes.
_EVENTS = st.tuples(
    st.sampled_from(
        ("step",) * 12 + ("wait",) * 3 + ("arrive", "leave", "restart"),
    ),
    st.sampled_from(NODES),
    st.sampled_from(("done", "done", "done", "lost", "failed", "late")),
    st.sampled_from((0.0, 0.01, 0.3, 1.2, 4.0, 14.6, 16.0)),
)


class TestExclusion(unittest.TestCase):
    """Guards against two holders at a time, and a token that does not grow."""

    @settings(max_examples=300, deadline=None)
    @given(st.lists(_EVENTS, min_size=40, max_size=80))
    def test_one_holder_and_growing_tokens(
        self, events: list[tuple[str, str, str, float]]
    ) -> None:
        model = _Model()
        last_holder, last_token = "", 0
        for kind, node, fate, delay_s in events:
            if kind == "step":
                model.step(node, True, fate, min(delay_s, 1.2))
            elif kind == "leave":
                model.step(node, False, fate, 0.0)
            elif kind == "restart":
                # The writes of the earlier process have been sent, or never will be.
                model.late = [
                    x for x in model.late if x.lease and x.lease.holder != node
                ]
                model.states[node] = LeaseState(node)
            elif kind == "wait":
                model.now_s += delay_s
            elif model.late:
                model.write(model.late.pop(0))
            holders = model.holders()
            self.assertLessEqual(len(holders), 1, holders)
            for holder, token in holders.items():
                self.assertGreaterEqual(token, last_token)
                if holder != last_holder:
                    self.assertGreater(token, last_token)
                last_holder, last_token = holder, token


class TestTakeover(unittest.TestCase):
    """Guards against a lease that stays vacant, or is taken over too early."""

    def test_vacant_after_duration_and_margin_without_a_change(self) -> None:
        state = LeaseState("n2")
        state.observe(7, Lease("n1", 3, 15.0), 100.0)
        self.assertEqual(state.next_step(115.4, True).kind, StepKind.READ)
        state.observe(7, Lease("n1", 3, 15.0), 115.4)
        step = state.next_step(115.5, True)
        self.assertEqual(step.lease, Lease("n2", 4, 15.0))

    def test_row_of_an_earlier_process_is_taken_over_at_once(self) -> None:
        state = LeaseState("n1")
        state.observe(7, Lease("n1", 3, 15.0), 100.0)
        self.assertEqual(state.next_step(100.0, True).lease, Lease("n1", 4, 15.0))

    def test_own_name_in_a_row_that_went_back_is_not_taken_over_at_once(self) -> None:
        state = LeaseState("n1")
        state.observe(9, Lease("n2", 4, 15.0), 100.0)
        state.observe(5, Lease("n1", 3, 15.0), 101.0)
        self.assertIsNot(state.next_step(102.0, True).kind, StepKind.ACQUIRE)
        self.assertEqual(state.next_step(116.6, True).lease, Lease("n1", 5, 15.0))

    def test_paused_holder_stops_by_itself(self) -> None:
        state = LeaseState("n1")
        state.observe(0, None, 100.0)
        state.start_write(state.next_step(100.0, True), 100.0)
        state.write_done(1, 101.0)
        self.assertEqual(state.held(114.4), 1)
        self.assertIsNone(state.held(114.5))

    def test_damaged_row_does_not_block_the_lease(self) -> None:
        self.assertIsNone(decode_lease(b'{"holder":"x","token":1,"duration_s":1e8}'))
        self.assertIsNone(decode_lease(b"{"))


class TestKeeper(unittest.TestCase):
    """Guards against calls to the store without need, and leases not handed over."""

    def test_release_lost_response_and_outage(self) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            store = MemoryFeedStore()
            wanted: dict[str, set[str]] = {"n1": {"a"}, "n2": set()}
            keepers = {
                node: LeaseKeeper(
                    store, node, partial(wanted.__getitem__, node), loop.time
                )
                for node in wanted
            }
            tasks = [asyncio.create_task(x.run()) for x in keepers.values()]
            store.responses_to_lose = 1
            await asyncio.sleep(2.0)
            self.assertEqual(keepers["n1"].held("a"), 1)
            calls = store.call_count
            await asyncio.sleep(40.0)
            self.assertLessEqual(store.call_count - calls, 10)
            store.set_down(True)
            await asyncio.sleep(9.0)
            self.assertEqual(keepers["n1"].held("a"), 1)
            await asyncio.sleep(6.0)
            self.assertIsNone(keepers["n1"].held("a"))
            store.set_down(False)
            await asyncio.sleep(2.0)
            self.assertEqual(keepers["n1"].held("a"), 1)
            wanted["n2"] = {"a"}
            await asyncio.sleep(1.0)
            self.assertEqual(keepers["n2"].holder_hint("a"), "n1")
            wanted["n1"] = set()
            await asyncio.sleep(5.0)
            self.assertIsNone(keepers["n1"].held("a"))
            self.assertEqual(keepers["n2"].held("a"), 2)
            row = store.tables[LEASE_TABLE]["a"]
            self.assertEqual(row.value, encode_lease(Lease("n2", 2, 15.0)))
            for task in tasks:
                task.cancel()

        run_simulated(run())


class TestRestoredStore(unittest.TestCase):
    """Two holders after the store has come back from a copy without the row."""

    def acquire(self, state: LeaseState, now_s: float) -> int:
        """Acquire the lease on a store without its row; return the token."""
        state.observe(0, None, now_s)
        step = state.next_step(now_s, is_candidate=True)
        self.assertIs(step.kind, StepKind.ACQUIRE)
        state.start_write(step, now_s)
        state.write_done(7, now_s)
        token = state.held(now_s)
        assert token is not None
        return token

    def test_holder_stops_until_it_has_written_the_row_again(self) -> None:
        state = LeaseState("n1", era=1)
        before = self.acquire(state, 0.0)
        state.begin_era(2, 1.0)
        self.assertIsNone(state.held(1.0))
        self.assertIs(state.next_step(1.0, is_candidate=True).kind, StepKind.READ)
        # A lower token than that of the lost row would be taken for an old holder's.
        self.assertGreater(self.acquire(state, 1.1), before)

    def test_holder_whose_lease_has_run_out_waits_like_others(self) -> None:
        # Another node may have taken the lease since, and the copy may not show it.
        state = LeaseState("n1", era=1)
        token = self.acquire(state, 0.0)
        state.begin_era(2, 20.0)
        state.observe(7, Lease("n1", token, 15.0), 20.1)
        step = state.next_step(20.1, is_candidate=True)
        self.assertIsNot(step.kind, StepKind.ACQUIRE)

    def test_write_that_meets_a_new_era_is_read_again(self) -> None:
        state = LeaseState("n1", era=1)
        state.observe(0, None, 0.0)
        state.start_write(state.next_step(0.0, is_candidate=True), 0.0)
        state.begin_era(2, 0.1)
        state.write_done(7, 0.2)
        self.assertIsNone(state.held(0.2))

    def test_others_wait_for_the_lost_lease_to_run_out(self) -> None:
        state = LeaseState("n2", era=1)
        state.begin_era(2, 1.0)
        for now_s in (1.0, 8.0, 16.4):
            state.observe(0, None, now_s)
            step = state.next_step(now_s, is_candidate=True)
            self.assertIsNot(step.kind, StepKind.ACQUIRE)
        state.observe(0, None, 16.6)
        step = state.next_step(16.6, is_candidate=True)
        self.assertIs(step.kind, StepKind.ACQUIRE)


if __name__ == "__main__":
    unittest.main()
