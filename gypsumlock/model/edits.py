"""What an operator can change, as pure functions of a snapshot.

Each edit names the revision it was based on. Applied to a newer snapshot it
either still fits (something else changed) or is refused with
`CONFIG_CONFLICT`, which shows the other change.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, replace

import msgspec
from result import Err, Ok, Result

from gypsumlock.model.document_path import set_at_path
from gypsumlock.model.ranks import Defaults
from gypsumlock.model.snapshot import (
    ConfigException,
    Origin,
    Overrides,
    Selector,
    Snapshot,
)
from gypsumlock.result_codes import Fault, ResultCode

__all__ = [
    "AddException",
    "Edit",
    "EditException",
    "RemoveException",
    "ReplaceDefaults",
    "RestoreVersion",
    "SetDefault",
    "next_snapshot",
]


class Edit(ABC):
    """One change of the configuration."""

    __slots__ = ()

    @abstractmethod
    def summary(self) -> str:
        """Return the change in a few words, for the history."""

    @abstractmethod
    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        """Return `current` with the change made, or the reason against it.

        The result still has the version, parent and origin of `current`.
        """


@dataclass(frozen=True, slots=True)
class SetDefault(Edit):
    """Sets one default, found by its path such as `routes.book.timeout_s`."""

    path: str
    value: object
    base_revision: int

    def summary(self) -> str:
        return f"default {self.path} = {self.value}"

    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        stale = _stale_defaults(current, self.base_revision)
        if stale is not None:
            return Err(stale)
        changed = set_at_path(current.defaults, self.path, self.value)
        if isinstance(changed, Err):
            return changed
        return Ok(
            replace(current, defaults=changed.ok_value, defaults_revision=version)
        )


@dataclass(frozen=True, slots=True)
class ReplaceDefaults(Edit):
    """Replaces all defaults by a whole document."""

    document: Defaults
    base_revision: int

    def summary(self) -> str:
        return "all defaults loaded"

    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        stale = _stale_defaults(current, self.base_revision)
        if stale is not None:
            return Err(stale)
        return Ok(replace(current, defaults=self.document, defaults_revision=version))


@dataclass(frozen=True, slots=True)
class AddException(Edit):
    """Adds an exception under a name that is not taken."""

    name: str
    selector: Selector
    overrides: Overrides
    reason: str
    review_on: str = ""

    def summary(self) -> str:
        return f"exception {self.name} added"

    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        other = current.exception_named(self.name)
        if other is not None:
            return Err(_conflict(f"exceptions.{self.name}", other))
        added = _stamped(self, version, origin)
        return Ok(replace(current, exceptions=(*current.exceptions, added)))


@dataclass(frozen=True, slots=True)
class EditException(Edit):
    """Replaces an exception, unless it changed after `base_revision`."""

    name: str
    selector: Selector
    overrides: Overrides
    reason: str
    base_revision: int
    review_on: str = ""

    def summary(self) -> str:
        return f"exception {self.name} edited"

    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        fault = _stale_exception(current, self.name, self.base_revision)
        if fault is not None:
            return Err(fault)
        edited = _stamped(self, version, origin)
        kept = tuple(
            edited if item.name == self.name else item for item in current.exceptions
        )
        return Ok(replace(current, exceptions=kept))


@dataclass(frozen=True, slots=True)
class RemoveException(Edit):
    """Removes an exception, unless it changed after `base_revision`."""

    name: str
    base_revision: int

    def summary(self) -> str:
        return f"exception {self.name} removed"

    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        fault = _stale_exception(current, self.name, self.base_revision)
        if fault is not None:
            return Err(fault)
        kept = tuple(item for item in current.exceptions if item.name != self.name)
        return Ok(replace(current, exceptions=kept))


@dataclass(frozen=True, slots=True)
class RestoreVersion(Edit):
    """Makes a new version with the content of an older one."""

    older: Snapshot
    # Head that the operator saw; any newer one refuses the restore.
    base_version: int

    def summary(self) -> str:
        return f"content of version {self.older.version} restored"

    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        if current.version != self.base_version:
            found = (
                f"version {current.version} came first: {current.origin.summary} "
                f"by {current.origin.author}"
            )
            return Err(Fault(ResultCode.CONFIG_CONFLICT, found, "version"))
        exceptions = tuple(
            replace(item, revision=version) for item in self.older.exceptions
        )
        return Ok(
            replace(
                current,
                defaults=self.older.defaults,
                defaults_revision=version,
                exceptions=exceptions,
            )
        )


def next_snapshot(
    current: Snapshot, edit: Edit, origin: Origin
) -> Result[Snapshot, Fault]:
    """Return the successor of `current` under one edit.

    Parameters
    ----------
    current : Snapshot
        The accepted head.
    edit : Edit
        The change to make.
    origin : Origin
        Author, reason, time and operation id of the new version.

    Returns
    -------
    Result[Snapshot, Fault]
        The next version, `CONFIG_NO_CHANGE` when nothing would change, or the
        fault that refuses the edit.
    """
    version = current.version + 1
    edited = edit.apply(current, version, origin)
    if isinstance(edited, Err):
        return edited
    if _same_content(edited.ok_value, current):
        return Err(Fault(ResultCode.CONFIG_NO_CHANGE, "nothing would change"))
    return Ok(
        replace(edited.ok_value, version=version, parent=current.version, origin=origin)
    )


def _same_content(left: Snapshot, right: Snapshot) -> bool:
    return left.defaults == right.defaults and left.exceptions == right.exceptions


def _stamped(
    edit: AddException | EditException, version: int, origin: Origin
) -> ConfigException:
    return ConfigException(
        name=edit.name,
        selector=edit.selector,
        overrides=edit.overrides,
        reason=edit.reason,
        author=origin.author,
        changed_at=origin.accepted_at,
        revision=version,
        review_on=edit.review_on,
    )


def _stale_defaults(current: Snapshot, base_revision: int) -> Fault | None:
    if current.defaults_revision <= base_revision:
        return None
    found = (
        f"the defaults changed in version {current.defaults_revision}, "
        f"this change was based on {base_revision}; "
        f"last change: {current.origin.summary} by {current.origin.author}"
    )
    return Fault(ResultCode.CONFIG_CONFLICT, found, "defaults")


def _stale_exception(current: Snapshot, name: str, base_revision: int) -> Fault | None:
    other = current.exception_named(name)
    path = f"exceptions.{name}"
    if other is None:
        found = f"no exception is named {name!r}"
        return Fault(ResultCode.CONFIG_UNKNOWN_EXCEPTION, found, path)
    if other.revision > base_revision:
        return _conflict(path, other)
    return None


def _conflict(path: str, other: ConfigException) -> Fault:
    shown = msgspec.json.encode(other).decode()
    found = f"{other.author} changed it in version {other.revision}: {shown}"
    return Fault(ResultCode.CONFIG_CONFLICT, found, path)
