"""`gypsumlockd`: runs one node as the sidecar of one upstream instance.

Phases of the process:
1. Load and validate the settings; exit with a result code if they are invalid.
2. Listen on all four addresses; exit if one is in use.
3. Run the controllers and servers until SIGTERM or SIGINT.
4. Shut down gracefully: announce the departure to the peers, stop accepting
   calls, and finish those in flight.
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

from gypsumlock import defaults
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
# Timeout for closing the connections to the peers and to the platform.
CLOSE_TIMEOUT_S = 2.0


def main(arguments: list[str] | None = None) -> None:
    """Run a node until it is stopped, then exit with its result code."""
    parser = argparse.ArgumentParser(
        prog="gypsumlockd", description="Run one gypsumlock node."
    )
    parser.add_argument("settings", type=Path, help="settings file (YAML)")
    parsed = parser.parse_args(arguments)
    sys.exit(_run_node(parsed.settings).value)


def _run_node(path: Path) -> ResultCode:
    options = load_options(path)
    if isinstance(options, Err):
        return _print_faults(options.err_value)
    secrets = load_secrets(options.ok_value)
    if isinstance(secrets, Err):
        return _print_faults(secrets.err_value)
    configure_logs(options.ok_value.log)
    # uvicorn logs aborted responses as errors of the application; the component that
    # aborted a response logs it already.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    return anyio.run(
        _serve_until_stopped,
        options.ok_value,
        secrets.ok_value,
        backend_options={"use_uvloop": True},
    )


def _print_faults(faults: list[Fault]) -> ResultCode:
    """Print faults to standard error and return the code of the first one."""
    for fault in faults:
        print(f"gypsumlockd: {fault.text()}", file=sys.stderr)
    return faults[0].code


async def _serve_until_stopped(options: Options, secrets: Secrets) -> ResultCode:
    # Built inside the event loop: the gRPC server is bound to the loop in which it is
    # created.
    node = build_node(options, secrets)
    opened = _open_sockets(node)
    if isinstance(opened, Err):
        return _print_faults([opened.err_value])
    call_socket, local_socket, operator_socket = opened.ok_value
    started = await node.peer_server.start(node.options.listen.peers)
    if isinstance(started, Err):
        return _print_faults([started.err_value])
    call_server = make_server(node.call_app, defaults.CALL_CONNECTION_SHARE)
    calls_closed = anyio.Event()
    api_servers = [
        make_server(app, defaults.API_CONNECTION_SHARE)
        for app in (node.local_app, node.operator_app)
    ]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve_calls, call_server, call_socket, calls_closed)
        for server, sock in zip(
            api_servers, (local_socket, operator_socket), strict=True
        ):
            tasks.start_soon(server.serve, [sock])
        for controller in node.controllers:
            tasks.start_soon(_run_controller, controller)
        log.info("node started", address=node.options.listen.peers)
        await _wait_for_signal()
        await _announce_departure(node)
        call_server.stop()
        await _drain_calls(node, calls_closed)
        await _close_node(node, api_servers)
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
        async for stop_signal in signals:
            log.info("stop signal received", signal=stop_signal.name)
            return


async def _run_controller(controller: Controller) -> None:
    """Run a controller; fail if it returns, so that no node runs without it."""
    await controller.run()
    raise RuntimeError(f"controller {type(controller).__name__} returned unexpectedly")


async def _serve_calls(
    server: HttpServer, sock: socket.socket, closed: anyio.Event
) -> None:
    """Serve calls; set `closed` once the last response has been sent."""
    await server.serve([sock])
    closed.set()


async def _announce_departure(node: Node) -> None:
    """Announce the departure; serve clients for `linger_s` while peers learn of it."""
    node.board.stopping.write(True)
    node.board.members.leave()
    log.info("node leaving", in_flight=node.call_app.in_flight)
    await anyio.sleep(node.options.stop.linger_s)


async def _drain_calls(node: Node, calls_closed: anyio.Event) -> None:
    """Wait for the calls in flight to finish, for at most `drain_timeout_s`."""
    with anyio.move_on_after(node.options.stop.drain_timeout_s):
        await calls_closed.wait()
    log.info(
        "drain ended", finished=calls_closed.is_set(), in_flight=node.call_app.in_flight
    )


async def _close_node(node: Node, api_servers: list[HttpServer]) -> None:
    for server in api_servers:
        server.stop()
    with anyio.move_on_after(CLOSE_TIMEOUT_S):
        await node.peer_server.stop()
        await node.transport.close()
        await node.platform.close()
    node.pool.close()


if __name__ == "__main__":
    main()
