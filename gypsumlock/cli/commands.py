"""One function for each verb of the command line.

Each takes the parsed arguments and returns an `Outcome`: what to print and the
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
from gypsumlock.cli.explain import find_steps, read_lines
from gypsumlock.distribution import HistoryEntry
from gypsumlock.model import Defaults, Overrides, Selector
from gypsumlock.model.diff import Difference
from gypsumlock.operator.messages import (
    ConvergenceReport,
    DefaultsReport,
    ExceptionBody,
    ExceptionsReport,
    LoadDefaultsBody,
    RemoveBody,
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

# Time between two surveys of `wait`: the first, and the longest.
FIRST_WAIT_POLL_S: Final = 0.2
MAX_WAIT_POLL_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a command found out, and the faults it met."""

    # Printed as JSON; text output is made from it by `gypsumlock.cli.render`.
    value: Any = None
    faults: tuple[Fault, ...] = ()

    @property
    def code(self) -> ResultCode:
        """Exit code of the command."""
        return self.faults[0].code if self.faults else ResultCode.OK


@dataclass(frozen=True, slots=True)
class SettingsReport:
    """A settings file in which no fault was found."""

    file: str


def show_defaults(arguments: argparse.Namespace) -> Outcome:
    """Show all defaults."""
    return _ask(arguments, "/v1/defaults", DefaultsReport)


def set_default(arguments: argparse.Namespace) -> Outcome:
    """Set one default, based on the defaults as the node knows them now."""
    try:
        value = yaml.safe_load(arguments.value)
    except yaml.YAMLError as error:
        detail = " ".join(str(error).split())
        return Outcome(None, (Fault(ResultCode.CONFIG_BAD_DOCUMENT, detail),))

    def make_body(client: OperatorClient) -> Result[object, list[Fault]]:
        return _known_defaults(client).map(
            lambda base: SetDefaultBody(
                path=arguments.path,
                value=value,
                base_revision=base.revision,
                author=arguments.author,
                operation_id=_operation_id(arguments),
                reason=arguments.reason,
            )
        )

    return _change(arguments, "POST", "/v1/defaults", make_body)


def load_defaults(arguments: argparse.Namespace) -> Outcome:
    """Replace all defaults by a YAML file."""
    document = _read_defaults(Path(arguments.file))
    if isinstance(document, Err):
        return _outcome(document)

    def make_body(client: OperatorClient) -> Result[object, list[Fault]]:
        return _known_defaults(client).map(
            lambda base: LoadDefaultsBody(
                document=document.ok_value,
                base_revision=base.revision,
                author=arguments.author,
                operation_id=_operation_id(arguments),
                reason=arguments.reason,
            )
        )

    return _change(arguments, "PUT", "/v1/defaults", make_body)


def list_exceptions(arguments: argparse.Namespace) -> Outcome:
    """List all exceptions."""
    return _ask(arguments, "/v1/exceptions", ExceptionsReport)


def add_exception(arguments: argparse.Namespace) -> Outcome:
    """Add an exception."""
    body = _exception_body(arguments, None)
    return _change(arguments, "POST", "/v1/exceptions", lambda _: Ok(body))


def edit_exception(arguments: argparse.Namespace) -> Outcome:
    """Replace an exception, based on its revision as the node knows it now."""

    def make_body(client: OperatorClient) -> Result[object, list[Fault]]:
        revision = _revision_of(client, arguments.name)
        return revision.map(lambda base: _exception_body(arguments, base))

    return _change(arguments, "POST", "/v1/exceptions", make_body)


def remove_exception(arguments: argparse.Namespace) -> Outcome:
    """Remove an exception, based on its revision as the node knows it now."""

    def make_body(client: OperatorClient) -> Result[object, list[Fault]]:
        return _revision_of(client, arguments.name).map(
            lambda base: RemoveBody(
                base_revision=base,
                author=arguments.author,
                operation_id=_operation_id(arguments),
                reason=arguments.reason,
            )
        )

    path = f"/v1/exceptions/{arguments.name}"
    return _change(arguments, "DELETE", path, make_body)


def restore(arguments: argparse.Namespace) -> Outcome:
    """Make a new version with the content of an older one."""

    def make_body(client: OperatorClient) -> Result[object, list[Fault]]:
        return _known_defaults(client).map(
            lambda base: RestoreBody(
                version=arguments.older,
                base_version=base.version,
                author=arguments.author,
                operation_id=_operation_id(arguments),
                reason=arguments.reason,
            )
        )

    return _change(arguments, "POST", "/v1/restore", make_body)


