"""Tests of the allocation of ports to concurrent test processes."""

from __future__ import annotations

import unittest

from tests.standins.ports import PORTS_PER_BLOCK, PortAllocator


class TestPortAllocator(unittest.TestCase):
    """Two allocators never allocate the same port, whichever block they try first."""

    def create_allocator(self, first_block: int) -> PortAllocator:
        allocator = PortAllocator(first_block)
        self.addCleanup(allocator.close)
        return allocator

    def test_allocators_with_the_same_first_block_share_no_port(self) -> None:
        first, second = self.create_allocator(7), self.create_allocator(7)
        ports = [
            allocator.allocate()
            for allocator in (first, second) * (2 * PORTS_PER_BLOCK)
        ]
        self.assertEqual(len(ports), len(set(ports)))

    def test_closing_an_allocator_releases_its_block(self) -> None:
        allocator = self.create_allocator(9)
        port = allocator.allocate()
        allocator.close()
        self.assertEqual(self.create_allocator(9).allocate(), port)
