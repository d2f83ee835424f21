"""Message authentication with shared keys."""

import hashlib
import hmac

MAC_BYTES = 16


def sign(key: bytes, data: bytes) -> bytes:
    """Returns a truncated HMAC-SHA256 of the data."""
    return hmac.digest(key, data, hashlib.sha256)[:MAC_BYTES]


def verify(key: bytes, data: bytes, mac: bytes) -> bool:
    """Returns whether the code is that of the data, in constant time."""
    return hmac.compare_digest(sign(key, data), mac)
