"""Tests of the configuration model: checks, edits, compilation and digests."""

from __future__ import annotations

import unittest
from dataclasses import replace

from result import Err, Ok

from gypsumlock.model import (
    EMPTY_SNAPSHOT,
    AddException,
    ConfigException,
    Edit,
    EditException,
    Endpoint,
    NodeIdentity,
    Origin,
    Overrides,
    RemoveException,
    ReplaceDefaults,
    RestoreVersion,
    Selector,
    SetDefault,
    Snapshot,
    VersionRef,
    check_snapshot,
    compile_policy,
    compile_table,
    decode_snapshot,
    digest_of,
    encode_snapshot,
    next_snapshot,
)
from gypsumlock.model.diff import diff_snapshots
from gypsumlock.result_codes import ResultCode
from tests.standins.fleet import load_example_defaults

ORIGIN = Origin(author="ana", accepted_at="2026-12-04T00:00:00+00:00")
NODE = NodeIdentity("127.0.0.1:2", "127.0.0.1:1", "glasgow", "north", "search-1")


def bowline_snapshot() -> Snapshot:
    """Return version 1 of the configuration, with the defaults of example `bowline`."""
    edit = ReplaceDefaults(load_example_defaults("bowline"), 0)
    return next_snapshot(EMPTY_SNAPSHOT, edit, ORIGIN).unwrap()


def make_exception(name: str = "book-timeout", **changes: object) -> ConfigException:
    """Return a valid exception, with the given fields replaced."""
    valid = ConfigException(
        name, Selector(route="book"), Overrides(timeout_s=9.0), "test", "ana", "", 1
    )
    return replace(valid, **changes)  # type: ignore[arg-type]


class TestChecks(unittest.TestCase):
    """An invalid snapshot is rejected as a whole, and all faults are reported."""

    def test_example_defaults_are_valid(self) -> None:
        for name in ("bowline", "fleurs"):
            snapshot = replace(bowline_snapshot(), defaults=load_example_defaults(name))
            self.assertEqual(check_snapshot(snapshot), [])

    def test_invalid_snapshot_reports_result_code(self) -> None:
        base = bowline_snapshot()
        document = base.defaults
        route = document.routes[0]
        rank = document.ranks[0]
        cases = (
            (
                replace(document, routes=(replace(route, service="unknown"),)),
                (),
                ResultCode.CONFIG_UNKNOWN_SERVICE,
            ),
            (
                replace(document, services=document.services[:1]),
                (),
                ResultCode.CONFIG_UNKNOWN_SERVICE,
            ),
            (
                replace(document, routes=(replace(route, rank="unknown"),)),
                (),
                ResultCode.CONFIG_UNKNOWN_RANK,
            ),
            (
                replace(document, routes=(route, route)),
                (),
                ResultCode.CONFIG_DUPLICATE_NAME,
            ),
            (
                replace(
                    document,
                    ranks=(*document.ranks, replace(rank, name="x", floor_share=0.9)),
                ),
                (),
                ResultCode.CONFIG_OUT_OF_RANGE,
            ),
            (document, (make_exception(reason=" "),), ResultCode.CONFIG_REASON_MISSING),
            (
                document,
                (make_exception(selector=Selector(route="unknown")),),
                ResultCode.CONFIG_UNKNOWN_SELECTOR,
            ),
            (
                document,
                (make_exception(overrides=Overrides(rank="unknown")),),
                ResultCode.CONFIG_UNKNOWN_RANK,
            ),
            (
                document,
                (make_exception(), make_exception()),
                ResultCode.CONFIG_DUPLICATE_NAME,
            ),
        )
        for defaults, exceptions, code in cases:
            with self.subTest(code=code):
                snapshot = replace(base, defaults=defaults, exceptions=exceptions)
                faults = check_snapshot(snapshot)
                self.assertIn(code, [fault.code for fault in faults])
                self.assertIsInstance(compile_policy(snapshot, NODE), Err)

    def test_all_faults_are_reported(self) -> None:
        base = bowline_snapshot()
        snapshot = replace(
            base,
            exceptions=(
                make_exception(reason=""),
                make_exception("other", selector=Selector(service="unknown")),
            ),
        )
        self.assertEqual(len(check_snapshot(snapshot)), 2)


