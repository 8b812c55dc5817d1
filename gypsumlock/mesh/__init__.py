"""Mesh node for a platform whose store holds configuration and service discovery."""
