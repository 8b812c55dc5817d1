"""Messages between nodes, their wire format and their transport."""

from gypsumlock.peering.messages import Report, SurveyEntry
from gypsumlock.peering.transport import GrpcTransport, PeerTransport

__all__ = ["GrpcTransport", "PeerTransport", "Report", "SurveyEntry"]
