"""A client whose call stops at a chosen step, so that a fault can strike there."""

from __future__ import annotations

import hashlib
import http.client
import itertools
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = ["STEPS", "CallResult", "ResponseState", "PacedCall"]

# Steps of a call as a client sees them, in order.
STEPS = ("connect", "send head", "send body", "wait", "receive body", "finish")
BODY = b"b" * 50_000
# Time that the upstream works, and the size and pace of its answer.
WORK_MS = 600
ANSWER_BYTES = 131_072
DRIP_MS = 60
TIMEOUT_S = 12.0
REACH_S = 0.1

_numbers = itertools.count()


class ResponseState(Enum):
    """How the answer ended, as far as the client can tell."""

    # As long as announced, with the digest and the call id of this call.
    WHOLE = "whole"
    # Complete by its framing, but with another content: must never happen.
    WRONG = "wrong"
    # The connection ended before the answer was complete.
    CUT = "cut"
    # Answered by a node in place of an upstream.
    REFUSED = "refused"
    # No answer at all.
    NONE = "none"


@dataclass(frozen=True)
class CallResult:
    """What the client got."""

    call_id: str
    # 0 when the connection ended without an answer.
    status: int
    headers: dict[str, str]
    response_state: ResponseState

    @property
    def complete(self) -> bool:
        """True when an upstream's answer arrived whole."""
        return self.response_state is ResponseState.WHOLE

    @property
    def outcome(self) -> str:
        """What a node said of a call that it did not carry through."""
        return self.headers.get("gypsumlock-outcome", "")


class PacedCall:
    """One call over a socket of its own.

    Parameters
    ----------
    address : str
        Call address of a node, as `IP:port`.
    method, path : str
        What to call.
    step : str
        Step after which `strike` is called.
    strike : Callable[[], object]
        Brings about the fault.
    """

    def __init__(
        self, address: str, method: str, path: str, step: str,
        strike: Callable[[], object],
    ) -> None:  # fmt: skip
        self.call_id = f"paced-{next(_numbers)}"
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._method = method
        query = f"ms={WORK_MS}&size={ANSWER_BYTES}&drip_ms={DRIP_MS}"
        self._target = f"{path}?{query}"
        self._step = step
        self._strike = strike

    def run(self, abandon: bool = False) -> CallResult:
        """Make the call; with `abandon` the client leaves at the step."""
        sock = socket.create_connection(self._address, timeout=TIMEOUT_S)
        with sock:
            try:
                return self._run(sock, abandon)
            except (OSError, http.client.HTTPException):
                return CallResult(self.call_id, 0, {}, ResponseState.NONE)

    def _run(self, sock: socket.socket, abandon: bool) -> CallResult:
        body = BODY if self._method == "POST" else b""
        head = (
            f"{self._method} {self._target} HTTP/1.1\r\nhost: mesh\r\n"
            f"x-test-call: {self.call_id}\r\ncontent-length: {len(body)}\r\n"
        ).encode()
        self._reach("connect")
        sock.sendall(head[:20])
        self._reach("send head")
        sock.sendall(head[20:] + b"\r\n" + body[:1000])
        self._reach("send body")
        sock.sendall(body[1000:])
        self._reach("wait")
        if abandon and self._step != "receive body":
            return CallResult(self.call_id, 0, {}, ResponseState.NONE)
        answer = http.client.HTTPResponse(sock, method=self._method)
        answer.begin()
        headers = {name.lower(): value for name, value in answer.getheaders()}
        start = answer.read(1000)
        self._reach("receive body")
        if abandon:
            return CallResult(self.call_id, 0, {}, ResponseState.NONE)
        try:
            rest = answer.read()
        except (OSError, http.client.IncompleteRead):
            return CallResult(self.call_id, answer.status, headers, ResponseState.CUT)
        self._reach("finish")
        response_state = self._ending(headers, start + rest)
        return CallResult(self.call_id, answer.status, headers, response_state)

    def _ending(self, headers: dict[str, str], body: bytes) -> ResponseState:
        if "gypsumlock-code" in headers:
            return ResponseState.REFUSED
        digest = hashlib.sha256(body).hexdigest()
        own = headers.get("x-test-call") == self.call_id
        right = headers.get("x-test-digest") == digest
        return ResponseState.WHOLE if own and right else ResponseState.WRONG

    def _reach(self, step: str) -> None:
        if step == self._step:
            # Lets what was sent so far arrive where it goes.
            time.sleep(REACH_S)
            self._strike()
