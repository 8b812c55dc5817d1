"""Checks the configuration guarantees against the nodes' logs."""

from __future__ import annotations

from tests.standins.fleet import Fleet

__all__ = ["find_config_violations"]


def find_config_violations(fleet: Fleet) -> list[str]:
    """Return every violation of the configuration guarantees in the nodes' logs.

    Checked for each node, including earlier starts: the version in force never
    decreases. Checked for the whole fleet: a version has the same digest on all
    nodes, and no node puts a version in force that was not accepted first.
    """
    violations: list[str] = []
    digest_by_version: dict[int, str] = {}
    accepted_versions = {0}
    for instance in fleet.instances:
        for entry in instance.log_entries():
            if entry["message"] == "version accepted":
                accepted_versions.add(entry["fields"]["version"])
    for instance in fleet.instances:
        highest = -1
        for entry in instance.log_entries():
            if entry["message"] != "version in force":
                continue
            version = entry["fields"]["version"]
            digest = entry["fields"]["digest"]
            if version < highest:
                violations.append(
                    f"{instance.plan.name} went back from version {highest} "
                    f"to {version}"
                )
            highest = max(highest, version)
            if digest_by_version.setdefault(version, digest) != digest:
                violations.append(f"version {version} has more than one digest")
            if version > max(accepted_versions) + 1:
                violations.append(
                    f"version {version} is in force but was never accepted"
                )
    return violations