class TestEdits(unittest.TestCase):
    """Concurrent edits conflict only if they change the same item."""

    def apply(self, current: Snapshot, edit: Edit) -> Snapshot:
        return next_snapshot(current, edit, ORIGIN).unwrap()

    def rejection_code(self, current: Snapshot, edit: Edit) -> ResultCode:
        rejected = next_snapshot(current, edit, ORIGIN)
        assert isinstance(rejected, Err)
        return rejected.err_value.code

    def make_add_edit(self, name: str) -> AddException:
        return AddException(name, Selector(), Overrides(timeout_s=1.0), "test")

    def test_edit_creates_the_next_version(self) -> None:
        first = bowline_snapshot()
        second = self.apply(first, SetDefault("routes.book.timeout_s", 2.0, 1))
        self.assertEqual((second.version, second.parent), (2, 1))
        self.assertEqual(second.defaults.routes[0].timeout_s, 2.0)

    def test_invalid_paths_and_values_are_rejected(self) -> None:
        cases = (
            ("routes.unknown.timeout_s", 1, ResultCode.CONFIG_UNKNOWN_PATH),
            ("routes", 1, ResultCode.CONFIG_BAD_DOCUMENT),
            ("", 1, ResultCode.CONFIG_UNKNOWN_PATH),
            ("routes.book.timeout_s", -1, ResultCode.CONFIG_BAD_DOCUMENT),
            ("routes.book.timeout_s", "not a number", ResultCode.CONFIG_BAD_DOCUMENT),
            ("limits.retry_budget_share", 2, ResultCode.CONFIG_BAD_DOCUMENT),
        )
        for path, value, code in cases:
            with self.subTest(path=path, value=value):
                edit = SetDefault(path, value, 1)
                self.assertIs(self.rejection_code(bowline_snapshot(), edit), code)

    def test_edit_without_effect_is_rejected(self) -> None:
        edit = SetDefault("routes.book.timeout_s", 3.0, 1)
        self.assertIs(
            self.rejection_code(bowline_snapshot(), edit), ResultCode.CONFIG_NO_CHANGE
        )

    def test_stale_edit_of_defaults_conflicts(self) -> None:
        second = self.apply(bowline_snapshot(), SetDefault("limits.ejection_s", 9.0, 1))
        stale = SetDefault("routes.book.timeout_s", 2.0, 1)
        self.assertIs(self.rejection_code(second, stale), ResultCode.CONFIG_CONFLICT)

    def test_edits_of_different_exceptions_do_not_conflict(self) -> None:
        second = self.apply(bowline_snapshot(), self.make_add_edit("one"))
        third = self.apply(second, self.make_add_edit("two"))
        fourth = self.apply(third, RemoveException("one", 2))
        self.assertEqual([x.name for x in fourth.exceptions], ["two"])

    def test_stale_edit_of_exception_conflicts_and_shows_the_other_change(self) -> None:
        second = self.apply(bowline_snapshot(), self.make_add_edit("one"))
        edit = EditException("one", Selector(), Overrides(rank="search"), "test", 2)
        third = self.apply(second, edit)
        rejected = next_snapshot(third, edit, ORIGIN)
        assert isinstance(rejected, Err)
        self.assertIs(rejected.err_value.code, ResultCode.CONFIG_CONFLICT)
        self.assertIn("ana changed it in version 3", rejected.err_value.detail)
        add_code = self.rejection_code(third, self.make_add_edit("one"))
        self.assertIs(add_code, ResultCode.CONFIG_CONFLICT)

    def test_removal_of_unknown_exception_is_rejected(self) -> None:
        code = self.rejection_code(bowline_snapshot(), RemoveException("unknown", 1))
        self.assertIs(code, ResultCode.CONFIG_UNKNOWN_EXCEPTION)

    def test_restore_creates_a_new_version(self) -> None:
        first = bowline_snapshot()
        second = self.apply(first, self.make_add_edit("one"))
        third = self.apply(second, RestoreVersion(first, 2))
        self.assertEqual(third.version, 3)
        self.assertEqual(third.exceptions, ())
        stale = RestoreVersion(first, 1)
        self.assertIs(self.rejection_code(second, stale), ResultCode.CONFIG_CONFLICT)

    def test_diff_lists_changed_paths(self) -> None:
        first = bowline_snapshot()
        second = self.apply(first, SetDefault("routes.book.timeout_s", 2.0, 1))
        [difference] = diff_snapshots(first, second)
        self.assertEqual(difference.path, "defaults.routes.book.timeout_s")
        self.assertEqual((difference.before, difference.after), (3.0, 2.0))
        third = self.apply(second, self.make_add_edit("one"))
        paths = [difference.path for difference in diff_snapshots(second, third)]
        self.assertTrue(all(path.startswith("exceptions.one.") for path in paths))


