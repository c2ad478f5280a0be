"""Decide, without I/O, where the calls of a gateway run."""

from bramleyport.fleet._admission import admit
from bramleyport.fleet._choice import Choice, Chooser
from bramleyport.fleet._freshness import (
    Freshness,
    choose_store_watchers,
    is_sharing,
)
from bramleyport.fleet._ledger import WorkLedger
from bramleyport.fleet._load import LoadBook, UpstreamLoad, Work
from bramleyport.fleet._members import Membership
from bramleyport.fleet._moves import Move
from bramleyport.fleet._pacing import NewsPacing
from bramleyport.fleet._prefixes import PrefixCache, PrefixIndex
from bramleyport.fleet._reachability import Reachability
from bramleyport.fleet._routes import RouteTable, choose_service
from bramleyport.fleet._runs import RunTimes
from bramleyport.fleet._speed import ReadSpeeds
from bramleyport.fleet._stages import EngineView, StageChange, StagePlanner
from bramleyport.fleet._types import (
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
    Stage,
)

__all__ = [
    "Address",
    "Call",
    "CallerLimits",
    "Choice",
    "Chooser",
    "ConfigVersion",
    "Configuration",
    "EngineTraits",
    "EngineView",
    "Freshness",
    "LoadBook",
    "Membership",
    "Move",
    "NewsPacing",
    "PrefixCache",
    "PrefixId",
    "PrefixIndex",
    "Prompt",
    "PromptPart",
    "Reachability",
    "ReadSpeeds",
    "Registration",
    "Repeatability",
    "Route",
    "RouteName",
    "RouteTable",
    "RunTimes",
    "ServiceConfig",
    "ServiceShare",
    "Stage",
    "StageChange",
    "StagePlanner",
    "UpstreamLoad",
    "Work",
    "WorkLedger",
    "admit",
    "choose_service",
    "choose_store_watchers",
    "is_sharing",
]
