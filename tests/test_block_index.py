"""Test the compact set of cached blocks against a built-in set."""

from hypothesis import given, strategies as st

from bramleyport.core import BlockIndex, CachedPrefixes, PrefixBlock

blocks = st.integers(0, 2**64 - 1).map(lambda n: PrefixBlock(n.to_bytes(8, "big")))
batches = st.lists(blocks, max_size=60)


@given(batches, st.lists(st.tuples(st.booleans(), batches), max_size=8))
def test_index_equals_a_built_in_set(
    first: list[PrefixBlock], steps: list[tuple[bool, list[PrefixBlock]]]
) -> None:
    """Cover changes of single blocks and of merged batches."""
    index, expected = BlockIndex(first), set(first)
    for adds, batch in steps:
        if adds:
            index.update(batch)
            expected.update(batch)
        else:
            # Include half of the blocks in the index.
            batch = [*batch, *sorted(expected)[::2]]
            index.difference_update(batch)
            expected.difference_update(batch)
        assert set(index) == expected
        assert len(index) == len(expected)
        assert all(block in index for block in expected)
        assert not any(block in index for block in batch if block not in expected)


def test_prefix_is_counted_up_to_the_first_missing_block() -> None:
    prefix = tuple(PrefixBlock(bytes([n]) * 8) for n in range(5))
    cached = CachedPrefixes(blocks=BlockIndex([*prefix[:2], prefix[3]]))
    assert cached.count_cached(prefix) == 2
    assert cached.count_cached(prefix[3:]) == 1
    assert cached.count_cached(()) == 0