class TestCompile(unittest.TestCase):
    """Compilation applies exceptions, sorts routes and groups endpoints by service."""

    def test_exception_applies_only_where_its_selector_matches(self) -> None:
        matching = make_exception(selector=Selector(route="book", zone="glasgow"))
        other_zone = make_exception("other-zone", selector=Selector(zone="perth"))
        snapshot = replace(bowline_snapshot(), exceptions=(matching, other_zone))
        policy = compile_policy(snapshot, NODE).unwrap()
        timeouts = {route.name: route.timeout_s for route in policy.routes}
        self.assertEqual((timeouts["book"], timeouts["search"]), (9.0, 2.0))

    def test_most_specific_route_is_selected(self) -> None:
        document = load_example_defaults("fleurs")
        snapshot = replace(bowline_snapshot(), defaults=document)
        table = compile_table(compile_policy(snapshot, NODE).unwrap(), [])
        cases = (
            ("/pay/1", "pay"),
            ("/pay", "pay"),
            ("/payments", "portal"),
            ("/rounds/1?x", "sheets"),
            ("/", "portal"),
        )
        for path, name in cases:
            route = table.route_of("mesh", path, "GET")
            assert route is not None
            self.assertEqual(route.name, name, path)

    def test_table_contains_only_known_endpoints(self) -> None:
        policy = compile_policy(bowline_snapshot(), NODE).unwrap()
        endpoint = Endpoint("search", "a", "b", "glasgow", "north", 20, 0.0)
        table = compile_table(policy, [endpoint])
        self.assertEqual(dict(table.endpoints), {"search": (endpoint,)})

    def test_idempotency_depends_on_method_and_route(self) -> None:
        policy = compile_policy(bowline_snapshot(), NODE).unwrap()
        book = next(route for route in policy.routes if route.name == "book")
        self.assertTrue(book.is_idempotent("GET"))
        self.assertFalse(book.is_idempotent("POST"))
        overridden = replace(book, idempotent=True)
        self.assertTrue(overridden.is_idempotent("POST"))


class TestDigest(unittest.TestCase):
    """A payload is decoded only if its digest, version and types are correct."""

    def test_snapshot_round_trip(self) -> None:
        payload = encode_snapshot(bowline_snapshot())
        ref = VersionRef(1, digest_of(payload))
        self.assertEqual(decode_snapshot(payload, ref), Ok(bowline_snapshot()))

    def test_corrupted_payload_is_detected(self) -> None:
        payload = encode_snapshot(bowline_snapshot())
        ref = VersionRef(1, digest_of(payload))
        for index in range(0, len(payload), 97):
            corrupted = bytearray(payload)
            corrupted[index] ^= 1
            decoded = decode_snapshot(bytes(corrupted), ref)
            assert isinstance(decoded, Err)
            self.assertIs(decoded.err_value.code, ResultCode.SNAPSHOT_DIGEST_MISMATCH)

    def test_wrong_version_and_undecodable_payloads_are_rejected(self) -> None:
        payload = encode_snapshot(bowline_snapshot())
        for invalid in (payload, b'{"version": "x"}', b"\xff", b""):
            decoded = decode_snapshot(invalid, VersionRef(2, digest_of(invalid)))
            assert isinstance(decoded, Err)
            self.assertIs(decoded.err_value.code, ResultCode.SNAPSHOT_UNDECODABLE)

    def test_unknown_fields_of_a_later_release_are_ignored(self) -> None:
        payload = encode_snapshot(bowline_snapshot())[:-1] + b',"later": 1}'
        decoded = decode_snapshot(payload, VersionRef(1, digest_of(payload)))
        self.assertIsInstance(decoded, Ok)
