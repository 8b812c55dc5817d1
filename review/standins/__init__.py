"""Stand-ins for the users' platform, servers and clients, for the review's cases."""
