"""Composition root: builds a node from its options and secrets.

This is the only module that depends on every component. It constructs and connects
them, and contains no other logic.
"""

from __future__ import annotations

import random
import time

from gypsumlock.admission import (
    ConcurrencyLimit,
    FifoPolicy,
    Gate,
    QueuePolicy,
    RankedPolicy,
    StrictPolicy,
)
from gypsumlock.blackboard import Board
from gypsumlock.controller import Controller
from gypsumlock.distribution import (
    Acceptor,
    ActivationController,
    FetchController,
    HeadPollController,
    History,
    PauseController,
    RecoveryController,
    SnapshotReader,
    TableController,
)
from gypsumlock.local_app import LocalApp
from gypsumlock.membership import Member, MemberStatus, MemberView
from gypsumlock.membership.announcements import AnnouncementController
from gypsumlock.membership.bootstrap import BootstrapController
from gypsumlock.membership.detector import FailureDetectorController
from gypsumlock.membership.links import LinkController
from gypsumlock.metrics import Metrics
from gypsumlock.model import NodeIdentity
from gypsumlock.operator import ChangeHandlers, OperatorApp, QueryHandlers
from gypsumlock.options import Options
from gypsumlock.peering import GrpcTransport
from gypsumlock.peering.server import PeerServer
from gypsumlock.proxy import (
    CallApp,
    ContextSigner,
    Http1ConnectionPool,
    InboundProxy,
    OutboundProxy,
)
from gypsumlock.proxy.upkeep import CleanupController, SlotsController
from gypsumlock.routing import UpstreamChooser
from gypsumlock.settings import Secrets
from gypsumlock.store import HttpPlatform, MemoryPlatform, Platform

__all__ = ["Node", "build_node"]


class Node:
    """The components of one node, connected but not started."""

    __slots__ = (
        "board",
        "call_app",
        "controllers",
        "local_app",
        "operator_app",
        "options",
        "peer_server",
        "platform",
        "pool",
        "transport",
    )

    def __init__(self, options: Options, secrets: Secrets) -> None:
        self.options = options
        self.board = _make_board(options)
        self.platform = _make_platform(options)
        self.transport = GrpcTransport(secrets.fleet_key)
        self.pool = Http1ConnectionPool()
        metrics = Metrics()
        reader = SnapshotReader(self.board, self.platform)
        history = History(self.platform, reader)
        gate = _make_gate(options)
        chooser = UpstreamChooser(self.board.node, random.Random())
        signer = ContextSigner(secrets.fleet_key)
        inbound = InboundProxy(self.board, gate, self.pool, signer, metrics)
        outbound = OutboundProxy(
            self.board, inbound, chooser, self.pool, signer, metrics
        )
        self.call_app = CallApp(self.board, outbound, inbound, signer)
        self.local_app = LocalApp(self.board, metrics)
        self.operator_app = OperatorApp(
            secrets.operator_token,
            QueryHandlers(self.board, history, self.transport, metrics),
            ChangeHandlers(
                self.board, Acceptor(self.platform, reader, self.board), history
            ),
        )
        self.peer_server = PeerServer(
            self.board, self.transport, options.membership, secrets.fleet_key
        )
        self.controllers: list[Controller] = [
            PauseController(self.board),
            LinkController(self.board, self.transport, options.membership),
            FailureDetectorController(self.board, self.transport, options.membership),
            BootstrapController(
                self.board, self.platform, self.transport, options.membership
            ),
            AnnouncementController(self.board, options.membership.announce_silence_s),
            HeadPollController(
                self.board, self.platform, options.platform.fleet_head_reads_per_s
            ),
            FetchController(self.board, self.transport, self.platform),
            RecoveryController(self.board),
            ActivationController(self.board, metrics),
            TableController(self.board),
            SlotsController(self.board, gate),
            CleanupController(self.board, self.pool, chooser),
        ]


def build_node(options: Options, secrets: Secrets) -> Node:
    """Return a node whose components are connected but not started.

    Parameters
    ----------
    options : Options
        Validated settings.
    secrets : Secrets
        Fleet key and operator token, read from files.
    """
    return Node(options, secrets)


def _make_board(options: Options) -> Board:
    address = options.advertise.peers or options.listen.peers
    call_address = options.advertise.calls or options.listen.calls
    identity = NodeIdentity(
        address=address,
        call_address=call_address,
        zone=options.zone,
        region=options.region,
        instance=options.instance,
    )
    own_member = Member(
        address=address,
        # Start time in milliseconds: higher after each restart, unless the clock
        # was set back.
        incarnation=int(time.time() * 1000),
        sequence=0,
        status=MemberStatus.ALIVE,
        zone=options.zone,
        region=options.region,
        call_address=call_address,
    )
    return Board(identity, MemberView(own_member))


def _make_platform(options: Options) -> Platform:
    if options.platform.url == "memory":
        return MemoryPlatform()
    return HttpPlatform(options.platform.url, options.platform.timeout_s)


def _make_gate(options: Options) -> Gate:
    policies: dict[str, type[QueuePolicy]] = {
        "ranked": RankedPolicy,
        "strict": StrictPolicy,
        "fifo": FifoPolicy,
        "none": FifoPolicy,
    }
    policy = policies[options.admission.policy]()
    if options.admission.policy == "none":
        return Gate(None, policy)
    # Initial limit; the first announcement of the local upstream sets the number of
    # slots.
    return Gate(ConcurrencyLimit(1, options.admission.latency_tolerance), policy)
