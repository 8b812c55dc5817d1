"""Edits that operators make to the configuration, as pure functions of a snapshot.

Edits use optimistic concurrency control: each carries the revision that it is
based on. On a newer snapshot it still applies if only something else changed;
otherwise it is rejected with `CONFIG_CONFLICT`, which shows the other change.
There are two special cases: `AddException` carries no revision and conflicts if
its name is in use, and `RestoreVersion` conflicts with any newer version.
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
    """One change to the configuration."""

    __slots__ = ()

    @abstractmethod
    def summary(self) -> str:
        """Return a short description of the change for the history."""

    @abstractmethod
    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        """Return `current` with the change applied, or the fault that rejects it.

        `version` and `origin` are those of the next snapshot. The result itself
        keeps the version, parent and origin of `current`.
        """


@dataclass(frozen=True, slots=True)
class SetDefault(Edit):
    """Sets one default, given by a path such as `routes.book.timeout_s`."""

    path: str
    value: object
    base_revision: int

    def summary(self) -> str:
        return f"default {self.path} = {self.value}"

    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        conflict = _check_defaults_revision(current, self.base_revision)
        if conflict is not None:
            return Err(conflict)
        changed = set_at_path(current.defaults, self.path, self.value)
        if isinstance(changed, Err):
            return changed
        return Ok(
            replace(current, defaults=changed.ok_value, defaults_revision=version)
        )


@dataclass(frozen=True, slots=True)
class ReplaceDefaults(Edit):
    """Replaces all defaults with a new document."""

    document: Defaults
    base_revision: int

    def summary(self) -> str:
        return "all defaults loaded"

    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        conflict = _check_defaults_revision(current, self.base_revision)
        if conflict is not None:
            return Err(conflict)
        return Ok(replace(current, defaults=self.document, defaults_revision=version))


@dataclass(frozen=True, slots=True)
class AddException(Edit):
    """Adds an exception under a name that is not in use."""

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
        existing = current.exception_named(self.name)
        if existing is not None:
            return Err(_exception_conflict(f"exceptions.{self.name}", existing))
        added = _build_exception(self, version, origin)
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
        fault = _check_exception_revision(current, self.name, self.base_revision)
        if fault is not None:
            return Err(fault)
        edited = _build_exception(self, version, origin)
        exceptions = tuple(
            edited if item.name == self.name else item for item in current.exceptions
        )
        return Ok(replace(current, exceptions=exceptions))


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
        fault = _check_exception_revision(current, self.name, self.base_revision)
        if fault is not None:
            return Err(fault)
        remaining = tuple(item for item in current.exceptions if item.name != self.name)
        return Ok(replace(current, exceptions=remaining))


@dataclass(frozen=True, slots=True)
class RestoreVersion(Edit):
    """Creates a new version with the content of an older one."""

    older: Snapshot
    # Head version that the operator saw. The restore is rejected if the head has
    # changed since.
    base_version: int

    def summary(self) -> str:
        return f"content of version {self.older.version} restored"

    def apply(
        self, current: Snapshot, version: int, origin: Origin
    ) -> Result[Snapshot, Fault]:
        if current.version != self.base_version:
            detail = (
                f"version {current.version} was accepted in the meantime: "
                f"{current.origin.summary} by {current.origin.author}"
            )
            return Err(Fault(ResultCode.CONFIG_CONFLICT, detail, "version"))
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
    """Apply one edit to `current` and return the next version.

    Parameters
    ----------
    current : Snapshot
        The newest accepted version.
    edit : Edit
        The change to apply.
    origin : Origin
        Author, reason, time and operation id of the new version.

    Returns
    -------
    Result[Snapshot, Fault]
        The next version, `CONFIG_NO_CHANGE` if the edit changes nothing, or the
        fault that rejects the edit.
    """
    version = current.version + 1
    edited = edit.apply(current, version, origin)
    if isinstance(edited, Err):
        return edited
    if _same_content(edited.ok_value, current):
        return Err(Fault(ResultCode.CONFIG_NO_CHANGE, "the edit changes nothing"))
    return Ok(
        replace(edited.ok_value, version=version, parent=current.version, origin=origin)
    )


def _same_content(left: Snapshot, right: Snapshot) -> bool:
    return left.defaults == right.defaults and left.exceptions == right.exceptions


def _build_exception(
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


def _check_defaults_revision(current: Snapshot, base_revision: int) -> Fault | None:
    """Return a conflict if the defaults changed after `base_revision`."""
    if current.defaults_revision <= base_revision:
        return None
    detail = (
        f"the defaults changed in version {current.defaults_revision}, "
        f"this change was based on version {base_revision}; "
        f"last change: {current.origin.summary} by {current.origin.author}"
    )
    return Fault(ResultCode.CONFIG_CONFLICT, detail, "defaults")


def _check_exception_revision(
    current: Snapshot, name: str, base_revision: int
) -> Fault | None:
    """Return a fault if the exception is missing or changed after `base_revision`."""
    existing = current.exception_named(name)
    path = f"exceptions.{name}"
    if existing is None:
        detail = f"no exception is named {name!r}"
        return Fault(ResultCode.CONFIG_UNKNOWN_EXCEPTION, detail, path)
    if existing.revision > base_revision:
        return _exception_conflict(path, existing)
    return None


def _exception_conflict(path: str, existing: ConfigException) -> Fault:
    content = msgspec.json.encode(existing).decode()
    detail = f"{existing.author} changed it in version {existing.revision}: {content}"
    return Fault(ResultCode.CONFIG_CONFLICT, detail, path)
