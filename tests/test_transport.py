"""Calls to peers that are cancelled, refused or never answered."""

from __future__ import annotations

import socket
import unittest

import anyio
from result import Err

from gypsumlock.model import EMPTY_REF
from gypsumlock.peering import GrpcTransport, Report
from gypsumlock.result_codes import ResultCode
from tests.standins.ports import free_ports

KEY = b"a key of no matter"
REPORT = Report("127.0.0.1:1", EMPTY_REF, 0, 0, [], False)
ROUNDS = 20


class TestGrpcTransport(unittest.IsolatedAsyncioTestCase):
    """Against a listener that accepts connections and says nothing."""

    def setUp(self) -> None:
        self.silent = socket.socket()
        self.silent.bind(("127.0.0.1", 0))
        self.silent.listen()
        self.addCleanup(self.silent.close)
        self.address = f"127.0.0.1:{self.silent.getsockname()[1]}"

    async def test_cancelled_call_ends_its_own_scope_only(self) -> None:
        transport = GrpcTransport(KEY)
        finished = 0

        async def call_until_stopped(scope: anyio.CancelScope) -> None:
            nonlocal finished
            with scope:
                await transport.exchange(self.address, REPORT, 5.0)
            finished += 1

        async with anyio.create_task_group() as tasks:
            for index in range(ROUNDS):
                scope = anyio.CancelScope()
                tasks.start_soon(call_until_stopped, scope)
                await anyio.sleep(0.002 * (index % 5))
                scope.cancel()
            await anyio.sleep(0.1)
            # Reached only if no cancellation leaked into the group.
            self.assertEqual(finished, ROUNDS)
        self.assertEqual(finished, ROUNDS)
        await transport.close()

    async def test_closed_transport_is_an_unreachable_peer(self) -> None:
        transport = GrpcTransport(KEY)
        async with anyio.create_task_group() as tasks:

            async def call() -> None:
                answer = await transport.exchange(self.address, REPORT, 5.0)
                assert isinstance(answer, Err)
                self.assertIs(answer.err_value.code, ResultCode.PEER_UNREACHABLE)

            tasks.start_soon(call)
            await anyio.sleep(0.05)
            await transport.close()

    async def test_silence_and_refusal_are_faults(self) -> None:
        transport = GrpcTransport(KEY)
        for address in (self.address, f"127.0.0.1:{free_ports(1)[0]}"):
            answer = await transport.exchange(address, REPORT, 0.2)
            assert isinstance(answer, Err)
            self.assertIs(answer.err_value.code, ResultCode.PEER_UNREACHABLE)
        await transport.close()
