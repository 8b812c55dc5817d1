"""Stand-ins of the platform, servers and clients for the cases of the second review."""
