"""Structured logs: one prefix for each part of the node.

A line is a short sentence plus typed fields. Text lines show the fields as
`key=value`; JSON lines carry them under `fields`.
"""

from __future__ import annotations

import sys
import time
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec
from loguru import logger

from gypsumlock.bounded_sink import BoundedSink, LineBudget

if TYPE_CHECKING:
    from loguru import Message, Record

    from gypsumlock.options import LogOptions

__all__ = [
    "Component",
    "PartLog",
    "configure_bounded_logs",
    "configure_logs",
    "get_logger",
]


class Component(StrEnum):
    """Fixed log prefix of each part."""

    NODE = "node"
    MEMBERS = "members"
    CONFIG = "config"
    ACCEPT = "accept"
    ROUTE = "route"
    ADMIT = "admit"
    PLATFORM = "platform"
    OPERATOR = "operator"
    UPSTREAM = "upstream"


# Numeric level of loguru from which a line is a warning.
WARNING_LEVEL: Final = 30

_JSON: Final = msgspec.json.Encoder(enc_hook=str)


class PartLog:
    """Writes log lines under the prefix of one part."""

    __slots__ = ("_logger",)

    def __init__(self, part: Component) -> None:
        self._logger = logger.bind(part=part.value)

    def debug(self, sentence: str, **fields: object) -> None:
        """Log a detail, such as the routing decision of one call."""
        self._logger.debug(sentence, fields=fields)

    def info(self, sentence: str, **fields: object) -> None:
        """Log a change of state."""
        self._logger.info(sentence, fields=fields)

    def warning(self, sentence: str, **fields: object) -> None:
        """Log something that an operator may have to act on."""
        self._logger.warning(sentence, fields=fields)

    def error(self, sentence: str, **fields: object) -> None:
        """Log a failure of the node itself."""
        self._logger.error(sentence, fields=fields)


def get_logger(part: Component) -> PartLog:
    """Return the log of a part."""
    return PartLog(part)


def configure_logs(options: LogOptions) -> None:
    """Send all log lines to standard error in the wanted format."""
    logger.remove()
    if options.format == "json":
        # The sink reads the record; a longer format would be rendered for nothing.
        logger.add(_write_json, level=options.level, format="{message}")
    else:
        logger.add(sys.stderr, level=options.level, format=_text_format)


def configure_bounded_logs(node: str, level: str = "INFO") -> None:
    """Send log lines as JSON to standard output, bounded and without waiting.

    Parameters
    ----------
    node : str
        Name of the node, told in each line.
    level : str
        Lowest level that is written.
    """
    sink = BoundedSink(sys.stdout.fileno(), time.monotonic, LineBudget())

    def write(message: Message) -> None:
        line = _json_line(message.record)
        line["node"] = node
        warning = message.record["level"].no >= WARNING_LEVEL
        sink.write(str(line["part"]), warning, line)

    logger.remove()
    logger.add(write, level=level, format="{message}")


def _text_format(record: Record) -> str:
    fields = record["extra"].get("fields", {})
    shown = "".join(f" {name}={value}" for name, value in fields.items())
    record["extra"]["shown"] = shown
    record["extra"].setdefault("part", Component.NODE.value)
    return (
        "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[part]}: "
        "{message}{extra[shown]}\n"
    )


def _json_line(record: Record) -> dict[str, object]:
    return {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "part": record["extra"].get("part", Component.NODE.value),
        "message": record["message"],
        "fields": record["extra"].get("fields", {}),
    }


def _write_json(message: Message) -> None:
    sys.stderr.write(_JSON.encode(_json_line(message.record)).decode() + "\n")
