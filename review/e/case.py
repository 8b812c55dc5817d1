"""A client sends a large body within the limits; nodes run out of memory."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.standins.fleet import (
    Client,
    Fleet,
    enforce_memory_limit,
    main,
    route,
    send_while_kept,
    trouble_enabled,
)

MAX_BODY_BYTES = 67_108_864
LARGE_BODY_BYTES = 60_000_000
SMALL_BODY_BYTES = 24_000
CLIENTS_PER_NODE = 8
# Time between the starts of two clients of a node, in seconds.
START_INTERVAL_S = 0.2
# Requests on kept connections to sound servers that may end without an answer.
ALLOWED_LOST = 3


async def run_case() -> bool:
    """Play the case; return whether the rule held."""
    async with Fleet(Path(__file__).with_name("record.txt")) as fleet:
        fleet.configure(
            3, [route("sheets", "rounds"), route("photos", "photos", timeout_s=8.0)]
        )
        sheets = fleet.add_node("one", "rounds")
        photos = fleet.add_node("two", "photos")
        servers = [
            await fleet.add_server(sheets, "i-one"),
            await fleet.add_server(photos, "i-two"),
        ]
        for node in fleet.nodes:
            await node.wait_until_ready()
            await fleet.wait_until_served(node, "/sheets/x")
            await fleet.wait_until_served(node, "/photos/x")
        servers[0].work_s = 0.5
        await asyncio.sleep(4.0)
        watches = [
            asyncio.create_task(enforce_memory_limit(fleet, node))
            for node in fleet.nodes
        ]
        end_s = time.monotonic() + 8.0
        unanswered: list[str] = []
        senders = []
        for _ in range(CLIENTS_PER_NODE):
            senders.extend(
                asyncio.create_task(
                    send_while_kept(fleet, node, "/sheets/x", end_s, unanswered)
                )
                for node in fleet.nodes
            )
            await asyncio.sleep(START_INTERVAL_S)
        size = LARGE_BODY_BYTES if trouble_enabled() else SMALL_BODY_BYTES
        fleet.log(f"a client sends {size} bytes; the limit is {MAX_BODY_BYTES}")
        client = Client(sheets.listen["outbound"])
        await fleet.call(
            client, "/photos/x", "POST", deadline_ms=8000, body=b"x" * size
        )
        await asyncio.gather(*senders)
        for watch in watches:
            watch.cancel()
        runs = {run[0] for server in servers for run in server.runs}
        lost = runs & set(unanswered)
        fleet.log(f"{len(lost)} requests that a sound server ran got no answer")
        return len(lost) <= ALLOWED_LOST


if __name__ == "__main__":
    main(run_case)
