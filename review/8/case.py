"""The store turns two machines of a zone away, and a third keeps an old version."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standins_2.case import CannotRun, Case, route, run_case

CONFIG_APPLY_S = 2.0
NODES = 3
# Time for which the store turns machines away, and the time to settle before that.
TURNED_AWAY_S = 4.5
SETTLE_S = 8.0
# Time in which it shows which nodes read the store.
OBSERVE_S = 6.0


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was kept."""
    for number in range(1, NODES + 1):
        proxy = await case.add_proxy()
        case.add_node(f"sidecar-brest-{number}", "huvo11a", proxy.address, zone="brest")
    routes = [route("r-1", "/lepu270/", "huvo11a")]
    case.configure(1, *routes)
    for node in case.nodes:
        node.start(first_start=True)
    for number, node in enumerate(case.nodes, 1):
        await case.add_server(node, f"i-{number}", int(time.time() * 1000))
    for node in case.nodes:
        await node.wait_until_ready()
        await case.wait_until_served(node, "/lepu270/2f")
    await asyncio.sleep(SETTLE_S)
    before = [proxy.sent_bytes() for proxy in case.proxies]
    await asyncio.sleep(OBSERVE_S)
    rest = [
        node
        for node, proxy, sent_bytes in zip(
            case.nodes, case.proxies, before, strict=True
        )
        if proxy.sent_bytes() == sent_bytes
    ]
    if len(rest) != 1:
        raise CannotRun(f"{len(rest)} nodes don't read the store")
    (follower,) = rest
    case.log(f"{follower.name} doesn't call the store, the others do")

    routes.append(route("r-2", "/xapu221/", "huvo11a"))
    case.configure(2, *routes)
    await asyncio.sleep(0.15)
    if case.trouble:
        for node, proxy in zip(case.nodes, case.proxies, strict=True):
            if node is not follower:
                proxy.cut()
                case.log(f"the store answers {node.name} no longer")
    cut_s = time.monotonic()
    await asyncio.sleep(0.25)
    routes.append(route("r-3", "/fiti832/", "huvo11a"))
    bound_s = case.configure(3, *routes) + CONFIG_APPLY_S
    case.log(f"bound: {case.since_start_s(bound_s):.3f}")
    late = 0
    served = 0
    while time.monotonic() < bound_s + 5:
        if time.monotonic() > cut_s + TURNED_AWAY_S:
            for proxy in case.proxies:
                proxy.heal()
        sent_s = time.monotonic()
        _, answer = await case.request(follower, "/fiti832/2f")
        served += answer is not None and answer.status == 200
        late += sent_s > bound_s and answer is not None and answer.status == 404
        await asyncio.sleep(0.05)
    if not served:
        raise CannotRun("the new route is never in force")
    case.log(f"{late} requests after the bound got 404 on the new route")
    return not late


run_case(play, Path(__file__).parent / "record.txt")
