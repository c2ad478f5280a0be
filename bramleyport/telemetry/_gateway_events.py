"""Numbered log events of the gateway."""

from typing import Final

from bramleyport.telemetry._events import define

CALL_SENT: Final = define(2602, "INFO", "call sent to an upstream")
CALL_REFUSED: Final = define(2603, "INFO", "call refused")
CALL_FAILED: Final = define(2604, "WARNING", "call failed")
CALL_ANSWERED: Final = define(2605, "INFO", "call answered")
CALL_RETRIED: Final = define(2606, "INFO", "call retried")
CALLER_DISCONNECTED: Final = define(
    2607, "INFO", "caller disconnected before the answer was complete"
)
STREAM_RESUMED_ELSEWHERE: Final = define(
    2608, "INFO", "stream resumed on another upstream"
)
STREAM_ABORTED: Final = define(2609, "WARNING", "stream aborted")
ATTEMPT_LOST: Final = define(2610, "WARNING", "upstream gave no complete answer")
ATTEMPT_NOT_RUN: Final = define(2611, "INFO", "upstream did not run the call")
PREFILL_FAILED: Final = define(2612, "INFO", "prefill on another engine failed")
HANDLE_NOT_FREED: Final = define(2613, "INFO", "KV cache handle not released")
SILENT_ATTEMPT_KEPT: Final = define(
    2614, "INFO", "silent upstream waited for, no retry is assured"
)
CALL_HELD: Final = define(2615, "INFO", "call waits for an upstream to be back")
CALL_WAITS: Final = define(
    2720, "INFO", "call waits, its account has its share of the service"
)
CALL_ADMITTED: Final = define(
    2721, "INFO", "waiting call goes on, its account's share or capacity is free"
)
KEY_REFUSED: Final = define(
    2616, "INFO", "request refused, its key names no client account"
)
ACCOUNT_INVALID: Final = define(
    2617, "WARNING", "invalid client account or key left out"
)
CONFIG_APPLIED: Final = define(2621, "INFO", "configuration applied")
CONFIG_INVALID: Final = define(2622, "WARNING", "configuration rejected, last one kept")
UPSTREAM_JOINED: Final = define(2623, "INFO", "upstream registered")
UPSTREAM_CHANGED: Final = define(2624, "INFO", "upstream registration changed")
UPSTREAM_LEFT: Final = define(2625, "INFO", "upstream removed")
REGISTRATION_INVALID: Final = define(2626, "WARNING", "invalid registration ignored")
STORE_UNAVAILABLE: Final = define(2627, "WARNING", "store unavailable, last state kept")
STORE_AVAILABLE: Final = define(2628, "INFO", "store available again")
WATCH_RESTARTED: Final = define(
    2629, "INFO", "watch history expired, listing read again"
)
LIST_INCOMPLETE: Final = define(
    2630, "WARNING", "list ends before its last page, objects listed so far used"
)
PEER_JOINED: Final = define(2631, "INFO", "peer gateway discovered")
PEER_LOST: Final = define(2632, "INFO", "peer gateway lost")
PEER_MESSAGE_INVALID: Final = define(
    2633, "WARNING", "invalid message from a peer ignored"
)
SETTINGS_RELOADED: Final = define(2634, "INFO", "settings reloaded")
SETTINGS_REFUSED: Final = define(
    2635, "WARNING", "new settings rejected, old ones kept"
)
GATEWAY_NOT_LISTED: Final = define(
    2636, "INFO", "gateway address not written to the store"
)
CACHES_READ: Final = define(2638, "INFO", "cached prefixes of an engine read")
CACHES_NOT_READ: Final = define(2639, "INFO", "cached prefixes of an engine not read")
LEASE_CHANGED: Final = define(2640, "INFO", "lease of orders or duties changed")
STAGE_ORDERED: Final = define(2641, "INFO", "engine ordered to change its stage")
ORDER_UNANSWERED: Final = define(2642, "WARNING", "order not answered, may take effect")
REPORT_NOT_READ: Final = define(2643, "INFO", "report of an engine not read")
LIMIT_NAMED: Final = define(2644, "INFO", "rate limit of an upstream named or changed")
LIMIT_ENDED: Final = define(2645, "INFO", "rate limit of an upstream ended")
LIMIT_INVALID: Final = define(
    2646, "WARNING", "invalid rate limit of an upstream ignored, last one kept"
)
CRASH_REPORTED: Final = define(
    2650, "WARNING", "upstream crashed before the end of a call"
)
TRAIT_WITHHELD: Final = define(
    2651, "WARNING", "calls with a trait that crashes upstreams withheld"
)
TRAIT_RELEASED: Final = define(2652, "INFO", "withheld trait of calls released")
TRIAL_PERMITTED: Final = define(
    2653, "INFO", "trial of a call with a withheld trait permitted"
)
VERDICT_NOT_WRITTEN: Final = define(
    2654, "WARNING", "verdict on a trait of calls not written to the store"
)
VERDICT_INVALID: Final = define(2655, "WARNING", "invalid verdict in the store ignored")
PEER_ITEM_INVALID: Final = define(
    2670, "WARNING", "invalid items in a message from a peer left out"
)
PEER_ITEM_NOT_SENT: Final = define(
    2671, "WARNING", "item that can't be encoded left out of a message to the peers"
)
READINESS_CHANGED: Final = define(2637, "INFO", "readiness changed")
OBJECT_NOT_APPLIED: Final = define(
    2660, "ERROR", "unexpected error in applying an object of the store"
)
STOP_ADVANCED: Final = define(2656, "INFO", "planned stop reached its next phase")
CALLS_CUT: Final = define(
    2657, "WARNING", "connections with unanswered requests closed"
)
STORE_RESTORED: Final = define(
    2658, "WARNING", "store restored from a copy, listing compared with last state"
)
VERDICT_REWRITTEN: Final = define(
    2680, "INFO", "verdict on a trait of calls written again to a restored store"
)
LEFT_GATEWAY_REMOVED: Final = define(
    2681, "INFO", "entry of a gateway that has left removed from a restored store"
)
UPSTREAM_LEAVING: Final = define(2690, "INFO", "upstream said that it is leaving")
UPSTREAM_PAUSED: Final = define(2691, "INFO", "upstream wants no requests for a while")
PAUSE_INVALID: Final = define(2692, "WARNING", "invalid pause of an upstream ignored")
SHARES_CHANGED: Final = define(
    2693, "INFO", "shares of software versions in new streams changed"
)
SHARES_NOT_WRITTEN: Final = define(
    2694, "WARNING", "shares of software versions not written to the store"
)
SHARES_NOT_READ: Final = define(
    2696, "WARNING", "shares of software versions not read, version not deduced by them"
)
OTHER_PROCESS_ANSWERED: Final = define(
    2697, "WARNING", "another process answered than is registered, answer dropped"
)
PROCESS_NOT_CHECKED: Final = define(
    2698,
    "WARNING",
    "registration or report not read, process that answers not known from it",
)
VERSION_CORRECTED: Final = define(
    2699, "WARNING", "stream began at a later process than was meant, version corrected"
)
SHARES_INVALID: Final = define(
    2695, "WARNING", "invalid shares of software versions in the store ignored"
)
STREAMS_NOT_WRITTEN: Final = define(
    2682, "WARNING", "versions of streams not written to the store"
)
STREAMS_NOT_READ: Final = define(
    2683, "WARNING", "versions of streams not read from the store"
)
STREAMS_INVALID: Final = define(
    2684, "WARNING", "invalid versions of streams in the store ignored"
)
VERSION_NOT_KNOWN: Final = define(
    2685, "INFO", "version of a stream that is taken up not known"
)
PEER_UNREACHABLE: Final = define(2659, "WARNING", "datagram to a peer not sent")
CALLER_GAVE_WAY: Final = define(
    2750,
    "WARNING",
    "connection of a caller gave way, memory or connections for callers are used up",
)
