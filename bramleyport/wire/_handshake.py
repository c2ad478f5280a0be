"""Version negotiation and proofs of the shared secret."""

import hashlib
import hmac
from typing import Final

from result import Err, Ok, Result

from bramleyport.wire._messages import PROTOCOL_MAX, PROTOCOL_MIN, Hello, Welcome

NONCE_BYTES: Final = 16


def choose_version(hello: Hello) -> Result[int, str]:
    """Return the highest protocol version that both sides support."""
    version = min(hello.version_max, PROTOCOL_MAX)
    if version < max(hello.version_min, PROTOCOL_MIN):
        return Err(
            f"peer speaks versions {hello.version_min} to {hello.version_max}, "
            f"this process {PROTOCOL_MIN} to {PROTOCOL_MAX}"
        )
    return Ok(version)


def sign_server(secret: bytes, hello: Hello, server_nonce: bytes) -> bytes:
    """Return the server's proof for a handshake."""
    return _sign(secret, b"server", hello.process, hello.nonce, server_nonce)


def sign_client(secret: bytes, hello: Hello, welcome: Welcome) -> bytes:
    """Return the client's proof for a handshake."""
    return _sign(secret, b"client", hello.process, hello.nonce, welcome.nonce)


def match_proof(expected: bytes, actual: bytes) -> bool:
    """Compare proofs in constant time."""
    return hmac.compare_digest(expected, actual)


def _sign(secret: bytes, side: bytes, process: str, *nonces: bytes) -> bytes:
    mac = hmac.new(secret, side + b"\0" + process.encode() + b"\0", hashlib.sha256)
    for nonce in nonces:
        mac.update(len(nonce).to_bytes(2, "big") + nonce)
    return mac.digest()
