"""Operation keys of callers' requests: claim, run, report the outcome.

The holder of a key is the daemon whose claim of it was granted.
"""

from collections.abc import Callable
import os
import threading
import time
from typing import Protocol

from buckthorn_adapters import servers
from buckthorn_core import claims
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_daemon import headers
from buckthorn_daemon import owner_clients
from buckthorn_daemon import owning
from buckthorn_daemon import state

# Time after which a caller is told that its key can't be claimed.
CLAIM_TIMEOUT_S = 3.0
RETRY_PAUSE_S = 0.05
MIN_PAUSE_S = 0.002
MAX_REDIRECTS = 4
FLUSH_PERIOD_S = 0.1
FINAL_RETRY_S = 0.35
MAX_FINAL_RETRY_S = 5.0
MAX_PENDING_FINALS = 512
FINALS_PER_MESSAGE = 64
DRAIN_TIMEOUT_S = 3.0
_REFUSED_VERDICTS = (claims.Verdict.UNAVAILABLE, claims.Verdict.FULL)
_RECORDED_HEADERS = frozenset({"content-type", "content-encoding", "location"})


class RequestContext(Protocol):
    """The attributes of a caller's request that claims use."""

    exchange: servers.Exchange
    idempotent: bool
    deadline_s: float
    expires_ms: int | None


class _AnswerRecorder:
    """Buffers a small answer while it is relayed to the caller."""

    def __init__(self, exchange: servers.Exchange):
        self._exchange = exchange
        self._data = b""
        self._fits = True
        exchange.on_body_write = self._add

    def _add(self, data: bytes) -> None:
        if len(self._data) + len(data) > claims.MAX_ANSWER_BYTES:
            self._fits = False
        if self._fits:
            self._data += data

    @property
    def is_complete(self) -> bool:
        """Whether the buffer is known to hold the complete answer."""
        lengths = [
            value
            for name, value in self._exchange.response_headers
            if name.lower() == "content-length"
        ]
        return self._fits and lengths == [str(len(self._data))]

    def final(self, claim: claims.Claim) -> claims.Final:
        """Returns the final outcome of a completed request."""
        recorded_headers = [
            (name, value)
            for name, value in self._exchange.response_headers
            if name.lower() in _RECORDED_HEADERS
        ]
        return claims.Final(
            claim.key,
            claim.token,
            claims.Outcome.COMPLETED,
            self._exchange.status,
            recorded_headers,
            self._data if self._fits else None,
        )


class _PendingFinal:
    """A final outcome that its owner has not confirmed as recorded yet."""

    def __init__(self, final: claims.Final):
        self.final = final
        self.next_s = 0.0
        self.pause_s = FINAL_RETRY_S

    def schedule_retry(self, now_s: float) -> None:
        """Schedules the next message, with exponential backoff."""
        self.next_s = now_s + self.pause_s
        self.pause_s = min(MAX_FINAL_RETRY_S, 2 * self.pause_s)


