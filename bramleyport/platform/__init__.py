"""Translate between the users' platform and the project's own types.

The names of the platform's protocol occur in this package only. It decodes and encodes
values and makes no decision about them.
"""

from bramleyport.platform._begun_streams import (
    decode_begun_streams,
    encode_begun_streams,
)
from bramleyport.platform._config import decode_configuration
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    parse_document,
)
from bramleyport.platform._duties import (
    DutyAnswer,
    DutyClient,
    DutyResult,
    ScaleOrder,
    UsageReport,
)
from bramleyport.platform._engines import (
    CACHE_LISTING_PATH,
    READINESS_PATH,
    CacheListing,
    EngineReport,
    OrderResult,
    PrefillResult,
    StageOrder,
    decode_cache_listing,
    decode_order_status,
    decode_prefill,
    decode_report,
    make_handle_path,
    make_report_request,
    make_stage_request,
)
from bramleyport.platform._gateways import decode_gateway, encode_gateway
from bramleyport.platform._headers import (
    AnswerHead,
    CallHead,
    ForwardOptions,
    decode_answer,
    decode_call,
    decode_trailers,
    encode_answer_headers,
    encode_forward_headers,
    encode_own_headers,
    is_comment,
    read_event_id,
)
from bramleyport.platform._objects import (
    Change,
    ChangeBatch,
    Listing,
    NamelessObject,
    ObjectKind,
    ObjectName,
    StoredObject,
    decode_object_name,
)
from bramleyport.platform._registrations import decode_registration
from bramleyport.platform._settings import (
    Duty,
    DutySettings,
    NodeSettings,
    RetryBounds,
    StoreSettings,
    load_node_settings,
    locate_settings,
)
from bramleyport.platform._store import StoreClient, StoreError, StoreFailure
from bramleyport.platform._usage_ledger import decode_ledger, encode_ledger
from bramleyport.platform._verdicts import (
    VerdictDocument,
    decode_verdict,
    encode_verdict,
)
from bramleyport.platform._version_shares import (
    SharesDocument,
    decode_shares,
    encode_shares,
)

__all__ = [
    "CACHE_LISTING_PATH",
    "READINESS_PATH",
    "AnswerHead",
    "CacheListing",
    "CallHead",
    "Change",
    "ChangeBatch",
    "Document",
    "Duty",
    "DutyAnswer",
    "DutyClient",
    "DutyResult",
    "DutySettings",
    "EngineReport",
    "ForwardOptions",
    "Listing",
    "MalformedDocumentError",
    "NamelessObject",
    "NodeSettings",
    "ObjectKind",
    "ObjectName",
    "OrderResult",
    "PrefillResult",
    "RetryBounds",
    "ScaleOrder",
    "SharesDocument",
    "StageOrder",
    "StoreClient",
    "StoreError",
    "StoreFailure",
    "StoreSettings",
    "StoredObject",
    "UsageReport",
    "VerdictDocument",
    "decode_answer",
    "decode_begun_streams",
    "decode_cache_listing",
    "decode_call",
    "decode_configuration",
    "decode_gateway",
    "decode_ledger",
    "decode_object_name",
    "decode_order_status",
    "decode_prefill",
    "decode_registration",
    "decode_report",
    "decode_shares",
    "decode_trailers",
    "decode_verdict",
    "encode_answer_headers",
    "encode_begun_streams",
    "encode_forward_headers",
    "encode_gateway",
    "encode_ledger",
    "encode_own_headers",
    "encode_shares",
    "encode_verdict",
    "is_comment",
    "load_node_settings",
    "locate_settings",
    "make_handle_path",
    "make_report_request",
    "make_stage_request",
    "parse_document",
    "read_event_id",
]
