"""Tests calls to peers that are cancelled, refused or never answered."""

from __future__ import annotations

import socket
import unittest

import anyio
from result import Err

from gypsumlock.model import EMPTY_REF
from gypsumlock.peering import GrpcTransport, Report
from gypsumlock.result_codes import ResultCode
from tests.standins.ports import free_ports

FLEET_KEY = b"any fleet key"
HEARTBEAT = Report("127.0.0.1:1", EMPTY_REF, 0, 0, [], False)
CALL_COUNT = 20


class TestGrpcTransport(unittest.IsolatedAsyncioTestCase):
    """Calls to a listener that accepts connections and never replies."""

    def setUp(self) -> None:
        self.silent_listener = socket.socket()
        self.silent_listener.bind(("127.0.0.1", 0))
        self.silent_listener.listen()
        self.addCleanup(self.silent_listener.close)
        self.address = f"127.0.0.1:{self.silent_listener.getsockname()[1]}"

    async def test_cancelled_call_ends_its_own_scope_only(self) -> None:
        transport = GrpcTransport(FLEET_KEY)
        finished = 0

        async def call_until_cancelled(scope: anyio.CancelScope) -> None:
            nonlocal finished
            with scope:
                await transport.exchange(self.address, HEARTBEAT, 5.0)
            finished += 1

        async with anyio.create_task_group() as tasks:
            for index in range(CALL_COUNT):
                scope = anyio.CancelScope()
                tasks.start_soon(call_until_cancelled, scope)
                await anyio.sleep(0.002 * (index % 5))
                scope.cancel()
            await anyio.sleep(0.1)
            # Not reached if a cancellation propagates into the task group.
            self.assertEqual(finished, CALL_COUNT)
        self.assertEqual(finished, CALL_COUNT)
        await transport.close()

    async def test_close_during_a_call_returns_peer_unreachable(self) -> None:
        transport = GrpcTransport(FLEET_KEY)
        async with anyio.create_task_group() as tasks:

            async def call() -> None:
                reply = await transport.exchange(self.address, HEARTBEAT, 5.0)
                assert isinstance(reply, Err)
                self.assertIs(reply.err_value.code, ResultCode.PEER_UNREACHABLE)

            tasks.start_soon(call)
            await anyio.sleep(0.05)
            await transport.close()

    async def test_timeout_and_refused_connection_return_peer_unreachable(self) -> None:
        transport = GrpcTransport(FLEET_KEY)
        for address in (self.address, f"127.0.0.1:{free_ports(1)[0]}"):
            reply = await transport.exchange(address, HEARTBEAT, 0.2)
            assert isinstance(reply, Err)
            self.assertIs(reply.err_value.code, ResultCode.PEER_UNREACHABLE)
        await transport.close()
