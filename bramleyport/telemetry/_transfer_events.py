"""Numbered log events of prefill and decode on different engines."""

from typing import Final

from bramleyport.telemetry._events import define

SPLIT_STARTED: Final = define(2501, "DEBUG", "prefill sent to a separate engine")
SPLIT_PREFILLED: Final = define(2502, "DEBUG", "separate prefill complete")
SPLIT_ABANDONED: Final = define(2503, "INFO", "separate prefill failed")
KV_EXPORTED: Final = define(2511, "DEBUG", "KV blocks ready for another engine")
KV_IMPORTED: Final = define(2512, "DEBUG", "KV blocks imported")
KV_IMPORT_FAILED: Final = define(
    2513, "INFO", "KV import failed, prompt prefilled locally"
)
