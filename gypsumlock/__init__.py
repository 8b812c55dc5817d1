"""Configuration distribution for a service mesh.

The daemon is `gypsumlock.daemon`, the command line `gypsumlock.cli`. The
components that other projects can embed are listed in docs/LIBRARY.md.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
