"""A server sends an endless body in tiny chunks; its node runs out of memory."""

from __future__ import annotations

import asyncio
import contextlib
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
from review.standins.http import Message
from review.standins.server import AppServer

SOUND_CLIENTS = 8
# Time between the starts of two clients, in seconds.
START_INTERVAL_S = 0.13
# Requests on kept connections to sound servers that may end without an answer.
ALLOWED_LOST = 3
CHUNKS = b"2\r\nxx\r\n" * 9000


async def send_endless_chunks(
    server: AppServer, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answer the request for one page with chunks until the caller closes."""
    if not request.target.startswith("/endless/"):
        await server.answer(request, writer)
        return
    request_id = request.headers.get("request-id", "")
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(head.encode())
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(CHUNKS)
            await writer.drain()
    server.log(f"the node closed the endless answer to {request_id}")


async def run_case() -> bool:
    """Play the case; return whether the rule held."""
    async with Fleet(Path(__file__).with_name("record.txt")) as fleet:
        fleet.configure(
            3,
            [route("sheets", "rounds"), route("endless", "rounds", timeout_s=6.0)]
            + [route("orders", "orders")],
        )
        faulty_node = fleet.add_node("one", "rounds")
        sound_node = fleet.add_node("two", "orders")
        faulty = await fleet.add_server(faulty_node, "i-faulty")
        sound = await fleet.add_server(sound_node, "i-sound")
        sound.work_s = 0.5
        if trouble_enabled():
            faulty.behaviour = send_endless_chunks
        for node in fleet.nodes:
            await node.wait_until_ready()
            await fleet.wait_until_served(node, "/sheets/x")
            await fleet.wait_until_served(node, "/orders/x")
        await asyncio.sleep(3.0)
        watch = asyncio.create_task(enforce_memory_limit(fleet, faulty_node))
        end_s = time.monotonic() + 12.0
        unanswered: list[str] = []
        senders = []
        for _ in range(SOUND_CLIENTS):
            senders.append(
                asyncio.create_task(
                    send_while_kept(fleet, faulty_node, "/orders/x", end_s, unanswered)
                )
            )
            await asyncio.sleep(START_INTERVAL_S)
        client = Client(faulty_node.listen["outbound"])
        await fleet.call(client, "/endless/x", deadline_ms=8000)
        await asyncio.gather(*senders)
        watch.cancel()
        # Passed on to the sound server, and ended without an answer.
        lost = {run[0] for run in sound.runs} & set(unanswered)
        fleet.log(f"{len(lost)} requests that the sound server ran got no answer")
        return len(lost) <= ALLOWED_LOST


if __name__ == "__main__":
    main(run_case)
