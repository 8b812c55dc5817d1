"""Helpers shared by the HTTP servers of a node."""

from __future__ import annotations

import contextlib
import resource
import socket
from collections.abc import Iterator
from typing import Any, TypeVar

import anyio
import msgspec
import uvicorn
from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.bounded_protocol import BoundedConfig, BoundedProtocol
from gypsumlock.proxy.request import Receive, Send
from gypsumlock.result_codes import Fault, ResultCode, get_code_entry

__all__ = [
    "HttpServer",
    "decode_body",
    "listen",
    "make_server",
    "read_body",
    "send_faults",
    "send_json",
]

T = TypeVar("T")

LISTEN_BACKLOG = 1024


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon and never polls when idle."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stop_requested = anyio.Event()

    def stop(self) -> None:
        """Close the listeners, finish requests in flight, then let `serve` return."""
        self.should_exit = True
        self._stop_requested.set()

    async def main_loop(self) -> None:
        """Wait for `stop`; uvicorn itself would poll for it ten times a second."""
        await self._stop_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers, since the daemon handles signals."""
        yield


def make_server(app: Any, connection_share: float = 0.0) -> HttpServer:
    """Return an HTTP server for an ASGI application.

    Parameters
    ----------
    app : Any
        The application.
    connection_share : float
        Most connections that the server keeps, as a share of the descriptors that the
        process may open; 0 for no limit.
    """
    config = BoundedConfig(
        app,
        http=BoundedProtocol,
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        # Whether forwarded headers are trusted is up to the upstream.
        proxy_headers=False,
        timeout_keep_alive=defaults.SERVER_KEEP_ALIVE_S,
    )
    max_fds = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    config.max_connections = int(connection_share * max_fds)
    config.load()
    return HttpServer(config)


def listen(address: str, settings_path: str) -> Result[socket.socket, Fault]:
    """Return a listening socket, or `PORT_IN_USE`.

    Parameters
    ----------
    address : str
        `IP:port`; with port 0 the system chooses a free port.
    settings_path : str
        Path of the address in the settings, reported in the fault.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
        sock.listen(LISTEN_BACKLOG)
    except (OSError, OverflowError) as error:
        sock.close()
        detail = f"can't listen on {address}: {getattr(error, 'strerror', error)}"
        return Err(Fault(ResultCode.PORT_IN_USE, detail, settings_path))
    sock.setblocking(False)
    return Ok(sock)


async def read_body(receive: Receive) -> Result[bytes, Fault]:
    """Read a whole request body, up to the size limit for operator requests."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return Err(
                Fault(
                    ResultCode.OPERATOR_BAD_BODY,
                    "the client disconnected before the end of the body",
                )
            )
        body += message.get("body", b"")
        if len(body) > defaults.MAX_OPERATOR_BODY_BYTES:
            detail = f"allowed: at most {defaults.MAX_OPERATOR_BODY_BYTES} bytes"
            return Err(Fault(ResultCode.OPERATOR_BODY_TOO_LARGE, detail))
        if not message.get("more_body", False):
            return Ok(bytes(body))


def decode_body(body: bytes, message_type: type[T]) -> Result[T, Fault]:
    """Decode a JSON body into a message of the given type."""
    try:
        return Ok(msgspec.json.decode(body, type=message_type))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(Fault(ResultCode.OPERATOR_BAD_BODY, str(error)))


async def send_json(send: Send, status: int, value: object) -> None:
    """Send a response with a JSON body."""
    body = msgspec.json.encode(value)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def send_faults(send: Send, faults: list[Fault]) -> None:
    """Send a response that lists faults and codes; the first one sets the status."""
    status = get_code_entry(faults[0].code).http_status or 500
    entries = [
        {
            "code": fault.code.value,
            "name": fault.code.name,
            "detail": fault.detail,
            "path": fault.path,
        }
        for fault in faults
    ]
    await send_json(send, status, {"faults": entries})
