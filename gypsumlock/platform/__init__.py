"""Adapter to the users' platform: names, message formats and protocols.

The users' platform is the environment in which nodes are deployed. It provides each
node with a settings file and a metadata store, which holds the operator's
configuration; upstreams send heartbeats in its format.

The adapter only translates and makes no decisions. Each message of the platform is
decoded once, here, into types of `gypsumlock.mesh`; no code outside this package
depends on the platform's message formats.
"""
