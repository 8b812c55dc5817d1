"""Addresses a single value inside the defaults, by names in place of indexes.

A path such as `routes.book.timeout_s` or `limits.ejection_s` goes through
fields and, in a list, through the `name` of the wanted element.
"""

from __future__ import annotations

from typing import Any

import msgspec
from result import Err, Ok, Result

from gypsumlock.model.ranks import Defaults
from gypsumlock.result_codes import Fault, ResultCode

__all__ = ["set_at_path"]


def set_at_path(
    document: Defaults, path: str, value: object
) -> Result[Defaults, Fault]:
    """Return the defaults with one existing value replaced.

    Parameters
    ----------
    document : Defaults
        The defaults to start from; not changed.
    path : str
        Dotted path of an existing value.
    value : object
        The new value, in its JSON form.

    Returns
    -------
    Result[Defaults, Fault]
        The new defaults, `CONFIG_UNKNOWN_PATH`, or `CONFIG_BAD_DOCUMENT` when
        the value has the wrong type or lies out of range.
    """
    tree: Any = msgspec.to_builtins(document)
    *parents, last = path.split(".")
    place: Any = tree
    for step in parents:
        place = _descend(place, step)
    if not isinstance(place, dict) or last not in place:
        found = f"no default is named {path!r}"
        return Err(Fault(ResultCode.CONFIG_UNKNOWN_PATH, found, path))
    place[last] = value
    try:
        return Ok(msgspec.convert(tree, Defaults))
    except msgspec.ValidationError as error:
        return Err(Fault(ResultCode.CONFIG_BAD_DOCUMENT, str(error), path))


def _descend(place: Any, step: str) -> Any:
    """Return the child named `step`, or None."""
    if isinstance(place, dict):
        return place.get(step)
    if isinstance(place, list | tuple):
        return next(
            (x for x in place if isinstance(x, dict) and x.get("name") == step), None
        )
    return None
