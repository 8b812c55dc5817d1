"""A server leaves, its node is killed twice, and a late heartbeat arrives."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

from review.standins.fleet import Client, Fleet, Node, main, route, trouble_enabled
from review.standins.server import send_to_control

DRAIN_S = 2.0
STABLE_S = 3.0
RESTART_DELAY_S = 0.5
# How long the nodes run between the two kills.
BETWEEN_KILLS_S = 1.5
CLIENTS_PER_NODE = 2


async def send_requests(fleet: Fleet, node: Node, end_s: float) -> None:
    """Send requests at a node that is in touch all the while."""
    client = Client(node.listen["outbound"])
    while time.monotonic() < end_s:
        await fleet.call(client, "/sheets/x")
        await asyncio.sleep(0.05)
    client.close()


async def run_case() -> bool:
    """Play the case; return whether the rule held."""
    async with Fleet(Path(__file__).with_name("record.txt")) as fleet:
        fleet.configure(3, [route("sheets", "rounds")])
        servers = []
        for name in ("one", "two"):
            node = fleet.add_node(name, "rounds")
            servers.append(await fleet.add_server(node, f"i-{name}"))
        for node in fleet.nodes:
            await node.wait_until_ready()
            await fleet.wait_until_served(node, "/sheets/x")
        await asyncio.sleep(STABLE_S + 0.5)
        leaving, node = servers[0], fleet.nodes[0]
        # Sent now, and delayed on its way for some seconds.
        late_beat = leaving.next_heartbeat()
        leaving.stop_heartbeats()
        leaving.leaving = True
        body = json.dumps({"born": leaving.born_ms}).encode()
        status = await leaving.tell("Deregister", body)
        acknowledged_s = time.monotonic()
        fleet.log(f"server {leaving.instance} deregisters: {status}")
        if status != 200:
            raise RuntimeError("the deregistration was not acknowledged")
        for _ in range(2):
            if trouble_enabled():
                node.kill()
                await asyncio.sleep(RESTART_DELAY_S)
                node.start()
                await node.wait_until_ready()
            await asyncio.sleep(BETWEEN_KILLS_S)
        late = await send_to_control(
            node.listen["control"], "Heartbeat", leaving.instance, late_beat
        )
        delay_s = time.monotonic() - acknowledged_s
        fleet.log(f"heartbeat from before, {delay_s:.1f} s late: {late}")
        await asyncio.sleep(max(0.0, STABLE_S - BETWEEN_KILLS_S))
        judged_from_s = time.monotonic()
        fleet.log(
            f"all nodes are in touch again, {judged_from_s - acknowledged_s:.1f} s"
        )
        end_s = judged_from_s + 3.0
        await asyncio.gather(
            *(
                send_requests(fleet, sender, end_s)
                for sender in fleet.nodes
                for _ in range(CLIENTS_PER_NODE)
            )
        )
        limit_s = max(judged_from_s, acknowledged_s + DRAIN_S)
        late_runs = [run for run in leaving.runs if run[2] > limit_s]
        fleet.log(f"{len(late_runs)} requests reached {leaving.instance} too late")
        return not late_runs


if __name__ == "__main__":
    main(run_case)
