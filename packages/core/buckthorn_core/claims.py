"""Claims of operation keys, as log records and messages carry them."""

import enum
import hashlib

import msgspec

from buckthorn_core import ids
from buckthorn_core import roles

# One stream and one owner each. An owner leaves at least 80 ms between two
# appends (operations.APPEND_SPACING_S), so that all partitions together append
# at most 200 times a second, whatever the size of the fleet.
PARTITIONS = 16
KEY_BYTES = 16
TOKEN_BYTES = 12
FINGERPRINT_BYTES = 8
MAX_KEY_CHARS = 255
MAX_ANSWER_BYTES = 4_096
# A key outlives the end of its request by this time.
LIFETIME_MS = 600_000
# Longest time that a claimed request may run.
MAX_RUN_MS = 600_000
# A log that keeps records for a shorter time costs refusals: a new owner can't
# know of all claims that hold.
MAX_KEY_LIFETIME_MS = LIFETIME_MS + MAX_RUN_MS
# A claimed request must have reached its upstream in this time.
GRANT_LIFETIME_MS = 30_000


class Outcome(enum.Enum):
    """How a claimed request has ended.

    RELEASED means that it has not run, so that the key is free again.
    """

    COMPLETED = "completed"
    RELEASED = "released"
    UNKNOWN = "unknown"


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """The wish to run a request with an operation key.

    Attributes:
        key: Digest of the operation key.
        token: Random name of this try; the same in repeated messages.
        fingerprint: Digest of method and path, to notice a key that is used
            for two different requests.
        run_ms: Time until the request's deadline, in ms.
    """

    key: bytes
    token: bytes
    fingerprint: bytes
    run_ms: int


class Final(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """The end of a claimed request.

    Attributes:
        key: Digest of the operation key.
        token: Token of the claim.
        outcome: How the request has ended.
        status: HTTP status of the answer.
        headers: Headers of the answer that a repeat needs.
        answer: Body of the answer; None if it was not kept.
    """

    key: bytes
    token: bytes
    outcome: Outcome
    status: int = 0
    headers: list[tuple[str, str]] = []
    answer: bytes | None = None


class ClaimBatch(
    msgspec.Struct, frozen=True, array_like=True, tag="claim_batch"
):
    """A record of a stream of operations.

    Attributes:
        id: Random name, by which the writer finds its record.
        writer: The owner that wrote it.
        seen: Next offset of the writer when it wrote the record.
        seen_ms: Log time of the last record below `seen`; 0 if the stream
            held none any more.
        items: Claims and ends of requests, in order.
        mac: Authentication by the peer key.
    """

    id: bytes
    writer: ids.DaemonId
    read_offset: ids.Offset
    read_time_ms: int
    items: list[Claim | Final]
    mac: bytes = b""


class Verdict(enum.Enum):
    """What an owner says to a claim."""

    PENDING = "pending"
    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"
    FULL = "full"
    MOVED = "moved"


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """An owner's answer to a claim.

    Attributes:
        verdict: What became of the claim.
        expires_ms: When a grant expires, in ms since the epoch.
        retry_ms: When to ask again, in ms.
        status: Recorded HTTP status.
        headers: Recorded headers.
        body: Recorded body; None if it was not kept.
        address: Where the partition's owner is, if it is another daemon.
    """

    verdict: Verdict
    expires_ms: int = 0
    retry_ms: int = 0
    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes | None = None
    address: ids.Address = ids.Address("")


def digest_key(key: ids.OperationKey) -> bytes:
    """Returns the digest by which a key is recorded."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_BYTES).digest()


def fingerprint(method: str, path: str) -> bytes:
    """Returns the digest of what a key is used for."""
    data = f"{method} {path}".encode()
    return hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES).digest()


def partition_of(key: bytes) -> int:
    """Returns the partition of a key's digest."""
    return key[0] % PARTITIONS


def stream_of(partition: int) -> str:
    """Returns the log stream of a partition."""
    return f"operations-{partition}"


def owner_of(
    partition: int, members: list[ids.DaemonId]
) -> ids.DaemonId | None:
    """Returns a partition's owner among members of the log's region."""
    found = roles.ranked(stream_of(partition), members, 1)
    return found[0] if found else None
