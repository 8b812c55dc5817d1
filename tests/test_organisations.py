"""Organisations and their API keys: decoding, distribution and classification."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gypsumlock.mesh.feed_messages import (
    apply_delta,
    diff_configs,
    pack_config,
    pack_delta,
    unpack_config,
    unpack_delta,
)
from gypsumlock.mesh.model import MeshConfig, Organisation
from gypsumlock.mesh.route_table import RouteTable
from gypsumlock.organisations import (
    ANONYMOUS,
    Identity,
    bearer_key,
    digest_key,
    identify,
)
from gypsumlock.platform.config import decode_config
from gypsumlock.result_codes import ResultCode
from tests.standins.mesh_fleet import make_config
from tests.test_platform_adapter import (
    LIMITS_RESOURCE,
    config_document,
    route_resource,
)

KEY = "k-0123456789"


def tenant_resource(name: str = "acme", **spec: Any) -> dict[str, Any]:
    """Return a resource of type `tenants`."""
    return {"resource_type": "tenants", "metadata": {"name": name}, "spec": spec}


def decode(*resources: dict[str, Any]) -> MeshConfig | ResultCode:
    """Decode a version with a route and some organisations; return it or the code."""
    decoded = decode_config(
        config_document(LIMITS_RESOURCE, route_resource(), *resources)
    )
    return decoded.ok_value if isinstance(decoded, Ok) else decoded.err_value.code


class TestDecoding(unittest.TestCase):
    """An invalid organisation rejects the whole version; keys become digests."""

    def test_fields_are_decoded(self) -> None:
        spec: dict[str, Any] = {
            "api_keys": [KEY, KEY, ""],
            "priority": 2,
            "per_s": 5,
            "burst": 1.5,
        }
        config = decode(tenant_resource(**spec), tenant_resource("bare", per_s=None))
        assert isinstance(config, MeshConfig)
        digests = (digest_key(KEY.encode()),)
        expected = (Organisation("acme", digests, 2, 5.0, 1.5), Organisation("bare"))
        self.assertEqual(config.organisations, expected)

    def test_no_key_is_retained(self) -> None:
        config = decode(tenant_resource(api_keys=[KEY]))
        self.assertNotIn(KEY, repr(config))

    def test_invalid_organisations_are_rejected(self) -> None:
        duplicate_key = ResultCode.CONFIG_DUPLICATE_KEY
        bad_quota = ResultCode.CONFIG_BAD_QUOTA
        cases: list[tuple[ResultCode, list[dict[str, Any]]]] = [
            (duplicate_key, [{"api_keys": [KEY]}, {"api_keys": ["other", KEY]}]),
            (bad_quota, [{"per_s": -0.1}]),
            (bad_quota, [{"burst": -1}]),
            (bad_quota, [{"burst": 10**400}]),
            (bad_quota, [{"per_s": "many"}]),
            (ResultCode.PLATFORM_BAD_MESSAGE, [{"priority": -1}]),
            (ResultCode.PLATFORM_BAD_MESSAGE, [{"api_keys": KEY}]),
        ]
        for code, specs in cases:
            with self.subTest(specs=specs):
                tenants = [tenant_resource(f"o{n}", **x) for n, x in enumerate(specs)]
                self.assertEqual(decode(*tenants), code)

    def test_invalid_names_are_rejected(self) -> None:
        # Such a name can't be sent to an upstream, or to the node beside it.
        for name in ("", "a\r\nb", "x" * 201, " a"):
            with self.subTest(name=name):
                code = decode(tenant_resource(name))
                self.assertEqual(code, ResultCode.PLATFORM_BAD_MESSAGE)
        code = decode(tenant_resource(), tenant_resource())
        self.assertEqual(code, ResultCode.CONFIG_DUPLICATE_NAME)

    def test_errors_name_no_key(self) -> None:
        for spec in ({"api_keys": KEY}, {"api_keys": [KEY], "priority": KEY}):
            document = config_document(LIMITS_RESOURCE, tenant_resource(**spec))
            decoded = decode_config(document)
            assert isinstance(decoded, Err)
            self.assertNotIn(KEY, decoded.err_value.text())


def organisation_lists() -> st.SearchStrategy[tuple[Organisation, ...]]:
    """Return lists of organisations with different names."""
    organisations = st.builds(
        Organisation,
        name=st.sampled_from("abcdef"),
        key_digests=st.lists(st.binary(min_size=16, max_size=16), max_size=2).map(
            tuple
        ),
        rank=st.none() | st.integers(0, 3),
        rate_per_s=st.floats(0, 100),
    )
    return st.lists(organisations, unique_by=lambda x: x.name).map(tuple)


class TestDistribution(unittest.TestCase):
    """Nodes send each other organisations like routes."""

    @given(organisation_lists(), organisation_lists())
    def test_delta_gives_the_new_organisations(
        self, old: tuple[Organisation, ...], new: tuple[Organisation, ...]
    ) -> None:
        before = replace(make_config(3), organisations=old)
        after = replace(make_config(5), organisations=new)
        delta = unpack_delta(pack_delta(diff_configs(before, after)))
        assert delta is not None
        self.assertTrue(all(x not in old for x in delta.organisations))
        result = apply_delta(before, delta)
        assert result is not None
        self.assertCountEqual(result.organisations, new)
        self.assertEqual(unpack_config(pack_config(after)), after)

    def test_checksum_covers_the_organisations(self) -> None:
        # A node that missed a version must not keep a key that it removed.
        organisation = Organisation("a", (b"1" * 16,))
        before = replace(make_config(3), organisations=(organisation,))
        after = replace(before, version=5)
        delta = diff_configs(before, after)
        for held in ((), (replace(organisation, key_digests=()),)):
            base = replace(before, organisations=held)
            self.assertIsNone(apply_delta(base, delta))

    def test_delta_of_an_earlier_release_is_decoded(self) -> None:
        delta = diff_configs(make_config(3), make_config(5))
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(delta))[:7]
        decoded = msgspec.convert(fields, type(delta))
        self.assertEqual(decoded, delta)


class TestIdentification(unittest.TestCase):
    """Which requests need a key, and which organisation they belong to."""

    def setUp(self) -> None:
        self.organisation = Organisation("acme", (digest_key(KEY.encode()),))
        config = replace(make_config(), organisations=(self.organisation,))
        self.table = RouteTable(config)
        self.route = config.routes[0]
        self.public = replace(self.route, public=True)

    def test_known_key_gives_the_organisation(self) -> None:
        for route in (self.route, self.public):
            identity = identify(self.table, route, f"Bearer {KEY}".encode())
            assert isinstance(identity, Identity)
            self.assertIs(identity.organisation, self.organisation)

    def test_request_without_a_known_key(self) -> None:
        for value in (None, b"", b"Bearer", b"Bearer other", b"Basic " + KEY.encode()):
            with self.subTest(value=value):
                refused = identify(self.table, self.route, value)
                self.assertIs(refused, ResultCode.CALL_UNKNOWN_KEY)
                self.assertIs(identify(self.table, self.public, value), ANONYMOUS)

    def test_configuration_without_organisations_needs_no_key(self) -> None:
        table = RouteTable(make_config())
        self.assertIs(identify(table, self.route, b"Bearer other"), ANONYMOUS)

    def test_scheme_and_spaces(self) -> None:
        for value in (b"Bearer k", b"bearer k", b" BEARER  k "):
            self.assertEqual(bearer_key(value), b"k")
