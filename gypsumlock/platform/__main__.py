"""Starts a node on the users' platform."""

from __future__ import annotations

import sys

from gypsumlock.platform.daemon import main

sys.exit(main())
