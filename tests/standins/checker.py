"""Judges the nodes' own records of what they ran."""

from __future__ import annotations

from tests.standins.fleet import Fleet

__all__ = ["find_config_violations"]


def find_config_violations(fleet: Fleet) -> list[str]:
    """Return every breach of the configuration promises in the nodes' logs.

    Checked for each address over all its starts: the versions put in force
    never fall. Checked over the fleet: one version has one digest, and no
    version runs anywhere that was not accepted first.
    """
    faults: list[str] = []
    digests: dict[int, str] = {}
    accepted = {0}
    for instance in fleet.instances:
        for entry in instance.log_entries():
            if entry["message"] == "version accepted":
                accepted.add(entry["fields"]["version"])
    for instance in fleet.instances:
        newest = -1
        for entry in instance.log_entries():
            if entry["message"] != "version in force":
                continue
            version = entry["fields"]["version"]
            digest = entry["fields"]["digest"]
            if version < newest:
                faults.append(f"{instance.plan.name} moved {newest} -> {version}")
            newest = max(newest, version)
            if digests.setdefault(version, digest) != digest:
                faults.append(f"version {version} has two digests")
            if version > max(accepted) + 1:
                faults.append(f"version {version} runs but was never accepted")
    return faults
