"""Guard that streamed events contain any text unchanged.

Events are rendered from a template, so a text that looks like the placeholder, or that
needs escaping, could be changed.
"""

import json

from hypothesis import given, strategies as st

from bramleyport.callers import ChunkRenderer
from bramleyport.core import RequestId


@given(st.text(), st.text(), st.booleans())
def test_event_contains_the_text_unchanged(text: str, model: str, chat: bool) -> None:
    renderer = ChunkRenderer(RequestId("r"), model, 1, chat=chat)
    event = renderer.render(text)
    assert event.startswith(b"data: ")
    assert event.endswith(b"\n\n")
    value = json.loads(event[6:])
    choice = value["choices"][0]
    rendered = choice["delta"]["content"] if chat else choice["text"]
    assert rendered == text
    assert value["model"] == model
