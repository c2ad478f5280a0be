"""Guard that a streamed event carries any text exactly, whatever it contains."""

import json

from hypothesis import given, strategies as st

from bramleyport.callers import ChunkRenderer
from bramleyport.core import RequestId


@given(st.text(), st.text(), st.booleans())
def test_chunk_carries_the_text(text: str, model: str, chat: bool) -> None:
    renderer = ChunkRenderer(RequestId("r"), model, 1, chat=chat)
    event = renderer.render(text)
    assert event.startswith(b"data: ")
    assert event.endswith(b"\n\n")
    value = json.loads(event[6:])
    choice = value["choices"][0]
    shown = choice["delta"]["content"] if chat else choice["text"]
    assert shown == text
    assert value["model"] == model
