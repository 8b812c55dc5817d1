"""A mesh node on a platform that keeps configuration and discovery in its store."""
