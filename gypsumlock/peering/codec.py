"""Converts typed messages to protobuf messages and back."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumlock.membership.member import Member, MemberStatus, UpstreamState
from gypsumlock.model import VersionRef
from gypsumlock.peering import mesh_pb2 as wire
from gypsumlock.peering.messages import Report, SurveyEntry

__all__ = [
    "members_from_wire",
    "members_to_wire",
    "ref_from_wire",
    "ref_to_wire",
    "report_from_wire",
    "report_to_wire",
    "survey_from_wire",
    "survey_to_wire",
]


def ref_to_wire(ref: VersionRef) -> wire.VersionRef:
    """Convert a version reference to protobuf."""
    return wire.VersionRef(version=ref.version, digest=ref.digest)


def ref_from_wire(message: wire.VersionRef) -> VersionRef:
    """Convert a version reference from protobuf."""
    return VersionRef(message.version, message.digest)


def members_to_wire(members: Iterable[Member]) -> list[wire.Member]:
    """Convert member records to protobuf."""
    return [_member_to_wire(member) for member in members]


def members_from_wire(messages: Iterable[wire.Member]) -> list[Member]:
    """Convert member records from protobuf.

    Skips records with an unknown status or upstream state.
    """
    return [
        _member_from_wire(message)
        for message in messages
        if message.status in _KNOWN_STATUSES
        and message.upstream in _KNOWN_UPSTREAM_STATES
    ]


def report_to_wire(report: Report) -> wire.Report:
    """Convert a heartbeat to protobuf."""
    return wire.Report(
        sender=report.sender,
        held=ref_to_wire(report.held),
        in_force_version=report.in_force_version,
        members_digest=report.members_digest,
        members=members_to_wire(report.members),
        witness=report.witness,
        regular=report.regular,
    )


def report_from_wire(message: wire.Report) -> Report:
    """Convert a heartbeat from protobuf."""
    return Report(
        sender=message.sender,
        held=ref_from_wire(message.held),
        in_force_version=message.in_force_version,
        members_digest=message.members_digest,
        members=members_from_wire(message.members),
        witness=message.witness,
        regular=message.regular,
    )


def survey_to_wire(entries: Iterable[SurveyEntry]) -> wire.SurveyReply:
    """Convert the entries of a survey to protobuf."""
    return wire.SurveyReply(
        entries=[
            wire.SurveyEntry(
                address=entry.address,
                in_force_version=entry.in_force_version,
                held_version=entry.held_version,
                reachable=entry.reachable,
                code=entry.code,
            )
            for entry in entries
        ]
    )


def survey_from_wire(reply: wire.SurveyReply) -> list[SurveyEntry]:
    """Convert the entries of a survey from protobuf."""
    return [
        SurveyEntry(
            address=entry.address,
            in_force_version=entry.in_force_version,
            held_version=entry.held_version,
            reachable=entry.reachable,
            code=entry.code,
        )
        for entry in reply.entries
    ]


_KNOWN_STATUSES = frozenset(status.value for status in MemberStatus)
_KNOWN_UPSTREAM_STATES = frozenset(state.value for state in UpstreamState)


def _member_to_wire(member: Member) -> wire.Member:
    return wire.Member(
        address=member.address,
        incarnation=member.incarnation,
        sequence=member.sequence,
        status=wire.MemberStatus.Name(member.status.value),
        zone=member.zone,
        region=member.region,
        call_address=member.call_address,
        service=member.service,
        slots=member.slots,
        upstream=wire.UpstreamState.Name(member.upstream.value),
        serving_since_s=member.serving_since_s,
    )


def _member_from_wire(message: wire.Member) -> Member:
    return Member(
        address=message.address,
        incarnation=message.incarnation,
        sequence=message.sequence,
        status=MemberStatus(message.status),
        zone=message.zone,
        region=message.region,
        call_address=message.call_address,
        service=message.service,
        slots=message.slots,
        upstream=UpstreamState(message.upstream),
        serving_since_s=message.serving_since_s,
    )
