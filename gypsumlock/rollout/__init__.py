"""Roll-outs: moves a service to another version of its upstreams, or back.

- `version_table`, `version_choice`, `share_sequence`: which versions get a call.
- `version_gate`, `reporter`: the owner of an upstream refuses calls that its version
  must not get, counts answers and reports them.
- `evidence`, `judgement`: compares the answers of two versions.
- `conductor`, `fleet_versions`, `controller`, `status_writer`: one node, which holds a
  lease, decides.

Always holds: an upstream of a version that is not the established one of its service
gets calls only while an entry of the conductor allows it.
"""
