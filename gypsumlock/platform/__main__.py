"""Starts a node on the users' platform."""

from __future__ import annotations

import os
import sys

from gypsumlock.platform.daemon import main

code = main()
sys.stdout.flush()
sys.stderr.flush()
# Everything is answered and closed; taking the interpreter down orderly costs time
# that the grace period may not have left.
os._exit(code)
