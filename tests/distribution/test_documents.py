import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellrun.core import InvariantError
from bluebellrun.distribution import (
    Delta,
    DocumentSet,
    GapError,
    MalformedDocumentsError,
    decode_delta,
    encode_delta,
)


def stored(kind: str, values: dict[str, int]) -> dict[str, bytes]:
    items = [{"name": name, "value": value} for name, value in sorted(values.items())]
    return {kind: json.dumps({"kind": kind, "items": items}).encode()}


def test_diff_contains_only_changed_documents():
    documents = DocumentSet()
    documents.apply(documents.diff(stored("k", {"a": 1, "b": 1, "c": 1}), 5))
    delta = documents.diff(stored("k", {"a": 1, "b": 2}), 6)
    assert [item.name for item in delta.changed] == ["b"]
    assert [key.name for key in delta.dropped] == ["c"]
    assert (delta.base, delta.version) == (5, 6)


def test_delta_after_gap_is_rejected():
    source, behind = DocumentSet(), DocumentSet()
    for version in (5, 6, 7):
        delta = source.diff(stored("k", {"a": version}), version)
        source.apply(delta)
        if version == 5:
            behind.apply(delta)
    with pytest.raises(GapError):
        behind.apply(delta)
    behind.apply(source.since(behind.version))
    assert (behind.version, behind.digest) == (source.version, source.digest)


def test_different_documents_of_one_version_violate_invariant():
    left, right = DocumentSet(), DocumentSet()
    left.apply(left.diff(stored("k", {"a": 1}), 5))
    with pytest.raises(InvariantError, match="one version are equal"):
        left.apply(right.diff(stored("k", {"a": 2}), 5))


def test_delta_with_wrong_digest_is_not_applied():
    documents = DocumentSet()
    delta = documents.diff(stored("k", {"a": 1}), 5)
    with pytest.raises(InvariantError):
        documents.apply(Delta(0, 5, delta.digest ^ 1, delta.changed, []))
    assert documents.version == 0


def test_malformed_documents_are_rejected():
    with pytest.raises(MalformedDocumentsError, match="kind 'k'"):
        DocumentSet().diff({"k": b"{"}, 5)
    with pytest.raises(MalformedDocumentsError):
        decode_delta(b"\x01junk")


@settings(max_examples=60)
@given(data=st.data())
def test_deltas_in_any_order_never_lower_version_and_converge(data):
    changes = data.draw(
        st.lists(
            st.tuples(
                st.sampled_from(["k", "l"]),
                st.dictionaries(st.sampled_from("abcd"), st.integers(0, 3), max_size=4),
            ),
            min_size=1,
            max_size=12,
        )
    )
    first, second = DocumentSet(), DocumentSet()
    sent: list[bytes] = []
    pending: dict[str, bytes] = {}
    for version, (kind, values) in enumerate(changes, start=3):
        value = stored(kind, values)
        delta = first.diff(value, version)
        first.apply(delta)
        sent.append(encode_delta(delta))
        pending |= value
        if data.draw(st.booleans()):
            delta = second.diff(pending, version)
            second.apply(delta)
            sent.append(encode_delta(delta))
            pending = {}
    receiver = DocumentSet()
    for message in data.draw(st.permutations(sent + sent)):
        before = receiver.version
        try:
            receiver.apply(decode_delta(message))
        except GapError:
            if data.draw(st.booleans()):
                receiver.apply(first.since(receiver.version))
        assert receiver.version >= before
    delta = first.since(receiver.version)
    if delta is not None:
        receiver.apply(decode_delta(encode_delta(delta)))
    assert receiver.items == first.items
    assert receiver.digest == first.digest
