"""Commands of the command line, one function for each.

A command takes the parsed arguments and returns an `Outcome`: what to print and the
exit code.
"""

from __future__ import annotations

import argparse
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, TypeVar

import msgspec
import yaml
from result import Err, Ok, Result

from gypsumlock import messages
from gypsumlock.cli.client import OperatorClient
from gypsumlock.cli.explain import find_call_steps, read_lines
from gypsumlock.distribution import HistoryEntry
from gypsumlock.model import Defaults, Overrides, Selector
from gypsumlock.model.diff import Difference
from gypsumlock.operator.messages import (
    ConvergenceReport,
    DefaultsReport,
    ExceptionBody,
    ExceptionsReport,
    LoadDefaultsBody,
    RemoveExceptionBody,
    RestoreBody,
    SetDefaultBody,
    StatusReport,
    UpstreamEntry,
    VersionReport,
)
from gypsumlock.result_codes import Fault, ResultCode
from gypsumlock.settings import load_options, load_secrets

__all__ = [
    "Outcome",
    "SettingsReport",
    "add_exception",
    "check_settings",
    "edit_exception",
    "explain_call",
    "list_exceptions",
    "list_upstreams",
    "load_defaults",
    "remove_exception",
    "restore",
    "set_default",
    "show_defaults",
    "show_diff",
    "show_history",
    "show_status",
    "wait_converged",
]

T = TypeVar("T")

# First and longest interval between the convergence queries of `wait`.
FIRST_POLL_INTERVAL_S: Final = 0.2
MAX_POLL_INTERVAL_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a command: a value to print, and faults."""

    # Printed as JSON, or converted to text by `gypsumlock.cli.render`.
    value: Any = None
    faults: tuple[Fault, ...] = ()

    @property
    def code(self) -> ResultCode:
        """Exit code of the command."""
        return self.faults[0].code if self.faults else ResultCode.OK


@dataclass(frozen=True, slots=True)
class SettingsReport:
    """A settings file without faults."""

    file: str


def show_defaults(arguments: argparse.Namespace) -> Outcome:
    """Show all defaults."""
    return _query(arguments, "/v1/defaults", DefaultsReport)


def set_default(arguments: argparse.Namespace) -> Outcome:
    """Set one default, based on the current revision of the defaults at the node."""
    try:
        value = yaml.safe_load(arguments.value)
    except yaml.YAMLError as error:
        detail = " ".join(str(error).split())
        return Outcome(None, (Fault(ResultCode.CONFIG_BAD_DOCUMENT, detail),))

    def make_body(client: OperatorClient) -> Result[object, list[Fault]]:
        return _get_defaults(client).map(
            lambda current: SetDefaultBody(
                path=arguments.path,
                value=value,
                base_revision=current.revision,
                author=arguments.author,
                operation_id=_operation_id(arguments),
                reason=arguments.reason,
            )
        )

    return _send_change(arguments, "POST", "/v1/defaults", make_body)


def load_defaults(arguments: argparse.Namespace) -> Outcome:
    """Replace all defaults with the content of a YAML file."""
    document = _read_defaults(Path(arguments.file))
    if isinstance(document, Err):
        return _to_outcome(document)

    def make_body(client: OperatorClient) -> Result[object, list[Fault]]:
        return _get_defaults(client).map(
            lambda current: LoadDefaultsBody(
                document=document.ok_value,
                base_revision=current.revision,
                author=arguments.author,
                operation_id=_operation_id(arguments),
                reason=arguments.reason,
            )
        )

    return _send_change(arguments, "PUT", "/v1/defaults", make_body)


def list_exceptions(arguments: argparse.Namespace) -> Outcome:
    """List all exceptions."""
    return _query(arguments, "/v1/exceptions", ExceptionsReport)


def add_exception(arguments: argparse.Namespace) -> Outcome:
    """Add an exception."""
    body = _exception_body(arguments, None)
    return _send_change(arguments, "POST", "/v1/exceptions", lambda _: Ok(body))


def edit_exception(arguments: argparse.Namespace) -> Outcome:
    """Replace an exception, based on its current revision at the node."""

    def make_body(client: OperatorClient) -> Result[object, list[Fault]]:
        revision = _exception_revision(client, arguments.name)
        return revision.map(lambda current: _exception_body(arguments, current))

    return _send_change(arguments, "POST", "/v1/exceptions", make_body)


def remove_exception(arguments: argparse.Namespace) -> Outcome:
    """Remove an exception, based on its current revision at the node."""

    def make_body(client: OperatorClient) -> Result[object, list[Fault]]:
        return _exception_revision(client, arguments.name).map(
            lambda current: RemoveExceptionBody(
                base_revision=current,
                author=arguments.author,
                operation_id=_operation_id(arguments),
                reason=arguments.reason,
            )
        )

    path = f"/v1/exceptions/{arguments.name}"
    return _send_change(arguments, "DELETE", path, make_body)


def restore(arguments: argparse.Namespace) -> Outcome:
    """Create a new version with the content of an older one."""

    def make_body(client: OperatorClient) -> Result[object, list[Fault]]:
        return _get_defaults(client).map(
            lambda current: RestoreBody(
                version=arguments.older,
                base_version=current.version,
                author=arguments.author,
                operation_id=_operation_id(arguments),
                reason=arguments.reason,
            )
        )

    return _send_change(arguments, "POST", "/v1/restore", make_body)


def show_status(arguments: argparse.Namespace) -> Outcome:
    """Show the state of the node."""
    return _query(arguments, "/v1/status", StatusReport)


def list_upstreams(arguments: argparse.Namespace) -> Outcome:
    """List the upstreams that the node knows."""
    return _query(arguments, "/v1/upstreams", list[UpstreamEntry])


def show_history(arguments: argparse.Namespace) -> Outcome:
    """List accepted versions, the newest first."""
    path = f"/v1/history?limit={arguments.limit}"
    return _query(arguments, path, list[HistoryEntry])


def show_diff(arguments: argparse.Namespace) -> Outcome:
    """Show what changed between two versions."""
    pairs = (("from", arguments.before), ("to", arguments.after))
    query = "&".join(f"{name}={value}" for name, value in pairs if value is not None)
    return _query(arguments, f"/v1/diff?{query}", list[Difference])


def wait_converged(arguments: argparse.Namespace) -> Outcome:
    """Wait until a version is in force on every node; list lagging nodes on timeout."""
    client_result = _make_client(arguments)
    if isinstance(client_result, Err):
        return _to_outcome(client_result)
    client = client_result.ok_value
    query = "" if arguments.wanted is None else f"?version={arguments.wanted}"
    deadline_s = time.monotonic() + arguments.timeout
    poll_interval_s = FIRST_POLL_INTERVAL_S
    while True:
        response = client.get(f"/v1/converged{query}", ConvergenceReport)
        if isinstance(response, Err) or response.ok_value.converged:
            return _to_outcome(response)
        if time.monotonic() > deadline_s:
            report = response.ok_value
            detail = messages.not_converged(report.version, len(report.lagging))
            fault = Fault(ResultCode.NOT_CONVERGED, detail)
            return Outcome(report, (fault,))
        time.sleep(poll_interval_s)
        poll_interval_s = min(2 * poll_interval_s, MAX_POLL_INTERVAL_S)


def check_settings(arguments: argparse.Namespace) -> Outcome:
    """Validate a node's settings file, and the key and token files that it names."""
    options = load_options(Path(arguments.file))
    if isinstance(options, Err):
        return Outcome(None, tuple(options.err_value))
    secrets = load_secrets(options.ok_value)
    if isinstance(secrets, Err):
        return Outcome(None, tuple(secrets.err_value))
    return Outcome(SettingsReport(arguments.file))


