"""Compact encoding of load reports.

An entry receives a report from each agent of its subset about once a second, so load
reports are most of the control traffic. Their values are integers in a fixed order;
receivers ignore additional ones.
"""

from typing import Final

from bramleyport.core import EngineLoad, Rank
from bramleyport.wire._messages import LoadReport

MS_PER_S: Final = 1000
MAX_WAIT_S: Final = 86_400.0


def pack_load(load: EngineLoad, now_s: float) -> LoadReport:
    """Return the message that reports a load."""
    age_s = max(0.0, now_s - load.taken_s) if load.taken_s else 0.0
    waits_s = (min(load.wait_s.get(rank, 0.0), MAX_WAIT_S) for rank in Rank)
    return LoadReport(
        values=(
            _to_ms(age_s),
            load.running,
            load.queued,
            load.queued_prefill_tokens,
            load.running_decode_tokens,
            load.blocks_used,
            load.blocks_total,
            *(_to_ms(wait_s) for wait_s in waits_s),
            load.offered_prefill_ms,
            load.offered_decode_ms,
            load.offered_short_ms,
        )
    )


def unpack_load(report: LoadReport, now_s: float) -> EngineLoad:
    """Return the load in a message; values that an older peer omits become 0."""
    values = (*report.values, *[0] * PACKED_VALUE_COUNT)[:PACKED_VALUE_COUNT]
    age, running, queued, prefill, decode, used, total, *rest = values
    waits, offered = rest[: len(Rank)], rest[len(Rank) :]
    return EngineLoad(
        taken_s=now_s - age / MS_PER_S,
        running=running,
        queued=queued,
        queued_prefill_tokens=prefill,
        running_decode_tokens=decode,
        blocks_used=used,
        blocks_total=total,
        wait_s={rank: ms / MS_PER_S for rank, ms in zip(Rank, waits, strict=True)},
        offered_prefill_ms=offered[0],
        offered_decode_ms=offered[1],
        offered_short_ms=offered[2],
    )


PACKED_VALUE_COUNT: Final = 7 + len(Rank) + 3


def _to_ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)
