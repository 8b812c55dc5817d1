"""Dotted paths of single values in the defaults.

A path such as `routes.book.timeout_s` or `limits.ejection_s` consists of field
names; an element of a list is identified by its `name` instead of its index.
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
    """Return a copy of the defaults with one existing value replaced.

    Parameters
    ----------
    document : Defaults
        The defaults to copy; not modified.
    path : str
        Dotted path of an existing value.
    value : object
        The new value, as decoded from JSON.

    Returns
    -------
    Result[Defaults, Fault]
        The new defaults, `CONFIG_UNKNOWN_PATH`, or `CONFIG_BAD_DOCUMENT` if
        the value has the wrong type or is out of range.
    """
    tree: Any = msgspec.to_builtins(document)
    *parent_keys, last_key = path.split(".")
    container: Any = tree
    for key in parent_keys:
        container = _child(container, key)
    if not isinstance(container, dict) or last_key not in container:
        detail = f"the defaults have no value at {path!r}"
        return Err(Fault(ResultCode.CONFIG_UNKNOWN_PATH, detail, path))
    container[last_key] = value
    try:
        return Ok(msgspec.convert(tree, Defaults))
    except msgspec.ValidationError as error:
        return Err(Fault(ResultCode.CONFIG_BAD_DOCUMENT, str(error), path))


def _child(container: Any, key: str) -> Any:
    """Return the field or the list element named `key`, or None."""
    if isinstance(container, dict):
        return container.get(key)
    if isinstance(container, list | tuple):
        return next(
            (x for x in container if isinstance(x, dict) and x.get("name") == key), None
        )
    return None
