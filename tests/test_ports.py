"""Ports for test processes that run beside each other."""

from __future__ import annotations

import unittest

from tests.standins.ports import PORTS_PER_BLOCK, PortAllocator


class TestPortBlocks(unittest.TestCase):
    """Two owners never hand out the same port, wherever they begin."""

    def owner(self, first_block: int) -> PortAllocator:
        blocks = PortAllocator(first_block)
        self.addCleanup(blocks.close)
        return blocks

    def test_owners_that_begin_at_one_block_share_no_port(self) -> None:
        one, two = self.owner(7), self.owner(7)
        taken = [blocks.allocate() for blocks in (one, two) * (2 * PORTS_PER_BLOCK)]
        self.assertEqual(len(taken), len(set(taken)))

    def test_a_block_is_free_again_once_its_owner_is_gone(self) -> None:
        one = self.owner(9)
        first = one.allocate()
        one.close()
        self.assertEqual(self.owner(9).allocate(), first)
