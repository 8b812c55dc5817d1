"""Stand-ins for a node's environment: platform, upstreams, network and fleet."""
