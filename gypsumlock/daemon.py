"""`gypsumlockd`: one node beside one upstream instance.

Phases of the process:
1. Read and check the settings; exit with a numbered code if they are wrong.
2. Listen on all four addresses; exit if one is taken.
3. Run controllers and servers until SIGTERM or SIGINT.
4. Stop gracefully: tell the peers, refuse new work, finish what is in flight.
"""

from __future__ import annotations

import argparse
import logging
import signal
import socket
import sys
from pathlib import Path

import anyio
from result import Err, Ok, Result

from gypsumlock.composition import Node, build_node
from gypsumlock.controller import Controller
from gypsumlock.http_app import HttpServer, listen, make_server
from gypsumlock.logs import Component, configure_logs, get_logger
from gypsumlock.options import Options
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.settings import Secrets, load_options, load_secrets

__all__ = ["main"]

log = get_logger(Component.NODE)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Time to close connections to peers and to the platform.
CLOSE_TIMEOUT_S = 2.0


def main(arguments: list[str] | None = None) -> None:
    """Run a node until it is stopped; exits with a result code."""
    parser = argparse.ArgumentParser(
        prog="gypsumlockd", description="Run one gypsumlock node."
    )
    parser.add_argument("settings", type=Path, help="settings file (YAML)")
    parsed = parser.parse_args(arguments)
    sys.exit(_run(parsed.settings).value)


def _run(path: Path) -> ResultCode:
    options = load_options(path)
    if isinstance(options, Err):
        return _report(options.err_value)
    secrets = load_secrets(options.ok_value)
    if isinstance(secrets, Err):
        return _report(secrets.err_value)
    configure_logs(options.ok_value.log)
    # uvicorn reports cut answers as errors of the application; they are logged
    # by the part that cut them.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    return anyio.run(
        _serve,
        options.ok_value,
        secrets.ok_value,
        backend_options={"use_uvloop": True},
    )


def _report(faults: list[Fault]) -> ResultCode:
    for fault in faults:
        print(f"gypsumlockd: {fault.text()}", file=sys.stderr)
    return faults[0].code


async def _serve(options: Options, secrets: Secrets) -> ResultCode:
    # Built here, since the gRPC server belongs to the loop that makes it.
    node = build_node(options, secrets)
    opened = _open_sockets(node)
    if isinstance(opened, Err):
        return _report([opened.err_value])
    calls, local, operator = opened.ok_value
    started = await node.peer_server.start(node.options.listen.peers)
    if isinstance(started, Err):
        return _report([started.err_value])
    call_server = make_server(node.call_app)
    calls_closed = anyio.Event()
    side_servers = [make_server(node.local_app), make_server(node.operator_app)]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve_calls, call_server, calls, calls_closed)
        for server, sock in zip(side_servers, (local, operator), strict=True):
            tasks.start_soon(server.serve, [sock])
        for controller in node.controllers:
            tasks.start_soon(_run_controller, controller)
        log.info("node started", address=node.options.listen.peers)
        await _wait_for_signal()
        await _leave(node)
        call_server.stop()
        await _drain(node, calls_closed)
        await _close(node, side_servers)
        tasks.cancel_scope.cancel()
    log.info("node stopped")
    return ResultCode.OK


def _open_sockets(node: Node) -> Result[list[socket.socket], Fault]:
    addresses = node.options.listen
    sockets: list[socket.socket] = []
    for path, address in (
        ("listen.calls", addresses.calls),
        ("listen.local", addresses.local),
        ("listen.operator", addresses.operator),
    ):
        opened = listen(address, path)
        if isinstance(opened, Err):
            return opened
        sockets.append(opened.ok_value)
    return Ok(sockets)


async def _wait_for_signal() -> None:
    with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for number in signals:
            log.info("stop requested", signal=number.name)
            return


async def _run_controller(controller: Controller) -> None:
    """Run a controller; end the process rather than go on without it."""
    await controller.run()
    raise RuntimeError(f"{type(controller).__name__} ended")


async def _serve_calls(
    server: HttpServer, sock: socket.socket, closed: anyio.Event
) -> None:
    """Serve calls; `closed` is set once the last answer was handed over."""
    await server.serve([sock])
    closed.set()


async def _leave(node: Node) -> None:
    """Tell the peers, and serve this node's clients while they learn of it."""
    node.board.stopping.write(True)
    node.board.members.leave()
    log.info("leaving", in_flight=node.call_app.in_flight)
    await anyio.sleep(node.options.stop.linger_s)


async def _drain(node: Node, calls_closed: anyio.Event) -> None:
    """Wait until every call in flight is finished, within the bound."""
    with anyio.move_on_after(node.options.stop.drain_timeout_s):
        await calls_closed.wait()
    log.info(
        "drained", finished=calls_closed.is_set(), in_flight=node.call_app.in_flight
    )


async def _close(node: Node, side_servers: list[HttpServer]) -> None:
    for server in side_servers:
        server.stop()
    with anyio.move_on_after(CLOSE_TIMEOUT_S):
        await node.peer_server.stop()
        await node.transport.close()
        await node.platform.close()
    node.pool.close()


if __name__ == "__main__":
    main()
