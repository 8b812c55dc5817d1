"""Stand-ins for what surrounds a node: platform, upstreams, network, fleet."""
