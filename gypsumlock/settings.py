"""Reads a node's settings file and reports every fault in it at once.

The file is YAML. It is checked against one JSON schema, derived from
`gypsumlock.options`, in which unknown keys are refused.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import yaml
from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError
from result import Err, Ok, Result

from gypsumlock import defaults
from gypsumlock.options import Options
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["Secrets", "load_options", "load_secrets", "parse_options"]


@dataclass(frozen=True, slots=True)
class Secrets:
    """Keys that a node reads from files at start."""

    fleet_key: bytes
    operator_token: bytes


def load_options(path: Path) -> Result[Options, list[Fault]]:
    """Read and check a settings file; see `parse_options`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        found = f"can't read {path}: {_reason(error)}"
        return Err([Fault(ResultCode.SETTINGS_UNREADABLE, found)])
    return parse_options(text)


def parse_options(text: str) -> Result[Options, list[Fault]]:
    """Check settings given as YAML text.

    Parameters
    ----------
    text : str
        The whole file.

    Returns
    -------
    Result[Options, list[Fault]]
        The options, or every fault: each with its path in the file, what was
        found and what is allowed.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        found = " ".join(str(error).split())
        return Err([Fault(ResultCode.SETTINGS_NOT_YAML, found)])
    schema = _strict_schema()
    errors = Draft202012Validator(schema).iter_errors(document)
    faults = [fault for error in errors for fault in _faults_of(error)]
    if faults:
        return Err(sorted(faults, key=lambda fault: (fault.path, fault.code)))
    return Ok(msgspec.convert(document, Options))


def load_secrets(options: Options) -> Result[Secrets, list[Fault]]:
    """Read the key files that the options name."""
    faults: list[Fault] = []
    fleet_key = _read_secret("fleet_key_file", options.fleet_key_file, faults)
    token = _read_secret("operator_token_file", options.operator_token_file, faults)
    if faults:
        return Err(faults)
    return Ok(Secrets(fleet_key, token))


def _read_secret(path: str, name: str, faults: list[Fault]) -> bytes:
    code = ResultCode.SETTINGS_SECRET_UNREADABLE
    try:
        secret = Path(name).read_bytes().strip()
    except OSError as error:
        faults.append(Fault(code, f"can't read {name}: {_reason(error)}", path))
        return b""
    if len(secret) < defaults.MIN_SECRET_BYTES:
        found = (
            f"found {len(secret)} bytes in {name}, "
            f"allowed: at least {defaults.MIN_SECRET_BYTES}"
        )
        faults.append(Fault(code, found, path))
    return secret


def _strict_schema() -> dict[str, Any]:
    """Return the schema of the options with unknown keys refused."""
    schema = msgspec.json.schema(Options)
    for definition in schema["$defs"].values():
        if definition.get("type") == "object":
            definition["additionalProperties"] = False
    return schema


def _faults_of(error: ValidationError) -> Iterator[Fault]:
    path = ".".join(str(step) for step in error.absolute_path)
    schema: Any = error.schema
    instance: Any = error.instance
    if error.validator == "additionalProperties":
        allowed = sorted(schema["properties"])
        for key in sorted(set(instance) - set(allowed)):
            found = f"found unknown key {key!r}, allowed: {', '.join(allowed)}"
            yield Fault(ResultCode.SETTINGS_UNKNOWN_KEY, found, _joined(path, key))
    elif error.validator == "required":
        for key in sorted(set(schema["required"]) - set(instance)):
            if repr(key) in error.message:
                found = "found nothing, allowed: a value (the key is required)"
                yield Fault(ResultCode.SETTINGS_MISSING_KEY, found, _joined(path, key))
    else:
        found = f"found {error.instance!r}, allowed: {_allowed(error)}"
        yield Fault(ResultCode.SETTINGS_BAD_VALUE, found, path)


def _allowed(error: ValidationError) -> str:
    """Describe what the failed check of the schema allows."""
    names = {
        "exclusiveMinimum": "more than",
        "maximum": "at most",
        "minimum": "at least",
        "minLength": "a length of at least",
        "maxLength": "a length of at most",
        "pattern": "text that matches",
        "type": "the type",
        "enum": "one of",
    }
    rule = names.get(str(error.validator), str(error.validator))
    return f"{rule} {error.validator_value}"


def _joined(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _reason(error: Exception) -> str:
    return getattr(error, "strerror", None) or type(error).__name__
