"""Exceptions with error codes.

Each code has an HTTP status, and a flag that says whether the request is known
not to have run.
"""

import enum
from typing import NamedTuple


class Code(enum.Enum):
    """Error codes, visible to callers and operators."""

    NO_ROUTE = "no_route"
    UNAUTHORIZED = "unauthorized"
    NO_UPSTREAM = "no_upstream"
    NOT_READY = "not_ready"
    SLOTS_FULL = "slots_full"
    DEADLINE_PASSED = "deadline_passed"
    CLAIM_EXPIRED = "claim_expired"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_OVERRUN = "body_overrun"
    BODY_CUT_SHORT = "body_cut_short"
    BODIES_FULL = "bodies_full"
    BAD_REQUEST = "bad_request"
    HEADERS_SLOW = "headers_slow"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_SILENT = "upstream_silent"
    TIMED_OUT = "timed_out"
    UPSTREAM_SHED = "upstream_shed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    IN_PROGRESS = "in_progress"
    ALREADY_COMPLETED = "already_completed"
    KEY_REUSED = "key_reused"
    KEYS_FULL = "keys_full"
    LOG_UNAVAILABLE = "log_unavailable"
    LOG_GAP = "log_gap"
    LOG_MOVED_ON = "log_moved_on"
    PEER_UNAVAILABLE = "peer_unavailable"
    BAD_MESSAGE = "bad_message"
    BAD_SETTINGS = "bad_settings"
    BAD_RECORD = "bad_record"
    RECORD_TOO_LARGE = "record_too_large"
    VERSION_NOT_CLOSED = "version_not_closed"
    VERSION_MISMATCH = "version_mismatch"
    RATE_LIMITED = "rate_limited"


class CodeInfo(NamedTuple):
    """Properties of an error code.

    Attributes:
        http_status: HTTP status of an answer with this code.
        not_run: Whether the request is known not to have run.
    """

    http_status: int
    not_run: bool


CODE_INFO: dict[Code, CodeInfo] = {
    Code.NO_ROUTE: CodeInfo(404, True),
    Code.UNAUTHORIZED: CodeInfo(401, True),
    Code.NO_UPSTREAM: CodeInfo(503, True),
    Code.NOT_READY: CodeInfo(503, True),
    Code.SLOTS_FULL: CodeInfo(503, True),
    Code.DEADLINE_PASSED: CodeInfo(504, True),
    Code.CLAIM_EXPIRED: CodeInfo(503, True),
    Code.DRAINING: CodeInfo(503, True),
    Code.QUARANTINED: CodeInfo(422, True),
    # The sidecars' refusal of a request in quarantine. Their callers take only
    # a few statuses for a statement that the request has not run.
    Code.CRASHES_UPSTREAMS: CodeInfo(503, True),
    Code.BODY_TOO_LARGE: CodeInfo(413, True),
    Code.HEADERS_TOO_LARGE: CodeInfo(431, True),
    # The body exceeded the limit after part of it had been sent.
    Code.BODY_OVERRUN: CodeInfo(413, False),
    Code.BODY_CUT_SHORT: CodeInfo(400, False),
    Code.BODIES_FULL: CodeInfo(503, True),
    Code.BAD_REQUEST: CodeInfo(400, True),
    Code.HEADERS_SLOW: CodeInfo(408, True),
    Code.UPSTREAM_FAILED: CodeInfo(502, False),
    Code.UPSTREAM_SILENT: CodeInfo(504, False),
    Code.TIMED_OUT: CodeInfo(504, False),
    Code.UPSTREAM_SHED: CodeInfo(503, True),
    Code.OUTCOME_UNKNOWN: CodeInfo(409, False),
    Code.IN_PROGRESS: CodeInfo(409, False),
    Code.ALREADY_COMPLETED: CodeInfo(409, False),
    Code.KEY_REUSED: CodeInfo(422, True),
    Code.KEYS_FULL: CodeInfo(503, True),
    Code.LOG_UNAVAILABLE: CodeInfo(503, True),
    Code.PEER_UNAVAILABLE: CodeInfo(503, True),
    Code.RATE_LIMITED: CodeInfo(429, True),
}
_INTERNAL = CodeInfo(500, False)


class BuckthornError(Exception):
    """Base of all errors of the project.

    Attributes:
        code: Error code.
        message: Detail, without the code.
        retry_after_s: Time until a retry makes sense, in seconds; None if a
            retry is not suggested.
    """

    def __init__(
        self, code: Code, message: str, retry_after_s: float | None = None
    ):
        super().__init__(f"{code.value}: {message}")
        self.code = code
        self.message = message
        self.retry_after_s = retry_after_s

    @property
    def info(self) -> CodeInfo:
        """Properties of the code; HTTP status 500 if it has none."""
        return CODE_INFO.get(self.code, _INTERNAL)


class RequestError(BuckthornError):
    """A request that is answered with an error of the system itself."""


class LogError(BuckthornError):
    """An operation of the log service failed, or its answer was lost."""


class PeerError(BuckthornError):
    """A peer did not answer, or sent a malformed message."""


class ConfigError(BuckthornError):
    """Configuration that can't be applied."""


_CODES = {code.value: code for code in Code}


def code_from_name(text: str) -> Code:
    """Returns the code with this value, or UPSTREAM_SHED if unknown."""
    return _CODES.get(text, Code.UPSTREAM_SHED)
