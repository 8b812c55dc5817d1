"""Selection of upstreams, and the retry budget."""

from gypsumlock.routing.budget import RetryBudget
from gypsumlock.routing.chooser import UpstreamChooser
from gypsumlock.routing.endpoint_stats import EndpointStats, Outcome
from gypsumlock.routing.subset import select_subset

__all__ = [
    "EndpointStats",
    "Outcome",
    "RetryBudget",
    "UpstreamChooser",
    "select_subset",
]
