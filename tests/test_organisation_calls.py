"""Calls with API keys through real nodes."""

from __future__ import annotations

import unittest
from dataclasses import replace

from loguru import logger

from gypsumlock.mesh.model import MeshConfig, Organisation
from gypsumlock.organisations import digest_key
from tests.standins.mesh_fleet import MeshFleet, make_config

KEY = "k-secret-0123456789"
OTHER_KEY = "k-secret-9876543210"


def bearer(key: str = KEY) -> dict[str, str]:
    """Return the headers of a request with a key."""
    return {"Authorization": f"Bearer {key}"}


def make_organisation(
    name: str = "acme", key: str = KEY, rank: int | None = None
) -> Organisation:
    """Return an organisation with one key."""
    return Organisation(name, (digest_key(key.encode()),), rank)


def make_keyed_config(
    version: int = 1, *organisations: Organisation, timeout_s: float = 2.0
) -> MeshConfig:
    """Return a version with organisations, and a public route in addition."""
    config = make_config(version, timeout_s=timeout_s)
    public = replace(config.routes[0], name="open", prefix="/open/", public=True)
    return replace(
        config,
        routes=(*config.routes, public),
        organisations=organisations or (make_organisation(),),
    )


class TestHeaders(unittest.IsolatedAsyncioTestCase):
    """What clients are answered, and what upstreams are sent."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(MeshFleet())
        self.host = await self.fleet.add("n1")

    async def start(self, config: MeshConfig) -> None:
        """Put a configuration in force."""
        self.fleet.configure(config)
        await self.fleet.wait_until_ready()

    async def sent_headers(
        self, path: str, headers: dict[str, str]
    ) -> tuple[int, bytes | None, bytes | None]:
        """Return the status of a call, and the two headers that the upstream saw."""
        status = (await self.fleet.call(self.host, path, headers=headers)).status
        if not self.host.upstream.calls:
            return status, None, None
        received = self.host.upstream.calls.pop().headers
        return status, received.get(b"tenant"), received.get(b"authorization")

    async def test_organisation_is_set_by_the_node(self) -> None:
        await self.start(make_keyed_config())
        forged = {"Tenant": "forged"}
        for path, headers, expected in (
            ("/search/x", bearer(), (200, b"acme", None)),
            ("/search/x", bearer() | forged, (200, b"acme", None)),
            ("/search/x", bearer("unknown") | forged, (401, None, None)),
            ("/search/x", forged, (401, None, None)),
            ("/open/x", bearer(), (200, b"acme", None)),
            ("/open/x", bearer("unknown") | forged, (200, None, None)),
            ("/open/x", forged, (200, None, None)),
        ):
            with self.subTest(path=path, headers=headers):
                self.assertEqual(await self.sent_headers(path, headers), expected)

    async def test_rank_of_the_organisation_goes_before_that_of_the_route(self) -> None:
        lines: list[str] = []
        handler = logger.add(lines.append, level=0, serialize=True)
        self.addCleanup(logger.remove, handler)
        await self.start(make_keyed_config(1, make_organisation(rank=3)))
        for headers, rank in ((bearer(), 3), ({}, 1)):
            lines.clear()
            await self.fleet.call(self.host, "/open/x", headers=headers)
            ranked = [line for line in lines if '"rank"' in line]
            # The owner, and the dispatcher.
            self.assertEqual(len(ranked), 2)
            self.assertTrue(all(f'"rank": {rank}' in line for line in ranked))

    async def test_nothing_changes_without_organisations(self) -> None:
        await self.start(make_config())
        headers = bearer() | {"Tenant": "from-client"}
        expected = (200, b"from-client", f"Bearer {KEY}".encode())
        self.assertEqual(await self.sent_headers("/search/x", headers), expected)

    async def test_node_without_a_configuration_answers_503(self) -> None:
        response = await self.fleet.call(self.host, headers=bearer())
        self.assertEqual(response.status, 503)

    async def test_new_version_applies_to_an_open_connection(self) -> None:
        # The client's pool keeps the connection open between the calls.
        await self.start(make_keyed_config(1))
        self.assertEqual(
            (await self.fleet.call(self.host, headers=bearer())).status, 200
        )
        accepted = len(self.host.node.call_server.connections)
        organisation = make_organisation("acme", OTHER_KEY)
        self.host.node.feed.apply_config(make_keyed_config(2, organisation), "test")
        self.assertEqual(
            (await self.fleet.call(self.host, headers=bearer())).status, 401
        )
        response = await self.fleet.call(self.host, headers=bearer(OTHER_KEY))
        self.assertEqual(response.status, 200)
        self.assertEqual(len(self.host.node.call_server.connections), accepted)
