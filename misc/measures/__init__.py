"""Measurements; each is a generator function that yields figures."""

from misc.measures.figure import Figure

__all__ = ["Figure"]
