"""Entry point of `python -m gypsumlock.platform`: runs a node on the platform."""

from __future__ import annotations

import os
import sys

from gypsumlock.platform.daemon import main

exit_code = main()
sys.stdout.flush()
sys.stderr.flush()
# All calls have been answered and all connections closed. An orderly shutdown of the
# interpreter would take time that the grace period may not have left.
os._exit(exit_code)
