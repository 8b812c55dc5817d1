"""Structured logging with a fixed prefix for each component of a node.

A log line is a short message with typed fields. The text format shows the fields as
`key=value`; the JSON format has them under `fields`.
"""

from __future__ import annotations

import sys
import time
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec
from loguru import logger

from gypsumlock.bounded_sink import BoundedSink, LogRateLimiter

if TYPE_CHECKING:
    from loguru import Message, Record

    from gypsumlock.options import LogOptions

__all__ = [
    "Component",
    "ComponentLogger",
    "configure_bounded_logs",
    "configure_logs",
    "get_logger",
]


class Component(StrEnum):
    """Component of a node; the value is the prefix (`part`) of its log lines."""

    NODE = "node"
    MEMBERS = "members"
    CONFIG = "config"
    ACCEPT = "accept"
    ROUTE = "route"
    ADMIT = "admit"
    PLATFORM = "platform"
    OPERATOR = "operator"
    UPSTREAM = "upstream"
    QUOTA = "quota"
    ROLLOUT = "rollout"


# Numeric value of the level WARNING in loguru.
WARNING_LEVEL: Final = 30

_JSON_ENCODER: Final = msgspec.json.Encoder(enc_hook=str)


class ComponentLogger:
    """Writes log lines with the prefix of one component."""

    __slots__ = ("_logger",)

    def __init__(self, component: Component) -> None:
        self._logger = logger.bind(part=component.value)

    def debug(self, message: str, **fields: object) -> None:
        """Log a detail, such as the routing decision of one call."""
        self._logger.debug(message, fields=fields)

    def info(self, message: str, **fields: object) -> None:
        """Log a change of state."""
        self._logger.info(message, fields=fields)

    def warning(self, message: str, **fields: object) -> None:
        """Log something that an operator may have to act on."""
        self._logger.warning(message, fields=fields)

    def error(self, message: str, **fields: object) -> None:
        """Log a failure of the node itself."""
        self._logger.error(message, fields=fields)


def get_logger(component: Component) -> ComponentLogger:
    """Return the logger of a component."""
    return ComponentLogger(component)


def configure_logs(options: LogOptions) -> None:
    """Write all log lines to standard error in the configured format."""
    logger.remove()
    if options.format == "json":
        # The sink encodes the record itself; rendering a longer format is wasted work.
        logger.add(_write_json, level=options.level, format="{message}")
    else:
        logger.add(sys.stderr, level=options.level, format=_format_text)


def configure_bounded_logs(node: str, level: str = "INFO") -> None:
    """Write log lines as JSON to standard output, rate-limited and non-blocking.

    Parameters
    ----------
    node : str
        Name of the node, included in each line.
    level : str
        Lowest level that is written.
    """
    sink = BoundedSink(sys.stdout.fileno(), time.monotonic, LogRateLimiter())

    def write(message: Message) -> None:
        line = _json_record(message.record)
        line["node"] = node
        is_warning = message.record["level"].no >= WARNING_LEVEL
        sink.write(str(line["part"]), is_warning, line)

    logger.remove()
    logger.add(write, level=level, format="{message}")


def _format_text(record: Record) -> str:
    fields = record["extra"].get("fields", {})
    field_text = "".join(f" {name}={value}" for name, value in fields.items())
    record["extra"]["field_text"] = field_text
    record["extra"].setdefault("part", Component.NODE.value)
    return (
        "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[part]}: "
        "{message}{extra[field_text]}\n"
    )


def _json_record(record: Record) -> dict[str, object]:
    return {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "part": record["extra"].get("part", Component.NODE.value),
        "message": record["message"],
        "fields": record["extra"].get("fields", {}),
    }


def _write_json(message: Message) -> None:
    sys.stderr.write(_JSON_ENCODER.encode(_json_record(message.record)).decode() + "\n")
