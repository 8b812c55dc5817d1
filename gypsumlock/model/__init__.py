"""Configuration model: documents, checks, edits and compilation.

All functions are pure.
"""

from gypsumlock.model.checks import check_snapshot
from gypsumlock.model.compiler import (
    CompiledRoute,
    Policy,
    RoutingTable,
    compile_policy,
    compile_table,
    invalid_snapshot_fault,
)
from gypsumlock.model.edits import (
    AddException,
    Edit,
    EditException,
    RemoveException,
    ReplaceDefaults,
    RestoreVersion,
    SetDefault,
    next_snapshot,
)
from gypsumlock.model.endpoint import Endpoint, NodeIdentity
from gypsumlock.model.ranks import Defaults, Limits, Rank, Route, Service
from gypsumlock.model.snapshot import (
    EMPTY_REF,
    EMPTY_SNAPSHOT,
    ConfigException,
    Origin,
    Overrides,
    Selector,
    Snapshot,
    VersionRef,
    decode_snapshot,
    digest_of,
    encode_snapshot,
)

__all__ = [
    "EMPTY_REF",
    "EMPTY_SNAPSHOT",
    "AddException",
    "CompiledRoute",
    "ConfigException",
    "Defaults",
    "Edit",
    "EditException",
    "Endpoint",
    "Limits",
    "NodeIdentity",
    "Origin",
    "Overrides",
    "Policy",
    "Rank",
    "RemoveException",
    "ReplaceDefaults",
    "RestoreVersion",
    "Route",
    "RoutingTable",
    "Selector",
    "Service",
    "SetDefault",
    "Snapshot",
    "VersionRef",
    "check_snapshot",
    "compile_policy",
    "compile_table",
    "decode_snapshot",
    "digest_of",
    "encode_snapshot",
    "invalid_snapshot_fault",
    "next_snapshot",
]
