"""Decide, without I/O, which upstreams serve the calls of a gateway."""

from bramleyport.fleet._accounts import (
    AccountIndex,
    ApiKey,
    ClientAccount,
)
from bramleyport.fleet._admission import USABLE_FRACTION, admit
from bramleyport.fleet._authentication import (
    UnknownKey,
    authenticate,
    may_still_run,
    renew_account,
)
from bramleyport.fleet._capacity_use import (
    extend_for_one,
    has_free_prefill,
    has_free_slots,
    measure_prefill,
    measure_slots,
)
from bramleyport.fleet._choice import Choice, Chooser
from bramleyport.fleet._crash_evidence import (
    MAX_CRASHES,
    MAX_VERDICTS,
    CrashEvidence,
)
from bramleyport.fleet._crash_reports import (
    CrashId,
    CrashReport,
    HarmlessTrait,
    Verdict,
)
from bramleyport.fleet._decode_times import CallTimes, DecodeTimes
from bramleyport.fleet._ended import EndedProcess
from bramleyport.fleet._even_load import EvenLoad
from bramleyport.fleet._fair_sharing import (
    MAX_WAITING,
    AccountUse,
    Admit,
    CapacityUse,
    FairSharing,
    Refuse,
    SharingCall,
    SharingDecision,
    Wait,
)
from bramleyport.fleet._freshness import (
    Freshness,
    choose_store_watchers,
    is_watch_shared,
)
from bramleyport.fleet._leaving import LeavingUpstream
from bramleyport.fleet._load import (
    NO_ACCOUNT,
    AccountRank,
    LoadTracker,
    UpstreamLoad,
    Work,
)
from bramleyport.fleet._members import Membership
from bramleyport.fleet._pacing import UpdatePacing
from bramleyport.fleet._pauses import UpstreamPauses
from bramleyport.fleet._prefill_speeds import PrefillSpeeds
from bramleyport.fleet._prefixes import PrefixCache, PrefixIndex
from bramleyport.fleet._rank_reserve import PermitSupply, RankReserve
from bramleyport.fleet._ranks import RankTable
from bramleyport.fleet._rate_limits import (
    RateLimitChange,
    RateLimitNotice,
    RateLimitTable,
    compute_enforced_rate,
)
from bramleyport.fleet._rate_shares import RateShare, RateShares
from bramleyport.fleet._reachability import Reachability
from bramleyport.fleet._recorder import WorkRecorder
from bramleyport.fleet._roster import SILENT_AFTER_S, GatewayRoster
from bramleyport.fleet._routes import RouteTable, choose_service
from bramleyport.fleet._scale_plan import (
    ScaleBounds,
    ScaleChange,
    ScalePlan,
    ZoneLoad,
)
from bramleyport.fleet._serving import (
    AbsentUpstream,
    ServingGroup,
    ServingScope,
    writes_answers,
)
from bramleyport.fleet._shares_knowledge import SharesKnowledge
from bramleyport.fleet._shutdown import ShutdownSchedule, plan_shutdown
from bramleyport.fleet._stage_pools import EngineView
from bramleyport.fleet._stages import StageChange, StagePlanner
from bramleyport.fleet._stream_versions import BegunStream, StreamVersions
from bramleyport.fleet._traits import (
    MAX_TRAIT_CHARS,
    MAX_TRAITS,
    CallTraits,
    RequestIdentity,
    TraitId,
    describe_traits,
    is_request,
)
from bramleyport.fleet._transfers import Transfer
from bramleyport.fleet._trials import TRIAL_SPACING_S, choose_trial_interval
from bramleyport.fleet._types import (
    UNKNOWN_VERSION,
    Address,
    Call,
    CallerLimits,
    Configuration,
    ConfigVersion,
    EngineTraits,
    PrefixId,
    Prompt,
    PromptPart,
    Registration,
    Repeatability,
    Route,
    RouteName,
    ServiceConfig,
    ServiceShare,
    SoftwareVersion,
    Stage,
)
from bramleyport.fleet._unseen_load import UnseenLoad
from bramleyport.fleet._version_gap import VersionGap
from bramleyport.fleet._version_shares import VersionShares, compute_shares

__all__ = [
    "MAX_CRASHES",
    "MAX_TRAITS",
    "MAX_TRAIT_CHARS",
    "MAX_VERDICTS",
    "MAX_WAITING",
    "NO_ACCOUNT",
    "SILENT_AFTER_S",
    "TRIAL_SPACING_S",
    "UNKNOWN_VERSION",
    "USABLE_FRACTION",
    "AbsentUpstream",
    "AccountIndex",
    "AccountRank",
    "AccountUse",
    "Address",
    "Admit",
    "ApiKey",
    "BegunStream",
    "Call",
    "CallTimes",
    "CallTraits",
    "CallerLimits",
    "CapacityUse",
    "Choice",
    "Chooser",
    "ClientAccount",
    "ConfigVersion",
    "Configuration",
    "CrashEvidence",
    "CrashId",
    "CrashReport",
    "DecodeTimes",
    "EndedProcess",
    "EngineTraits",
    "EngineView",
    "EvenLoad",
    "FairSharing",
    "Freshness",
    "GatewayRoster",
    "HarmlessTrait",
    "LeavingUpstream",
    "LoadTracker",
    "Membership",
    "PermitSupply",
    "PrefillSpeeds",
    "PrefixCache",
    "PrefixId",
    "PrefixIndex",
    "Prompt",
    "PromptPart",
    "RankReserve",
    "RankTable",
    "RateLimitChange",
    "RateLimitNotice",
    "RateLimitTable",
    "RateShare",
    "RateShares",
    "Reachability",
    "Refuse",
    "Registration",
    "Repeatability",
    "RequestIdentity",
    "Route",
    "RouteName",
    "RouteTable",
    "ScaleBounds",
    "ScaleChange",
    "ScalePlan",
    "ServiceConfig",
    "ServiceShare",
    "ServingGroup",
    "ServingScope",
    "SharesKnowledge",
    "SharingCall",
    "SharingDecision",
    "ShutdownSchedule",
    "SoftwareVersion",
    "Stage",
    "StageChange",
    "StagePlanner",
    "StreamVersions",
    "TraitId",
    "Transfer",
    "UnknownKey",
    "UnseenLoad",
    "UpdatePacing",
    "UpstreamLoad",
    "UpstreamPauses",
    "Verdict",
    "VersionGap",
    "VersionShares",
    "Wait",
    "Work",
    "WorkRecorder",
    "ZoneLoad",
    "admit",
    "authenticate",
    "choose_service",
    "choose_store_watchers",
    "choose_trial_interval",
    "compute_enforced_rate",
    "compute_shares",
    "describe_traits",
    "extend_for_one",
    "has_free_prefill",
    "has_free_slots",
    "is_request",
    "is_watch_shared",
    "may_still_run",
    "measure_prefill",
    "measure_slots",
    "plan_shutdown",
    "renew_account",
    "writes_answers",
]
