"""Define fields of registrations that no worker writes, but another writer may."""

from typing import Any, Final

from tests.platform_standin._store import RawJson

# Deeper than Python's parser of JSON goes.
REFUSED_DEPTH: Final = 100_000
# The parser accepts this depth, but no recursive function may follow it much further.
ACCEPTED_DEPTH: Final = 900
# Python refuses to convert more than 4,300 digits into an integer.
MANY_DIGITS: Final = 5_000


def make_nested(depth: int) -> RawJson:
    return RawJson(b"[" * depth + b"]" * depth)


# Fields that replace those of a valid registration.
ODD_FIELDS: Final[dict[str, dict[str, Any]]] = {
    "nested too deeply": {"models": make_nested(REFUSED_DEPTH)},
    "nested deeply": {"zone": make_nested(ACCEPTED_DEPTH)},
    "mapping as stage": {"stage": {"a": [1]}},
    "number of many digits": {"slots": RawJson(b"9" * MANY_DIGITS)},
    "huge slots": {"slots": 10**400},
    "huge start": {"born": 10**400},
    "huge float": {"slots": 1e308},
    "infinite float": {"slots": RawJson(b"1e999")},
    "port out of range": {"addr": "127.0.0.1:70000"},
    "port of many digits": {"addr": "127.0.0.1:" + "9" * MANY_DIGITS},
    "superscript port": {"addr": "127.0.0.1:\u00b2"},
    "port of other digits": {"addr": "127.0.0.1:\u0663"},
    "no host": {"addr": "not a host\r\n:80"},
    "no UTF-8": {"zone": RawJson(b'"\xff\xfe"')},
    "lone surrogate": {"zone": "\ud800"},
    "line break": {"service": "orders\r\nX: y"},
    "no JSON": {"zone": RawJson(b"nothing")},
}

# Metadata by which an entry cannot be told, or not whether it is new.
ODD_METADATA: Final[dict[str, Any]] = {
    "no metadata": None,
    "no name": {"revision": 3},
    "number as name": {"name": 7, "revision": 3},
    "line break in name": {"name": "a\r\nX: y", "revision": 3},
    "letters beyond ASCII": {"name": "\u0663", "revision": 3},
    "lone surrogate": {"name": "\ud800", "revision": 3},
    "long name": {"name": "n" * 5_000, "revision": 3},
    "huge revision": {"name": "a", "revision": 10**400},
    "text as revision": {"name": "a", "revision": "3"},
    "nested too deeply": make_nested(REFUSED_DEPTH),
    "no UTF-8": RawJson(b'{"name": "\xff", "revision": 3}'),
}