def explain_call(arguments: argparse.Namespace) -> Outcome:
    """Reconstruct the path of one call from log lines."""
    try:
        steps = find_call_steps(read_lines(arguments.files), arguments.call)
    except OSError as error:
        return Outcome(None, (Fault(ResultCode.LOGS_UNREADABLE, str(error)),))
    if not steps:
        detail = f"no log line refers to call {arguments.call}"
        return Outcome(None, (Fault(ResultCode.CALL_NOT_IN_LOGS, detail),))
    return Outcome(steps)


def _query(arguments: argparse.Namespace, path: str, response_type: Any) -> Outcome:
    return _to_outcome(
        _make_client(arguments).and_then(lambda client: client.get(path, response_type))
    )


def _send_change(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    make_body: Callable[[OperatorClient], Result[object, list[Fault]]],
) -> Outcome:
    """Send a change whose body may depend on the current state of the node."""
    client_result = _make_client(arguments)
    body = client_result.and_then(make_body)
    if isinstance(client_result, Err) or isinstance(body, Err):
        return _to_outcome(body)
    return _to_outcome(
        client_result.ok_value.send(method, path, body.ok_value, VersionReport)
    )


def _get_defaults(client: OperatorClient) -> Result[DefaultsReport, list[Fault]]:
    return client.get("/v1/defaults", DefaultsReport)


def _make_client(
    arguments: argparse.Namespace,
) -> Result[OperatorClient, list[Fault]]:
    try:
        token = Path(arguments.token_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError):
        detail = f"can't read the token file {arguments.token_file}"
        return Err([Fault(ResultCode.OPERATOR_TOKEN_MISSING, detail)])
    return Ok(OperatorClient(arguments.node, token, arguments.timeout))


def _read_defaults(path: Path) -> Result[Defaults, list[Fault]]:
    code = ResultCode.CONFIG_BAD_DOCUMENT
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
        return Ok(msgspec.convert(document, Defaults))
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault(code, f"can't read {path}: {error}")])
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        return Err([Fault(code, " ".join(str(error).split()), str(path))])


def _exception_body(
    arguments: argparse.Namespace, base_revision: int | None
) -> ExceptionBody:
    accept = arguments.set_accept_calls
    return ExceptionBody(
        name=arguments.name,
        selector=Selector(
            service=arguments.service,
            route=arguments.route,
            zone=arguments.zone,
            instance=arguments.instance,
        ),
        overrides=Overrides(
            timeout_s=arguments.set_timeout,
            max_attempts=arguments.set_max_attempts,
            rank=arguments.set_rank,
            accept_calls=None if accept is None else accept == "true",
        ),
        reason=arguments.reason,
        author=arguments.author,
        operation_id=_operation_id(arguments),
        review_on=arguments.review_on,
        base_revision=base_revision,
    )


def _exception_revision(client: OperatorClient, name: str) -> Result[int, list[Fault]]:
    response = client.get("/v1/exceptions", ExceptionsReport)
    if isinstance(response, Err):
        return response
    for item in response.ok_value.exceptions:
        if item.name == name:
            return Ok(item.revision)
    detail = messages.no_such_exception(name)
    return Err([Fault(ResultCode.CONFIG_UNKNOWN_EXCEPTION, detail)])


def _operation_id(arguments: argparse.Namespace) -> str:
    return arguments.operation_id or str(uuid.uuid4())


def _to_outcome(result: Result[T, list[Fault]]) -> Outcome:
    if isinstance(result, Err):
        return Outcome(None, tuple(result.err_value))
    return Outcome(result.ok_value)
