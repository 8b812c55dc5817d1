"""Adapter to the users' platform: names, message formats and protocols.

The adapter only translates and makes no decisions. Each message of the platform is
decoded once, here, into types of `gypsumlock.mesh`; no code outside this package
depends on the platform's message formats.
"""
