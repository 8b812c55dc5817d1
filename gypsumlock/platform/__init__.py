"""Adapter to the users' platform: names, formats and calls, and no decisions.

Everything that arrives in the platform's words is decoded here, once, into types
of `gypsumlock.mesh` and `gypsumlock.store`; nothing outside this folder knows how
a message of the platform is spelled.
"""
