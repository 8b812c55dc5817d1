"""Tests of Gypsumlock, with one test class per subject."""
