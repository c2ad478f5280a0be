"""Import of KV blocks into the agent's engine."""

import asyncio
from typing import TYPE_CHECKING

from bramleyport.telemetry import log_event, transfer_events
from bramleyport.upstreams import EngineClient, UpstreamError

if TYPE_CHECKING:
    from bramleyport.wire import Execute


async def import_blocks(
    engine: EngineClient, execute: "Execute", limit_s: float
) -> str:
    """Import the KV blocks of a prompt and return the result.

    If the import fails, the engine computes the prompt itself.
    """
    result, reason, imported_blocks = "imported", "", 0
    try:
        async with asyncio.timeout(limit_s):
            imported_blocks = await engine.import_kv(
                execute.kv_source, execute.kv_blocks
            )
    except UpstreamError as error:
        result, reason = "failed", error.reason
    except TimeoutError:
        result, reason = "timeout", "limit reached"
    imported = result == "imported"
    log_event(
        transfer_events.KV_IMPORTED if imported else transfer_events.KV_IMPORT_FAILED,
        attempt=execute.attempt,
        peer=execute.kv_source,
        reason=reason,
        blocks=imported_blocks,
        limit_s=limit_s,
    )
    return result
