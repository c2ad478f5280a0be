"""Test that serving a request starts no thread besides that of the event loop."""

import json
import threading
from collections.abc import Callable, Coroutine
from typing import Any

from tests.http_client import fetch


def test_serving_a_request_uses_one_thread(
    demo: Any, run: Callable[[Coroutine[Any, Any, Any]], Any]
) -> None:
    body = json.dumps({"model": "inspections", "prompt": "a", "max_tokens": 2})
    url = f"http://127.0.0.1:{demo.entries[0].port}/v1/completions"
    assert run(fetch(url, "POST", body=body.encode())).status == 200
    assert [thread.name for thread in threading.enumerate()] == ["MainThread"]
