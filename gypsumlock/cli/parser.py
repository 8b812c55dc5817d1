"""Argument parser of the command line."""

from __future__ import annotations

import argparse
import getpass
import os

from gypsumlock import __version__
from gypsumlock.cli import commands

__all__ = ["make_parser"]

NODE_ENV_VAR = "GYPSUMLOCK_NODE"
TOKEN_FILE_ENV_VAR = "GYPSUMLOCK_TOKEN_FILE"
DEFAULT_NODE = "http://127.0.0.1:7004"
DEFAULT_TOKEN_FILE = "operator.token"
DEFAULT_TIMEOUT_S = 30.0


def make_parser() -> argparse.ArgumentParser:
    """Return the parser; each subcommand sets `run` to its function."""
    parser = argparse.ArgumentParser(
        prog="gypsumlock", description="Operate a gypsumlock fleet through any node."
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--node",
        default=os.environ.get(NODE_ENV_VAR, DEFAULT_NODE),
        help="operator address of any node "
        f"(default: ${NODE_ENV_VAR} or {DEFAULT_NODE})",
    )
    parser.add_argument(
        "--token-file",
        default=os.environ.get(TOKEN_FILE_ENV_VAR, DEFAULT_TOKEN_FILE),
        help="file with the operator token "
        f"(default: ${TOKEN_FILE_ENV_VAR} or {DEFAULT_TOKEN_FILE})",
    )
    parser.add_argument("--output", choices=("text", "json"), default="text")
    parser.add_argument(
        "--timeout", type=float, default=DEFAULT_TIMEOUT_S, help="seconds to wait"
    )
    subparsers = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    _add_default(subparsers)
    _add_exception(subparsers)
    _add_queries(subparsers)
    _add_restore(subparsers)
    _add_settings(subparsers)
    _add_explain(subparsers)
    return parser


def _add_default(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = subparsers.add_parser("default", help="show or change fleet-wide defaults")
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    show_parser = actions.add_parser("show", help="show all defaults")
    show_parser.set_defaults(run=commands.show_defaults)
    set_parser = actions.add_parser("set", help="set one default")
    set_parser.add_argument(
        "path", help="path of the default, such as routes.book.timeout_s"
    )
    set_parser.add_argument("value", help="new value, read as YAML")
    _add_change_options(set_parser)
    set_parser.set_defaults(run=commands.set_default)
    load_parser = actions.add_parser(
        "load", help="replace all defaults with the content of a YAML file"
    )
    load_parser.add_argument("file")
    _add_change_options(load_parser)
    load_parser.set_defaults(run=commands.load_defaults)


def _add_exception(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = subparsers.add_parser("exception", help="list or change exceptions")
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    list_parser = actions.add_parser("list", help="list all exceptions")
    list_parser.set_defaults(run=commands.list_exceptions)
    for action, run, text in (
        ("add", commands.add_exception, "add an exception"),
        ("edit", commands.edit_exception, "replace an exception"),
    ):
        change_parser = actions.add_parser(action, help=text)
        change_parser.add_argument("name")
        _add_selector(change_parser)
        _add_overrides(change_parser)
        change_parser.add_argument("--review-on", default="", help="date as YYYY-MM-DD")
        _add_change_options(change_parser, reason_required=True)
        change_parser.set_defaults(run=run)
    remove_parser = actions.add_parser("remove", help="remove an exception")
    remove_parser.add_argument("name")
    _add_change_options(remove_parser)
    remove_parser.set_defaults(run=commands.remove_exception)


def _add_selector(parser: argparse.ArgumentParser) -> None:
    group = parser.add_argument_group("selector (all given conditions must match)")
    group.add_argument("--service", default="")
    group.add_argument("--route", default="")
    group.add_argument("--zone", default="", help="zone of the handling node")
    group.add_argument("--instance", default="", help="instance of the handling node")


def _add_overrides(parser: argparse.ArgumentParser) -> None:
    group = parser.add_argument_group("overridden values")
    group.add_argument("--set-timeout", type=float, metavar="SECONDS")
    group.add_argument("--set-max-attempts", type=int, metavar="COUNT")
    group.add_argument("--set-rank", metavar="RANK")
    group.add_argument("--set-accept-calls", choices=("true", "false"))


def _add_queries(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    status_parser = subparsers.add_parser("status", help="show the state of the node")
    status_parser.set_defaults(run=commands.show_status)
    upstreams_parser = subparsers.add_parser(
        "upstreams", help="list the upstreams known to the node"
    )
    upstreams_parser.set_defaults(run=commands.list_upstreams)
    history_parser = subparsers.add_parser("history", help="list accepted versions")
    history_parser.add_argument("--limit", type=int, default=20)
    history_parser.set_defaults(run=commands.show_history)
    diff_parser = subparsers.add_parser(
        "diff", help="show what changed between two versions"
    )
    diff_parser.add_argument(
        "before", type=int, nargs="?", help="default: the version before 'after'"
    )
    diff_parser.add_argument("after", type=int, nargs="?", help="default: the newest")
    diff_parser.set_defaults(run=commands.show_diff)
    wait_parser = subparsers.add_parser(
        "wait", help="wait until a version is in force everywhere"
    )
    wait_parser.add_argument("wanted", type=int, nargs="?", help="default: the newest")
    wait_parser.set_defaults(run=commands.wait_converged)


def _add_restore(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    restore_parser = subparsers.add_parser(
        "restore", help="create a new version with the content of an older one"
    )
    restore_parser.add_argument("older", type=int)
    _add_change_options(restore_parser)
    restore_parser.set_defaults(run=commands.restore)


def _add_settings(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    settings_parser = subparsers.add_parser("settings", help="validate settings files")
    actions = settings_parser.add_subparsers(
        dest="action", required=True, metavar="ACTION"
    )
    check_parser = actions.add_parser("check", help="check a node's settings file")
    check_parser.add_argument("file")
    check_parser.set_defaults(run=commands.check_settings)


def _add_explain(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    explain_parser = subparsers.add_parser(
        "explain", help="reconstruct the path of a call from logs"
    )
    explain_parser.add_argument("call", help="identifier of the call")
    explain_parser.add_argument(
        "files", nargs="*", default=["-"], help="log files; - for standard input"
    )
    explain_parser.set_defaults(run=commands.explain_call)


def _add_change_options(
    parser: argparse.ArgumentParser, reason_required: bool = False
) -> None:
    parser.add_argument("--reason", required=reason_required, default="")
    parser.add_argument("--author", default=getpass.getuser())
    parser.add_argument(
        "--operation-id",
        help="id of an earlier request to repeat, if its outcome is unknown",
    )
