"""Types shared by all packages: ids, states, requests, upstream views and errors."""

from bramleyport.core._blocks import BlockIndex
from bramleyport.core._cases import (
    AttemptSummary,
    CaseKind,
    DecisionSummary,
    LaggingProcess,
    Outcome,
    RequestCase,
)
from bramleyport.core._converter import make_strict_converter
from bramleyport.core._errors import (
    REFUSAL_STATUSES,
    ErrorCode,
    Explanation,
    ServeError,
    SettingsError,
    StepError,
)
from bramleyport.core._ids import (
    AccountId,
    AdapterName,
    AttemptId,
    FencingNumber,
    ModelName,
    ModelVersion,
    PoolName,
    PrefixBlock,
    ProcessId,
    RegionName,
    RequestId,
    Revision,
    ServiceName,
    StoreEra,
    UpstreamId,
    ZoneName,
)
from bramleyport.core._parsing import (
    MalformedJsonError,
    is_encodable,
    parse_json,
    read_amount,
    read_count,
)
from bramleyport.core._place import Place
from bramleyport.core._problems import Problem, list_problems
from bramleyport.core._prompt import CHARACTERS_PER_TOKEN, count_tokens, digest_prefix
from bramleyport.core._registry import Registry, UnknownPolicyError
from bramleyport.core._run_record import CallRecord, RunRecord, RunState
from bramleyport.core._states import (
    EngineRole,
    Execution,
    Rank,
    ServiceKind,
    UpstreamState,
)
from bramleyport.core._store_revision import StoreRevision
from bramleyport.core._views import (
    CachedPrefixes,
    EngineLoad,
    EngineRates,
    SentWork,
    UpstreamView,
)
from bramleyport.core._work import Targets, Work
from bramleyport.core._yaml import YamlDocument, read_yaml

__all__ = [
    "CHARACTERS_PER_TOKEN",
    "REFUSAL_STATUSES",
    "AccountId",
    "AdapterName",
    "AttemptId",
    "AttemptSummary",
    "BlockIndex",
    "CachedPrefixes",
    "CallRecord",
    "CaseKind",
    "DecisionSummary",
    "EngineLoad",
    "EngineRates",
    "EngineRole",
    "ErrorCode",
    "Execution",
    "Explanation",
    "FencingNumber",
    "LaggingProcess",
    "MalformedJsonError",
    "ModelName",
    "ModelVersion",
    "Outcome",
    "Place",
    "PoolName",
    "PrefixBlock",
    "Problem",
    "ProcessId",
    "Rank",
    "RegionName",
    "Registry",
    "RequestCase",
    "RequestId",
    "Revision",
    "RunRecord",
    "RunState",
    "SentWork",
    "ServeError",
    "ServiceKind",
    "ServiceName",
    "SettingsError",
    "StepError",
    "StoreEra",
    "StoreRevision",
    "Targets",
    "UnknownPolicyError",
    "UpstreamId",
    "UpstreamState",
    "UpstreamView",
    "Work",
    "YamlDocument",
    "ZoneName",
    "count_tokens",
    "digest_prefix",
    "is_encodable",
    "list_problems",
    "make_strict_converter",
    "parse_json",
    "read_amount",
    "read_count",
    "read_yaml",
]
