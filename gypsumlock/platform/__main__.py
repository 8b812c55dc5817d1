"""Entry point of `python -m gypsumlock.platform`: runs a node on the platform."""

from __future__ import annotations

import gc
import os
import signal
import sys

# The settings are read later than this, so that a change that is signalled before is
# seen; without a handler the signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# What the imports allocate lives as long as the process; collections that look through
# it only make the start longer.
gc.disable()

from gypsumlock.platform.daemon import main  # noqa: E402

gc.freeze()
gc.enable()

exit_code = main()
sys.stdout.flush()
sys.stderr.flush()
# All calls have been answered and all connections closed. An orderly shutdown of the
# interpreter would take time that the grace period may not have left.
os._exit(exit_code)
