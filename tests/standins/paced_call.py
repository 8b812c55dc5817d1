"""Client whose call pauses at a chosen step, so that a fault can be injected there."""

from __future__ import annotations

import hashlib
import http.client
import itertools
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = ["STEPS", "CallResult", "PacedCall", "ResponseState"]

# Steps of a call as the client sees them, in order.
STEPS = ("connect", "send head", "send body", "wait", "receive body", "finish")
REQUEST_BODY = b"b" * 50_000
# Processing time of the upstream, and size and pace of its response.
WORK_MS = 600
RESPONSE_BYTES = 131_072
DRIP_MS = 60
SOCKET_TIMEOUT_S = 12.0
STEP_SETTLE_S = 0.1

_call_numbers = itertools.count()


class ResponseState(Enum):
    """What the client received as the response."""

    # Complete, with the right digest and the call id of this call.
    COMPLETE = "complete"
    # Complete, but with the content of another response; must never happen.
    WRONG_CONTENT = "wrong content"
    # The connection was closed before the response was complete.
    TRUNCATED = "truncated"
    # An error response of a node in place of an upstream's response.
    NODE_ERROR = "node error"
    # No response, or the client disconnected before its end.
    NO_RESPONSE = "no response"


@dataclass(frozen=True)
class CallResult:
    """What the client received."""

    call_id: str
    # 0 if there is no response.
    status: int
    headers: dict[str, str]
    response_state: ResponseState

    @property
    def complete(self) -> bool:
        """True if a complete response of an upstream was received."""
        return self.response_state is ResponseState.COMPLETE

    @property
    def outcome(self) -> str:
        """Outcome that a node reports in an error response; empty otherwise."""
        return self.headers.get("gypsumlock-outcome", "")


class PacedCall:
    """One call over its own connection.

    Parameters
    ----------
    address : str
        Call address of a node, as `IP:port`.
    method, path : str
        Method and path of the request.
    step : str
        Step at which the call pauses; empty for a call without a pause.
    on_step : Callable[[], object]
        Called during the pause, to inject the fault.
    """

    def __init__(
        self, address: str, method: str, path: str, step: str,
        on_step: Callable[[], object],
    ) -> None:  # fmt: skip
        self.call_id = f"paced-{next(_call_numbers)}"
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._method = method
        query = f"ms={WORK_MS}&size={RESPONSE_BYTES}&drip_ms={DRIP_MS}"
        self._target = f"{path}?{query}"
        self._step = step
        self._on_step = on_step

    def run(self, abandon: bool = False) -> CallResult:
        """Make the call; with `abandon` the client disconnects at the step."""
        sock = socket.create_connection(self._address, timeout=SOCKET_TIMEOUT_S)
        with sock:
            try:
                return self._run(sock, abandon)
            except (OSError, http.client.HTTPException):
                return CallResult(self.call_id, 0, {}, ResponseState.NO_RESPONSE)

    def _run(self, sock: socket.socket, abandon: bool) -> CallResult:
        body = REQUEST_BODY if self._method == "POST" else b""
        head = (
            f"{self._method} {self._target} HTTP/1.1\r\nhost: mesh\r\n"
            f"x-test-call: {self.call_id}\r\ncontent-length: {len(body)}\r\n"
        ).encode()
        self._reach_step("connect")
        sock.sendall(head[:20])
        self._reach_step("send head")
        sock.sendall(head[20:] + b"\r\n" + body[:1000])
        self._reach_step("send body")
        sock.sendall(body[1000:])
        self._reach_step("wait")
        if abandon and self._step != "receive body":
            return CallResult(self.call_id, 0, {}, ResponseState.NO_RESPONSE)
        response = http.client.HTTPResponse(sock, method=self._method)
        response.begin()
        headers = {name.lower(): value for name, value in response.getheaders()}
        first_part = response.read(1000)
        self._reach_step("receive body")
        if abandon:
            return CallResult(self.call_id, 0, {}, ResponseState.NO_RESPONSE)
        try:
            remaining_part = response.read()
        except (OSError, http.client.IncompleteRead):
            return CallResult(
                self.call_id, response.status, headers, ResponseState.TRUNCATED
            )
        self._reach_step("finish")
        response_state = self._response_state(headers, first_part + remaining_part)
        return CallResult(self.call_id, response.status, headers, response_state)

    def _response_state(self, headers: dict[str, str], body: bytes) -> ResponseState:
        if "gypsumlock-code" in headers:
            return ResponseState.NODE_ERROR
        digest = hashlib.sha256(body).hexdigest()
        call_id_matches = headers.get("x-test-call") == self.call_id
        digest_matches = headers.get("x-test-digest") == digest
        return (
            ResponseState.COMPLETE
            if call_id_matches and digest_matches
            else ResponseState.WRONG_CONTENT
        )

    def _reach_step(self, step: str) -> None:
        if step == self._step:
            # Lets the peer receive what was sent so far.
            time.sleep(STEP_SETTLE_S)
            self._on_step()