def show_status(arguments: argparse.Namespace) -> Outcome:
    """Show the state of the node."""
    return _ask(arguments, "/v1/status", StatusReport)


def list_upstreams(arguments: argparse.Namespace) -> Outcome:
    """List the upstreams that the node knows."""
    return _ask(arguments, "/v1/upstreams", list[UpstreamEntry])


def show_history(arguments: argparse.Namespace) -> Outcome:
    """List accepted versions, the newest first."""
    path = f"/v1/history?limit={arguments.limit}"
    return _ask(arguments, path, list[HistoryEntry])


def show_diff(arguments: argparse.Namespace) -> Outcome:
    """Show what changed between two versions."""
    pairs = (("from", arguments.before), ("to", arguments.after))
    query = "&".join(f"{name}={value}" for name, value in pairs if value is not None)
    return _ask(arguments, f"/v1/diff?{query}", list[Difference])


def wait_converged(arguments: argparse.Namespace) -> Outcome:
    """Wait until a version is in force everywhere, or name who lacks it."""
    with_client = _client(arguments)
    if isinstance(with_client, Err):
        return _outcome(with_client)
    client = with_client.ok_value
    query = "" if arguments.wanted is None else f"?version={arguments.wanted}"
    give_up_at_s = time.monotonic() + arguments.timeout
    poll_s = FIRST_WAIT_POLL_S
    while True:
        answer = client.get(f"/v1/converged{query}", ConvergenceReport)
        if isinstance(answer, Err) or answer.ok_value.converged:
            return _outcome(answer)
        if time.monotonic() > give_up_at_s:
            report = answer.ok_value
            found = messages.not_converged(report.version, len(report.lagging))
            fault = Fault(ResultCode.NOT_CONVERGED, found)
            return Outcome(report, (fault,))
        time.sleep(poll_s)
        poll_s = min(2 * poll_s, MAX_WAIT_POLL_S)


def check_settings(arguments: argparse.Namespace) -> Outcome:
    """Check a node's settings file, and the key files that it names."""
    options = load_options(Path(arguments.file))
    if isinstance(options, Err):
        return Outcome(None, tuple(options.err_value))
    secrets = load_secrets(options.ok_value)
    if isinstance(secrets, Err):
        return Outcome(None, tuple(secrets.err_value))
    return Outcome(SettingsReport(arguments.file))


def explain_call(arguments: argparse.Namespace) -> Outcome:
    """Tell the way of one call from log lines."""
    try:
        steps = find_steps(read_lines(arguments.files), arguments.call)
    except OSError as error:
        return Outcome(None, (Fault(ResultCode.LOGS_UNREADABLE, str(error)),))
    if not steps:
        found = f"no line concerns call {arguments.call}"
        return Outcome(None, (Fault(ResultCode.CALL_NOT_IN_LOGS, found),))
    return Outcome(steps)


def _ask(arguments: argparse.Namespace, path: str, kind: Any) -> Outcome:
    return _outcome(_client(arguments).and_then(lambda client: client.get(path, kind)))


def _change(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    make_body: Callable[[OperatorClient], Result[object, list[Fault]]],
) -> Outcome:
    """Ask for a change whose body may depend on what the node knows now."""
    client = _client(arguments)
    body = client.and_then(make_body)
    if isinstance(client, Err) or isinstance(body, Err):
        return _outcome(body)
    return _outcome(client.ok_value.send(method, path, body.ok_value, VersionReport))


def _known_defaults(client: OperatorClient) -> Result[DefaultsReport, list[Fault]]:
    return client.get("/v1/defaults", DefaultsReport)


def _client(
    arguments: argparse.Namespace,
) -> Result[OperatorClient, list[Fault]]:
    try:
        token = Path(arguments.token_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError):
        found = f"can't read the token file {arguments.token_file}"
        return Err([Fault(ResultCode.OPERATOR_TOKEN_MISSING, found)])
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


def _revision_of(client: OperatorClient, name: str) -> Result[int, list[Fault]]:
    known = client.get("/v1/exceptions", ExceptionsReport)
    if isinstance(known, Err):
        return known
    for item in known.ok_value.exceptions:
        if item.name == name:
            return Ok(item.revision)
    found = messages.no_such_exception(name)
    return Err([Fault(ResultCode.CONFIG_UNKNOWN_EXCEPTION, found)])


def _operation_id(arguments: argparse.Namespace) -> str:
    return arguments.operation_id or str(uuid.uuid4())


def _outcome(answer: Result[T, list[Fault]]) -> Outcome:
    if isinstance(answer, Err):
        return Outcome(None, tuple(answer.err_value))
    return Outcome(answer.ok_value)
