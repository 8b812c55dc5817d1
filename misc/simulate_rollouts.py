"""Simulates roll-outs of good and bad versions, and prints how many end as they should.

Usage: python -m misc.simulate_rollouts SEEDS [CASE ...]

Runs `tests.standins.rollout_simulation` with the sizes of the users, on three
processes.
"""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import dataclass
from multiprocessing import Pool

from loguru import logger

from gypsumlock.mesh.model import RolloutPhase
from tests.standins.rollout_simulation import (
    BOUNDS,
    Answering,
    Quality,
    RolloutSimulation,
    good,
)

PROCESSES = 3
DURATIONS_S = (12.0, 16.0)
# Upstreams of each version, calls per second, and routes.
SERVICES = ((29, 270.0, 10), (23, 200.0, 6), (16, 150.0, 10), (5, 60.0, 4))
FAULTY_MACHINE = "faulty machine"
COUNTED_BAD = 50


@dataclass(frozen=True, slots=True)
class Case:
    """A quality: shares of errors and slow answers where its conditions hold."""

    errors: float = 0.0
    slowness: float = 1.0
    slow_share: float = 1.0
    from_s: float = 0.0
    route: int | None = None
    load: float = 0.0

    def quality(self, answering: Answering) -> tuple[bool, float]:
        """Return whether an answer is an error, and how much slower it is."""
        if (
            answering.age_s < self.from_s
            or answering.load < self.load
            or self.route not in (None, answering.route)
        ):
            return good(answering)
        if answering.rng.random() < self.errors:
            return True, 1.0
        is_slow = answering.rng.random() < self.slow_share
        return False, self.slowness if is_slow else 1.0


CASES: dict[str, Case | None] = {
    "good": None,
    FAULTY_MACHINE: None,
    "errors 0.15": Case(0.15),
    "errors 0.3": Case(0.3),
    "errors 1": Case(1.0),
    "slow 5": Case(slowness=5.0),
    "slow 4 in 0.4": Case(slowness=4.0, slow_share=0.4),
    "errors 0.3 from 3 s": Case(0.3, from_s=3.0),
    "slow 5 in 0.6 from 4 s": Case(slowness=5.0, slow_share=0.6, from_s=4.0),
    "errors 0.4 on a route": Case(0.4, route=3),
    "slow 5 on a route": Case(slowness=5.0, route=3),
    "errors 0.5 on a route from 3 s": Case(0.5, route=3, from_s=3.0),
    "errors 0.4 under load": Case(0.4, load=0.6),
}


@dataclass(frozen=True, slots=True)
class Run:
    """The end of one roll-out."""

    phase: RolloutPhase
    # Calls of the new version beyond the allowance, as a share of all.
    exposure: float
    # Calls of the new version after the bound on the time of a rollback.
    late_calls: int
    refused: int
    ended_at_s: float


def simulate(key: tuple[int, float, int, float, str, int]) -> Run:
    """Run one roll-out: upstreams, calls per second, routes, duration, case, seed."""
    logger.remove()
    upstreams, rate_per_s, routes, duration_s, name, seed = key
    case = CASES[name]
    quality: Quality = case.quality if case is not None else good
    run = RolloutSimulation(upstreams, rate_per_s, quality, duration_s, seed, routes)
    if name == FAULTY_MACHINE:
        faulty = run.trial_nodes()[0]

        def fail_on_one(answering: Answering) -> tuple[bool, float]:
            is_faulty = answering.node is faulty
            if is_faulty and answering.rng.random() < 0.8:
                return True, 1.0
            return good(answering)

        run.quality = fail_on_one
    run.run()
    late_calls = 0
    if len(run.bad_at_s) >= COUNTED_BAD:
        end_s = run.bad_at_s[COUNTED_BAD - 1] + BOUNDS.rollback_s
        late_calls = sum(at_s > end_s for at_s in run.exposed_at_s)
    exposure = (run.exposed - BOUNDS.canary_allowance) / run.calls
    return Run(run.phase, exposure, late_calls, run.refused, run.ended_at_s)


def is_right(name: str, run: Run) -> bool:
    """Return whether a roll-out ended as it should, within the bounds."""
    if CASES[name] is None:
        return run.phase is RolloutPhase.COMPLETED
    return (
        run.phase is RolloutPhase.ROLLED_BACK
        and run.exposure <= BOUNDS.canary_share
        and run.late_calls == 0
    )


def main() -> None:
    """Print a line for each case."""
    seeds = int(sys.argv[1])
    with Pool(PROCESSES) as pool:
        for upstreams, rate_per_s, routes in SERVICES:
            for duration_s in DURATIONS_S:
                for name in sys.argv[2:] or CASES:
                    keys = [
                        (upstreams, rate_per_s, routes, duration_s, name, seed)
                        for seed in range(seeds)
                    ]
                    runs = pool.map(simulate, keys, chunksize=1)
                    phases = Counter(run.phase.value for run in runs)
                    right = sum(is_right(name, run) for run in runs)
                    print(
                        f"{upstreams} upstreams, {rate_per_s:.0f}/s,"
                        f" {duration_s:.0f} s, {name}: {right}/{seeds} right,"
                        f" {dict(phases)},"
                        f" exposure {max(run.exposure for run in runs):.3f},"
                        f" late {max(run.late_calls for run in runs)},"
                        f" refused {sum(run.refused for run in runs)},"
                        f" ended by {max(run.ended_at_s for run in runs):.1f} s",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
