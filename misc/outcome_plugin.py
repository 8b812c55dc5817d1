"""A nose2 plugin that records whether each test passed."""

from __future__ import annotations

from typing import Any, ClassVar

from nose2.events import Plugin

__all__ = ["OutcomePlugin"]


class OutcomePlugin(Plugin):  # type: ignore[misc]
    """Collects outcomes by test id; a failed set-up counts as a failed test."""

    configSection = "outcomes"  # noqa: N815
    alwaysOn = True  # noqa: N815

    # True for each test that passed, by test id.
    outcomes: ClassVar[dict[str, bool]] = {}

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Record the outcome of one test or subtest; called by nose2."""
        # The id of a subtest is that of its test, followed by a space and parameters.
        test_id = str(event.test.id()).split()[0]
        passed = event.outcome == "passed" or event.exc_info is None
        self.outcomes[test_id] = self.outcomes.get(test_id, True) and passed
