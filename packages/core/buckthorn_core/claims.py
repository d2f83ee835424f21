"""Claims of operation keys, as carried by log records and messages."""

import enum
import hashlib

import msgspec

from buckthorn_core import ids
from buckthorn_core import roles

# Each partition has its own stream and owner. An owner appends at most every
# 80 ms (partition_owners.MIN_APPEND_INTERVAL_S), so that all partitions append
# at most 200 times per second together, whatever the size of the fleet.
PARTITIONS = 16
KEY_BYTES = 16
TOKEN_BYTES = 12
FINGERPRINT_BYTES = 8
MAX_KEY_CHARS = 255
MAX_ANSWER_BYTES = 4_096
# Time for which a key is kept after the end of its request.
LIFETIME_MS = 600_000
# Maximum run time of a claimed request.
MAX_RUN_MS = 600_000
# If the log's retention is shorter, claims are refused, since a new owner can't
# read all claims that may still hold a key.
MAX_KEY_LIFETIME_MS = LIFETIME_MS + MAX_RUN_MS
# A granted request must reach its upstream within this time.
GRANT_LIFETIME_MS = 30_000


class Outcome(enum.Enum):
    """How a claimed request has ended.

    RELEASED means that it did not run and that the key can be claimed again.
    """

    COMPLETED = "completed"
    RELEASED = "released"
    UNKNOWN = "unknown"


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A request's claim of its operation key.

    Attributes:
        key: Digest of the operation key.
        token: Random id of this claim; the same in repeated messages.
        fingerprint: Digest of method and path, which detects a key that is
            used for two different requests.
        run_ms: Time until the request's deadline, in ms.
    """

    key: bytes
    token: bytes
    fingerprint: bytes
    run_ms: int


class Final(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """The final outcome of a claimed request.

    Attributes:
        key: Digest of the operation key.
        token: Token of the claim.
        outcome: How the request has ended.
        status: HTTP status of the answer.
        headers: Headers of the answer to send with a recorded answer.
        answer: Body of the answer; None if it is not recorded.
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
    """A log record with claims and final outcomes of a partition.

    Attributes:
        id: Random id, by which the writer recognizes its record.
        writer: Daemon that wrote the record.
        read_offset: Offset up to which the writer had read the stream.
        read_time_ms: Log time of the last record below `read_offset`; 0 if
            the stream had no record left.
        items: Claims and final outcomes, in order.
        mac: Authentication code under the peer key.
        epoch: Epoch of the log that the writer had read.
    """

    id: bytes
    writer: ids.DaemonId
    read_offset: ids.Offset
    read_time_ms: int
    items: list[Claim | Final]
    mac: bytes = b""
    epoch: ids.LogEpoch = ids.FIRST_EPOCH


class Verdict(enum.Enum):
    """Result of a claim."""

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
        verdict: Result of the claim.
        expires_ms: When a grant expires, in ms since the epoch.
        retry_ms: Time until the next poll or retry, in ms.
        status: Recorded HTTP status.
        headers: Recorded headers.
        body: Recorded body; None if there is none.
        address: Address of the partition's owner, if it is another daemon.
    """

    verdict: Verdict
    expires_ms: int = 0
    retry_ms: int = 0
    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes | None = None
    address: ids.Address = ids.Address("")


def digest_key(key: ids.OperationKey) -> bytes:
    """Returns the digest under which a key is recorded."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_BYTES).digest()


def fingerprint(method: str, path: str) -> bytes:
    """Returns the digest that identifies the request of a key."""
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
    """Returns the owner of a partition, chosen among the members.

    Args:
        partition: The partition.
        members: Members of the log's region.
    """
    found = roles.ranked(stream_of(partition), members, 1)
    return found[0] if found else None