class Claimer:
    """Claims operation keys for the requests of callers."""

    def __init__(self, shared: state.State, owners: owning.Owners):
        self._shared = shared
        self._owner_client = owner_clients.OwnerClient(shared, owners)
        self._lock = threading.Lock()
        self._pending: dict[bytes, _PendingFinal] = {}

    def run(self, ctx: RequestContext, send: Callable[[], None]) -> None:
        """Sends a request; one with an operation key runs at most once.

        A claim also shortens the request's deadline to the maximum run time.

        Args:
            ctx: The request.
            send: Sends the request to an upstream and relays the answer.

        Raises:
            errors.RequestError: The key is in use or can't be claimed, or the
                request failed.
        """
        key = _operation_key(ctx)
        if key is None:
            send()
            return
        now_s = time.monotonic()
        run_s = min(ctx.deadline_s - now_s, claims.MAX_RUN_MS / 1000)
        ctx.deadline_s = now_s + run_s
        exchange = ctx.exchange
        claim = claims.Claim(
            claims.digest_key(key),
            os.urandom(claims.TOKEN_BYTES),
            claims.fingerprint(exchange.method, exchange.path),
            max(0, int(run_s * 1000)),
        )
        answer = self._claim(claim, now_s + min(CLAIM_TIMEOUT_S, run_s / 2))
        metrics = self._shared.metrics
        metrics.count("buckthorn_claims", verdict=answer.verdict.value)
        metrics.record("buckthorn_claim", time.monotonic() - now_s)
        if answer.verdict is claims.Verdict.GRANTED:
            ctx.expires_ms = answer.expires_ms
            self._run_claimed(exchange, claim, send)
        elif answer.verdict is claims.Verdict.COMPLETED:
            _send_recorded_answer(exchange, answer)
        else:
            raise _refusal_error(answer)

    def _run_claimed(
        self,
        exchange: servers.Exchange,
        claim: claims.Claim,
        send: Callable[[], None],
    ) -> None:
        recorder = _AnswerRecorder(exchange)
        try:
            send()
        except errors.BuckthornError as exc:
            not_run = exc.info.not_run and not exchange.started
            self._enqueue_final(
                _make_final(
                    claim,
                    claims.Outcome.RELEASED
                    if not_run
                    else claims.Outcome.UNKNOWN,
                )
            )
            raise
        except BaseException:
            # The caller has disconnected, but the complete answer may have
            # been buffered.
            final = _make_final(claim, claims.Outcome.UNKNOWN)
            if exchange.started and recorder.is_complete:
                final = recorder.final(claim)
            self._enqueue_final(final)
            raise
        self._enqueue_final(recorder.final(claim))

    # Claims.

    def _claim(self, claim: claims.Claim, deadline_s: float) -> claims.Answer:
        """Claims a key; releases the claim if it gives up."""
        address: ids.Address | None = None
        may_be_recorded = False
        redirects = 0
        while (left_s := deadline_s - time.monotonic()) > 0:
            pause_s = 0.0
            sent_s = time.monotonic()
            try:
                answer = self._owner_client.claim(claim, address, left_s)
            except errors.PeerError:
                # The message may have arrived. Sending it again is safe, even
                # to another owner, since the token stays the same.
                may_be_recorded = True
                address = None
                time.sleep(min(RETRY_PAUSE_S, left_s))
                continue
            if answer.verdict is claims.Verdict.MOVED:
                address = answer.address
                redirects += 1
                pause_s = RETRY_PAUSE_S if redirects > MAX_REDIRECTS else 0.0
            elif answer.verdict is claims.Verdict.PENDING:
                may_be_recorded = True
                # retry_ms runs from the owner's answer to the arrival of the
                # next message, so it includes a round trip.
                round_trip_s = time.monotonic() - sent_s
                pause_s = max(
                    MIN_PAUSE_S, answer.retry_ms / 1000 - round_trip_s
                )
            elif answer.verdict in _REFUSED_VERDICTS:
                break
            else:
                return answer
            time.sleep(max(0.0, min(pause_s, left_s)))
        else:
            answer = claims.Answer(claims.Verdict.UNAVAILABLE, retry_ms=1_000)
        if may_be_recorded:
            self._enqueue_final(_make_final(claim, claims.Outcome.RELEASED))
        return answer

    # Final outcomes.

    def _enqueue_final(self, final: claims.Final) -> None:
        with self._lock:
            if len(self._pending) >= MAX_PENDING_FINALS:
                # The key of the dropped one stays claimed: callers that use
                # it again are told that the outcome is unknown.
                self._pending.pop(next(iter(self._pending)))
                self._shared.metrics.count("buckthorn_finals_dropped")
            self._pending[final.token] = _PendingFinal(final)

    def flush(self) -> None:
        """Sends the final outcomes that are due to their owners.

        An outcome stays pending until its owner confirms that it is recorded.
        """
        now_s = time.monotonic()
        due: dict[int, list[_PendingFinal]] = {}
        with self._lock:
            for pending in self._pending.values():
                if pending.next_s <= now_s:
                    partition = claims.partition_of(pending.final.key)
                    due.setdefault(partition, []).append(pending)
        for partition, pending_finals in due.items():
            batch = pending_finals[:FINALS_PER_MESSAGE]
            for pending in batch:
                pending.schedule_retry(now_s)
            try:
                tokens = self._owner_client.record_finals(
                    partition, [pending.final for pending in batch]
                )
            except errors.PeerError:
                continue
            with self._lock:
                for token in tokens:
                    self._pending.pop(token, None)

    def drain(self) -> None:
        """Waits up to DRAIN_TIMEOUT_S until all outcomes are recorded."""
        deadline_s = time.monotonic() + DRAIN_TIMEOUT_S
        while self._pending and time.monotonic() < deadline_s:
            self.flush()
            time.sleep(FLUSH_PERIOD_S)


def _operation_key(ctx: RequestContext) -> ids.OperationKey | None:
    """Returns the operation key of a request that has to be claimed.

    Returns:
        None for an idempotent request and for one without a key.

    Raises:
        errors.RequestError: The key is too long.
    """
    if ctx.idempotent:
        return None
    text = ctx.exchange.headers.get(headers.OPERATION_KEY.lower(), "").strip()
    if len(text) > claims.MAX_KEY_CHARS:
        raise errors.RequestError(
            errors.Code.BAD_REQUEST,
            f"{headers.OPERATION_KEY} is over {claims.MAX_KEY_CHARS}"
            " characters",
        )
    return ids.OperationKey(text) if text else None


def _make_final(claim: claims.Claim, outcome: claims.Outcome) -> claims.Final:
    return claims.Final(claim.key, claim.token, outcome)


def _send_recorded_answer(
    exchange: servers.Exchange, answer: claims.Answer
) -> None:
    """Sends the recorded answer to the caller.

    Raises:
        errors.RequestError: The answer was too large to be recorded.
    """
    if answer.body is None:
        raise errors.RequestError(
            errors.Code.ALREADY_COMPLETED,
            f"the request has run with status {answer.status}; its answer was"
            " too large to be kept",
        )
    recorded_headers = {name.lower(): value for name, value in answer.headers}
    content_type = recorded_headers.pop(
        "content-type", "application/octet-stream"
    )
    exchange.respond(
        answer.status,
        answer.body,
        content_type,
        [*recorded_headers.items(), (servers.OUTCOME_HEADER, "recorded")],
    )


_REFUSALS = {
    claims.Verdict.IN_PROGRESS: (
        errors.Code.IN_PROGRESS,
        "a request with this key is in progress",
    ),
    claims.Verdict.UNKNOWN: (
        errors.Code.OUTCOME_UNKNOWN,
        "it is not known whether a request with this key has run",
    ),
    claims.Verdict.MISMATCH: (
        errors.Code.KEY_REUSED,
        "the key belongs to a request with another method or path",
    ),
    claims.Verdict.FULL: (
        errors.Code.KEYS_FULL,
        "the owner of the key holds as many keys as it can",
    ),
}


def _refusal_error(answer: claims.Answer) -> errors.RequestError:
    code, text = _REFUSALS.get(
        answer.verdict,
        (
            errors.Code.LOG_UNAVAILABLE,
            "the key can't be claimed in the log now",
        ),
    )
    retry_s = answer.retry_ms / 1000 if answer.retry_ms else None
    return errors.RequestError(code, text, retry_s)
