"""Loads a node's settings file and reports all faults in it at once.

The YAML file is validated against a JSON schema that is derived from
`gypsumlock.options` and rejects unknown keys.
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
    """Secrets that a node reads from files at start."""

    fleet_key: bytes
    operator_token: bytes


def load_options(path: Path) -> Result[Options, list[Fault]]:
    """Read and validate a settings file; see `parse_options`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        detail = f"can't read {path}: {_error_text(error)}"
        return Err([Fault(ResultCode.SETTINGS_UNREADABLE, detail)])
    return parse_options(text)


def parse_options(text: str) -> Result[Options, list[Fault]]:
    """Validate settings given as YAML text.

    Parameters
    ----------
    text : str
        Content of the settings file.

    Returns
    -------
    Result[Options, list[Fault]]
        The options, or all faults, each with its path in the file, the value found
        and the values allowed.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        detail = " ".join(str(error).split())
        return Err([Fault(ResultCode.SETTINGS_NOT_YAML, detail)])
    schema = _strict_schema()
    errors = Draft202012Validator(schema).iter_errors(document)
    faults = [fault for error in errors for fault in _schema_faults(error)]
    if faults:
        return Err(sorted(faults, key=lambda fault: (fault.path, fault.code)))
    return Ok(msgspec.convert(document, Options))


def load_secrets(options: Options) -> Result[Secrets, list[Fault]]:
    """Read the key and token files that the options name."""
    faults: list[Fault] = []
    fleet_key = _read_secret("fleet_key_file", options.fleet_key_file, faults)
    token = _read_secret("operator_token_file", options.operator_token_file, faults)
    if faults:
        return Err(faults)
    return Ok(Secrets(fleet_key, token))


def _read_secret(option_path: str, file_name: str, faults: list[Fault]) -> bytes:
    code = ResultCode.SETTINGS_SECRET_UNREADABLE
    try:
        secret = Path(file_name).read_bytes().strip()
    except OSError as error:
        faults.append(
            Fault(code, f"can't read {file_name}: {_error_text(error)}", option_path)
        )
        return b""
    if len(secret) < defaults.MIN_SECRET_BYTES:
        detail = (
            f"found {len(secret)} bytes in {file_name}, "
            f"allowed: at least {defaults.MIN_SECRET_BYTES}"
        )
        faults.append(Fault(code, detail, option_path))
    return secret


def _strict_schema() -> dict[str, Any]:
    """Return the schema of the options, which rejects unknown keys."""
    schema = msgspec.json.schema(Options)
    for definition in schema["$defs"].values():
        if definition.get("type") == "object":
            definition["additionalProperties"] = False
    return schema


def _schema_faults(error: ValidationError) -> Iterator[Fault]:
    path = ".".join(str(segment) for segment in error.absolute_path)
    schema: Any = error.schema
    instance: Any = error.instance
    if error.validator == "additionalProperties":
        allowed = sorted(schema["properties"])
        for key in sorted(set(instance) - set(allowed)):
            detail = f"found unknown key {key!r}, allowed: {', '.join(allowed)}"
            yield Fault(ResultCode.SETTINGS_UNKNOWN_KEY, detail, _join_path(path, key))
    elif error.validator == "required":
        for key in sorted(set(schema["required"]) - set(instance)):
            # jsonschema reports each missing key as an error of its own.
            if repr(key) in error.message:
                detail = "the required key is missing"
                yield Fault(
                    ResultCode.SETTINGS_MISSING_KEY, detail, _join_path(path, key)
                )
    else:
        detail = f"found {error.instance!r}, allowed: {_describe_rule(error)}"
        yield Fault(ResultCode.SETTINGS_BAD_VALUE, detail, path)


def _describe_rule(error: ValidationError) -> str:
    """Describe what the violated rule of the schema allows."""
    rule_texts = {
        "exclusiveMinimum": "greater than",
        "maximum": "at most",
        "minimum": "at least",
        "minLength": "a length of at least",
        "maxLength": "a length of at most",
        "pattern": "text matching",
        "type": "a value of type",
        "enum": "one of",
    }
    rule = rule_texts.get(str(error.validator), str(error.validator))
    return f"{rule} {error.validator_value}"


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _error_text(error: Exception) -> str:
    return getattr(error, "strerror", None) or type(error).__name__
