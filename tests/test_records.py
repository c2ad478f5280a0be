"""Test record documents: both schema versions, conversion and rejected fields."""

from typing import Any

import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from bramleyport.core import Rank, read_yaml
from bramleyport.records import convert_to_v1, convert_to_v2, parse_record

FIELD_VALUES = st.one_of(
    st.integers(), st.floats(0, 1e6), st.text(max_size=5), st.booleans()
)
UNKNOWN = st.dictionaries(
    st.sampled_from(["note", "owner", "x-team"]),
    st.one_of(
        FIELD_VALUES, st.dictionaries(st.text(max_size=3), FIELD_VALUES, max_size=2)
    ),
    max_size=2,
)
RANKS = st.sampled_from([rank.value for rank in Rank])
RANK_V2 = st.fixed_dictionaries(
    {},
    optional={
        "answer_s": FIELD_VALUES,
        "first_token_s": FIELD_VALUES,
        "between_tokens_s": FIELD_VALUES,
        "price_per_million_tokens": FIELD_VALUES,
        "guaranteed_share": FIELD_VALUES,
        "surge_s": FIELD_VALUES,
    },
)
DOCUMENTS_V2 = st.builds(
    lambda known, unknown: {"schema": "v2", **unknown, **known},
    st.fixed_dictionaries(
        {"name": st.text(max_size=8)},
        optional={
            "model": st.fixed_dictionaries(
                {}, optional={"name": FIELD_VALUES, "versions": st.lists(FIELD_VALUES)}
            ),
            "plain": st.fixed_dictionaries(
                {}, optional={"allow_unkeyed": FIELD_VALUES}
            ),
            "ranks": st.dictionaries(RANKS, RANK_V2),
            "upstreams": st.dictionaries(st.text(max_size=3), st.text(max_size=3)),
        },
    ),
    UNKNOWN,
)
DOCUMENTS_V1 = st.builds(
    lambda known, unknown: {"schema": "v1", **unknown, **known},
    st.fixed_dictionaries(
        {"name": st.text(max_size=8)},
        optional={
            "model": FIELD_VALUES,
            "versions": st.lists(FIELD_VALUES),
            "repeatable": st.lists(st.text(max_size=3)),
            "unkeyed": FIELD_VALUES,
            "wait_s": st.dictionaries(RANKS, FIELD_VALUES),
            "price": st.dictionaries(RANKS, FIELD_VALUES),
            "share": st.dictionaries(RANKS, FIELD_VALUES),
        },
    ),
    UNKNOWN,
)


@given(DOCUMENTS_V2)
def test_v2_document_is_unchanged_after_conversion_to_v1_and_back(
    document: dict[str, Any],
) -> None:
    assert convert_to_v2(convert_to_v1(document)) == document


@given(DOCUMENTS_V1)
def test_v1_document_is_unchanged_after_conversion_to_v2_and_back(
    document: dict[str, Any],
) -> None:
    assert convert_to_v1(convert_to_v2(document)) == document


V2 = {
    "schema": "v2",
    "name": "inspections",
    "model": {"name": "inspector-8b", "versions": ["1"]},
    "ranks": {"urgent": {"answer_s": 20, "guaranteed_share": 0.5}},
}


def test_both_versions_are_parsed_to_the_same_record() -> None:
    assert parse_record(V2, strict=True) == parse_record(convert_to_v1(V2), strict=True)
    assert isinstance(parse_record(V2), Ok)


def test_process_ignores_fields_of_a_newer_version() -> None:
    assert isinstance(parse_record({**V2, "surge": 1}), Ok)
    assert isinstance(parse_record({**V2, "surge": 1}, strict=True), Err)


INVALID_DOCUMENTS: list[tuple[str, dict[str, Any], str]] = [
    ("name missing", {"ranks": {}}, "name"),
    ("odd name", {**V2, "name": "../x"}, "name"),
    ("name too long", {**V2, "name": "x" * 64}, "name"),
    ("unknown schema", {**V2, "schema": "v9"}, "schema"),
    ("no rank", {**V2, "ranks": {}}, "ranks"),
    ("unknown rank", {**V2, "ranks": {"soon": {"answer_s": 1}}}, "ranks"),
    ("zero wait", {**V2, "ranks": {"urgent": {"answer_s": 0}}}, "answer_s"),
    ("wait as text", {**V2, "ranks": {"urgent": {"answer_s": "1"}}}, "answer_s"),
    ("wait not finite", {**V2, "ranks": {"urgent": {"answer_s": 1e999}}}, "answer_s"),
    (
        "wait not a number",
        {**V2, "ranks": {"urgent": {"answer_s": 1e999 * 0}}},
        "answer",
    ),
    (
        "shares above one",
        {
            **V2,
            "ranks": {
                "urgent": {"answer_s": 1, "guaranteed_share": 0.6},
                "batch": {"answer_s": 1, "guaranteed_share": 0.6},
            },
        },
        "add up to 1.2",
    ),
    ("model and plain", {**V2, "plain": {}}, "exactly one of"),
    (
        "v1 wait",
        {"schema": "v1", "name": "a", "model": "m", "wait_s": {"urgent": 0}},
        "wait_s",
    ),
]


@pytest.mark.parametrize(
    ("document", "expected"),
    [row[1:] for row in INVALID_DOCUMENTS],
    ids=[r[0] for r in INVALID_DOCUMENTS],
)
def test_problem_states_the_invalid_field(
    document: dict[str, Any], expected: str
) -> None:
    result = parse_record(document, strict=True)
    assert isinstance(result, Err)
    assert any(expected in problem.describe() for problem in result.err_value)


def test_problem_of_a_misspelled_field_suggests_the_nearest() -> None:
    document = {**V2, "ranks": {"urgent": {"anser_s": 20, "answer_s": 2}}}
    result = parse_record(document, strict=True)
    assert isinstance(result, Err)
    assert "did you mean answer_s?" in result.err_value[0].describe()


MALICIOUS_YAML = [
    ("alias expansion", b"a: &a [x]\nb: [*a, *a]\n", "anchors", 1),
    ("code tag", b"a: 1\nb: !!python/object/apply:os.system ['x']\n", "tag", 2),
    ("duplicate key", b"a: 1\nb: 2\na: 3\n", "twice", 3),
    ("not UTF-8", b"a: \xff\xfe\n", "UTF-8", None),
    ("control bytes", b"a: \x00\n", "special characters", None),
    ("deep nesting", b"[" * 60 + b"]" * 60, "nested deeper", 1),
    ("very deep nesting", b"[" * 100_000, "", None),
    ("too large", b"a" * 1_000_001, "exceeds", None),
    ("empty", b"", "empty", None),
    ("two documents", b"a: 1\n---\nb: 2\n", "single document", None),
    ("key not text", b"? [a, b]\n: 1\n", "plain text", 1),
]


@pytest.mark.parametrize(
    ("raw", "expected", "line"),
    [r[1:] for r in MALICIOUS_YAML],
    ids=[r[0] for r in MALICIOUS_YAML],
)
def test_malicious_yaml_is_rejected(
    raw: bytes, expected: str, line: int | None
) -> None:
    result = read_yaml(raw)
    assert isinstance(result, Err)
    assert expected in result.err_value[0].reason
    if line is not None:
        assert result.err_value[0].line == line
