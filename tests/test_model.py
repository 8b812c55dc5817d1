"""The configuration model: checks, edits, compilation, digests."""

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
from tests.standins.fleet import load_example

ORIGIN = Origin(author="ana", accepted_at="2026-12-04T00:00:00+00:00")
NODE = NodeIdentity("127.0.0.1:2", "127.0.0.1:1", "glasgow", "north", "search-1")


def bowline_snapshot() -> Snapshot:
    """Return version 1 with Bowline's defaults."""
    edit = ReplaceDefaults(load_example("bowline"), 0)
    return next_snapshot(EMPTY_SNAPSHOT, edit, ORIGIN).unwrap()


def exception(name: str = "late", **changes: object) -> ConfigException:
    """Return an exception that is good unless changed."""
    good = ConfigException(
        name, Selector(route="book"), Overrides(timeout_s=9.0), "because", "ana", "", 1
    )
    return replace(good, **changes)  # type: ignore[arg-type]


class TestChecks(unittest.TestCase):
    """A bad snapshot is refused whole, with every fault named."""

    def test_examples_are_good(self) -> None:
        for name in ("bowline", "fleurs"):
            snapshot = replace(bowline_snapshot(), defaults=load_example(name))
            self.assertEqual(check_snapshot(snapshot), [])

    def test_each_fault_has_its_code(self) -> None:
        base = bowline_snapshot()
        document = base.defaults
        route = document.routes[0]
        rank = document.ranks[0]
        cases = (
            (
                replace(document, routes=(replace(route, service="nobody"),)),
                (),
                ResultCode.CONFIG_UNKNOWN_SERVICE,
            ),
            (
                replace(document, services=document.services[:1]),
                (),
                ResultCode.CONFIG_UNKNOWN_SERVICE,
            ),
            (
                replace(document, routes=(replace(route, rank="nobody"),)),
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
            (document, (exception(reason=" "),), ResultCode.CONFIG_REASON_MISSING),
            (
                document,
                (exception(selector=Selector(route="nobody")),),
                ResultCode.CONFIG_UNKNOWN_SELECTOR,
            ),
            (
                document,
                (exception(overrides=Overrides(rank="nobody")),),
                ResultCode.CONFIG_UNKNOWN_RANK,
            ),
            (document, (exception(), exception()), ResultCode.CONFIG_DUPLICATE_NAME),
        )
        for defaults, exceptions, code in cases:
            with self.subTest(code=code):
                snapshot = replace(base, defaults=defaults, exceptions=exceptions)
                faults = check_snapshot(snapshot)
                self.assertIn(code, [fault.code for fault in faults])
                self.assertIsInstance(compile_policy(snapshot, NODE), Err)

    def test_all_faults_are_named(self) -> None:
        base = bowline_snapshot()
        snapshot = replace(
            base,
            exceptions=(
                exception(reason=""),
                exception("other", selector=Selector(service="nobody")),
            ),
        )
        self.assertEqual(len(check_snapshot(snapshot)), 2)


class TestEdits(unittest.TestCase):
    """Racing operators: unlike changes both fit, like ones conflict."""

    def edit(self, current: Snapshot, edit: Edit) -> Snapshot:
        return next_snapshot(current, edit, ORIGIN).unwrap()

    def refusal(self, current: Snapshot, edit: Edit) -> ResultCode:
        refused = next_snapshot(current, edit, ORIGIN)
        assert isinstance(refused, Err)
        return refused.err_value.code

    def add(self, name: str) -> AddException:
        return AddException(name, Selector(), Overrides(timeout_s=1.0), "because")

    def test_versions_follow_each_other(self) -> None:
        first = bowline_snapshot()
        second = self.edit(first, SetDefault("routes.book.timeout_s", 2.0, 1))
        self.assertEqual((second.version, second.parent), (2, 1))
        self.assertEqual(second.defaults.routes[0].timeout_s, 2.0)

    def test_bad_paths_and_values_are_refused(self) -> None:
        cases = (
            ("routes.nobody.timeout_s", 1, ResultCode.CONFIG_UNKNOWN_PATH),
            ("routes", 1, ResultCode.CONFIG_BAD_DOCUMENT),
            ("", 1, ResultCode.CONFIG_UNKNOWN_PATH),
            ("routes.book.timeout_s", -1, ResultCode.CONFIG_BAD_DOCUMENT),
            ("routes.book.timeout_s", "soon", ResultCode.CONFIG_BAD_DOCUMENT),
            ("limits.retry_budget_share", 2, ResultCode.CONFIG_BAD_DOCUMENT),
        )
        for path, value, code in cases:
            with self.subTest(path=path, value=value):
                edit = SetDefault(path, value, 1)
                self.assertIs(self.refusal(bowline_snapshot(), edit), code)

    def test_nothing_to_change_is_said(self) -> None:
        edit = SetDefault("routes.book.timeout_s", 3.0, 1)
        self.assertIs(
            self.refusal(bowline_snapshot(), edit), ResultCode.CONFIG_NO_CHANGE
        )

    def test_defaults_changed_meanwhile_conflict(self) -> None:
        second = self.edit(bowline_snapshot(), SetDefault("limits.ejection_s", 9.0, 1))
        late = SetDefault("routes.book.timeout_s", 2.0, 1)
        self.assertIs(self.refusal(second, late), ResultCode.CONFIG_CONFLICT)

    def test_other_exceptions_do_not_conflict(self) -> None:
        second = self.edit(bowline_snapshot(), self.add("one"))
        third = self.edit(second, self.add("two"))
        removed = self.edit(third, RemoveException("one", 2))
        self.assertEqual([x.name for x in removed.exceptions], ["two"])

    def test_same_exception_conflicts_and_shows_the_other_change(self) -> None:
        second = self.edit(bowline_snapshot(), self.add("one"))
        edit = EditException("one", Selector(), Overrides(rank="search"), "why", 2)
        third = self.edit(second, edit)
        refused = next_snapshot(third, edit, ORIGIN)
        assert isinstance(refused, Err)
        self.assertIs(refused.err_value.code, ResultCode.CONFIG_CONFLICT)
        self.assertIn("ana changed it in version 3", refused.err_value.detail)
        again = self.refusal(third, self.add("one"))
        self.assertIs(again, ResultCode.CONFIG_CONFLICT)

    def test_unknown_exception_is_refused(self) -> None:
        code = self.refusal(bowline_snapshot(), RemoveException("nobody", 1))
        self.assertIs(code, ResultCode.CONFIG_UNKNOWN_EXCEPTION)

    def test_restore_is_a_new_version(self) -> None:
        first = bowline_snapshot()
        second = self.edit(first, self.add("one"))
        third = self.edit(second, RestoreVersion(first, 2))
        self.assertEqual(third.version, 3)
        self.assertEqual(third.exceptions, ())
        late = RestoreVersion(first, 1)
        self.assertIs(self.refusal(second, late), ResultCode.CONFIG_CONFLICT)

    def test_diff_names_what_changed(self) -> None:
        first = bowline_snapshot()
        second = self.edit(first, SetDefault("routes.book.timeout_s", 2.0, 1))
        [difference] = diff_snapshots(first, second)
        self.assertEqual(difference.path, "defaults.routes.book.timeout_s")
        self.assertEqual((difference.before, difference.after), (3.0, 2.0))
        third = self.edit(second, self.add("one"))
        paths = [difference.path for difference in diff_snapshots(second, third)]
        self.assertTrue(all(path.startswith("exceptions.one.") for path in paths))


class TestCompile(unittest.TestCase):
    """Exceptions are resolved, routes found, endpoints joined."""

    def test_exception_is_in_effect_where_it_selects(self) -> None:
        inside = exception(selector=Selector(route="book", zone="glasgow"))
        outside = exception("far", selector=Selector(zone="perth"))
        snapshot = replace(bowline_snapshot(), exceptions=(inside, outside))
        policy = compile_policy(snapshot, NODE).unwrap()
        timeouts = {route.name: route.timeout_s for route in policy.routes}
        self.assertEqual((timeouts["book"], timeouts["search"]), (9.0, 2.0))

    def test_route_is_the_most_specific_one(self) -> None:
        document = load_example("fleurs")
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

    def test_table_holds_known_endpoints_only(self) -> None:
        policy = compile_policy(bowline_snapshot(), NODE).unwrap()
        endpoint = Endpoint("search", "a", "b", "glasgow", "north", 20, 0.0)
        table = compile_table(policy, [endpoint])
        self.assertEqual(dict(table.endpoints), {"search": (endpoint,)})

    def test_idempotency_follows_method_and_route(self) -> None:
        policy = compile_policy(bowline_snapshot(), NODE).unwrap()
        book = next(route for route in policy.routes if route.name == "book")
        self.assertTrue(book.is_idempotent("GET"))
        self.assertFalse(book.is_idempotent("POST"))
        forced = replace(book, idempotent=True)
        self.assertTrue(forced.is_idempotent("POST"))


class TestDigest(unittest.TestCase):
    """A snapshot is taken whole and genuine, or not at all."""

    def test_round_trip(self) -> None:
        payload = encode_snapshot(bowline_snapshot())
        ref = VersionRef(1, digest_of(payload))
        self.assertEqual(decode_snapshot(payload, ref), Ok(bowline_snapshot()))

    def test_corrupted_payload_is_detected(self) -> None:
        payload = encode_snapshot(bowline_snapshot())
        ref = VersionRef(1, digest_of(payload))
        for index in range(0, len(payload), 97):
            broken = bytearray(payload)
            broken[index] ^= 1
            decoded = decode_snapshot(bytes(broken), ref)
            assert isinstance(decoded, Err)
            self.assertIs(decoded.err_value.code, ResultCode.SNAPSHOT_DIGEST_MISMATCH)

    def test_wrong_version_and_wrong_types_are_refused(self) -> None:
        payload = encode_snapshot(bowline_snapshot())
        for bad in (payload, b'{"version": "x"}', b"\xff", b""):
            decoded = decode_snapshot(bad, VersionRef(2, digest_of(bad)))
            assert isinstance(decoded, Err)
            self.assertIs(decoded.err_value.code, ResultCode.SNAPSHOT_UNDECODABLE)

    def test_unknown_fields_of_a_later_release_are_ignored(self) -> None:
        payload = encode_snapshot(bowline_snapshot())[:-1] + b',"later": 1}'
        decoded = decode_snapshot(payload, VersionRef(1, digest_of(payload)))
        self.assertIsInstance(decoded, Ok)
