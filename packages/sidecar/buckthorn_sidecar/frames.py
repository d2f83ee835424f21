"""Messages between sidecars: length-prefixed MessagePack frames.

Each direction between two daemons multiplexes its requests over one connection.
Cancelling a request takes a frame and keeps the connection open, and the
outcome of a request can be queried later, on another connection.
"""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import feed_trees
from buckthorn_core import ids
from buckthorn_core import load_balancing
from buckthorn_core import stated_limits
from buckthorn_core import version_trials

# Fits a body at the default limit for callers, with its headers.
MAX_FRAME_BYTES = 70_000_000
LENGTH_BYTES = 4
# Memory is reserved for requests and responses above this size before they are
# complete.
LARGE_FRAME_BYTES = 65_536
# Bytes of a frame that its kind and attempt take at most.
MAX_PREFIX_BYTES = 264
# Marks of the MessagePack format.
_ARRAY_16 = 0xDC
_STRING_8 = 0xD9
_SHORT_STRING_MASK = 0x1F

Headers = list[tuple[str, str]]


class Request(
    msgspec.Struct, tag="r", array_like=True, frozen=True, weakref=True
):
    """A request for the upstream beside the receiving daemon.

    Attributes:
        attempt: Unique id of this attempt, for `OutcomeQuery`.
        request_id: The caller's id of the request.
        service: The service that the request is for.
        caller_service: The service beside the sending daemon.
        route: The matched route.
        idempotent: Whether the request may run more than once.
        priority: Priority of the route; 0 is the most urgent.
        caller_left_s: Time that the caller still waits, in seconds.
        target_left_s: Time left until the target latency is exceeded, in
            seconds.
        left_s: Time left until the deadline, in seconds.
        target_s: The route's target latency, in seconds.
        method: HTTP method.
        path: Path and query.
        headers: End-to-end headers.
        body: The request body.
        notice: What the upstream last stated to the sender about itself; None
            if there is nothing to keep to.
        suspicion: Names the request, with the upstream crashes during which it
            was in flight; None from a sender that doesn't know of suspicions.
        workspace: Workspace of the caller, empty if it has none; None if the
            sender's configuration has no workspaces.
        workspace_priority: Priority of the workspace; None without one.
        body_bytes: Length of a body that follows in pieces; 0 if the body is
            in this frame.
    """

    attempt: str
    request_id: ids.RequestId
    service: ids.ServiceName
    caller_service: ids.ServiceName
    route: ids.RouteName
    idempotent: bool
    priority: int
    caller_left_s: float
    target_left_s: float
    left_s: float
    target_s: float
    method: str
    path: str
    headers: Headers
    body: bytes
    notice: stated_limits.UpstreamNotice | None = None
    suspicion: entries.CrashSuspicion | None = None
    workspace: ids.WorkspaceName | None = None
    workspace_priority: int | None = None
    body_bytes: int = 0


class Cancel(msgspec.Struct, tag="c", array_like=True, frozen=True):
    """Cancels a request whose caller has disconnected."""

    attempt: str


class OutcomeQuery(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """Queries the outcome of an attempt that was sent on a lost connection.

    A daemon that doesn't know the attempt refuses it if it arrives later.

    Attributes:
        attempt: Id of the attempt.
        boot_id: Boot id of the process that it was sent to; another process
            can't know whether the request ran.
    """

    attempt: str
    boot_id: str


class Response(
    msgspec.Struct, tag="A", array_like=True, frozen=True, weakref=True
):
    """The upstream's response.

    Attributes:
        attempt: Id of the attempt.
        status: HTTP status.
        headers: End-to-end headers.
        body: The response body.
        load: The upstream's load.
        version: The sender's configuration version.
        body_bytes: Length of a body that follows in pieces; 0 if the body is
            in this frame.
    """

    attempt: str
    status: int
    headers: Headers
    body: bytes
    load: load_balancing.LoadReport
    version: int
    body_bytes: int = 0


class Failure(msgspec.Struct, tag="F", array_like=True, frozen=True):
    """An attempt that the daemon refused or that failed.

    Attributes:
        attempt: Id of the attempt.
        code: Error code; it implies whether the request may have run.
        message: Description of the error.
        retry_after_s: Delay before a retry, in seconds; None if not known.
        arrived: Whether the attempt reached the upstream.
        load: The upstream's load.
        version: The sender's configuration version.
        suspicion: The crashes of upstreams during which the request was in
            flight; None if there was none.
    """

    attempt: str
    code: errors.Code
    message: str
    retry_after_s: float | None
    arrived: bool
    load: load_balancing.LoadReport
    version: int
    suspicion: entries.CrashSuspicion | None = None


class Hello(msgspec.Struct, tag="h", array_like=True, frozen=True):
    """First frame that a daemon sends on a connection it has accepted.

    Attributes:
        boot_id: Unique id of the process; it changes with each start.
        load: The upstream's load.
        version: The sender's configuration version.
        suspicions: Requests that are, or were, in quarantine.
        takes_pieces: Whether the sender takes bodies in pieces.
    """

    boot_id: str
    load: load_balancing.LoadReport
    version: int
    suspicions: list[entries.CrashSuspicion] = []
    takes_pieces: bool = False


class Ping(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """Requests a `Pong`.

    Attributes:
        suspicions: Requests whose quarantine the receiver may not know.
        health_path: Path of the health check of the receiver's upstream;
            empty if not known. A daemon that has just started needs it while
            it can't read the configuration.
        takes_pieces: Whether the sender takes bodies in pieces; stated in the
            first frame on a connection.
        region: The sender's region, stated there, too; empty if not known.
        trials: Reports on trials of versions. A daemon of an earlier release
            ignores them.
    """

    suspicions: list[entries.CrashSuspicion] = []
    health_path: str = ""
    takes_pieces: bool = False
    region: ids.RegionName = ids.RegionName("")
    trials: list[version_trials.Report] = []


class Pong(msgspec.Struct, tag="P", array_like=True, frozen=True):
    """Reply to a `Ping`; also sent when admission opens or closes.

    Attributes:
        load: The upstream's load.
        version: The sender's configuration version.
        suspicions: Requests whose quarantine the receiver may not know.
        trials: Trials that the receiver has reported on, or that have changed.
    """

    load: load_balancing.LoadReport
    version: int
    suspicions: list[entries.CrashSuspicion] = []
    trials: list[version_trials.Status] = []


class Subscribe(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """Subscribes to topics, or ends the subscription if there are none.

    Attributes:
        positions: Offset to start from, by topic; None for all records.
        epochs: Epoch of the log that an offset is from, by topic.
    """

    positions: dict[str, int | None]
    epochs: dict[str, int] = {}


class FeedRecord(msgspec.Struct, array_like=True, frozen=True):
    """A record of a topic, as it is sent in a feed.

    Attributes:
        key: Key of the record.
        offset: Offset of the record in its topic.
        data: The compressed value; empty if the key was deleted.
        base: Offset of the key's earlier record that the value is
            delta-compressed against; None for no delta.
        base_digest: Digest of that record's value; another history of the log
            may have another record at the offset.
    """

    key: str
    offset: int
    data: bytes
    base: int | None
    base_digest: bytes = b""


class Move(msgspec.Struct, array_like=True, frozen=True):
    """How a receiver moves from the previous epoch of the log to the next.

    Attributes:
        previous_epoch: The previous epoch.
        previous_end: The position that the receiver must have in it.
        lost_keys: Keys whose record the next epoch lacks.
    """

    previous_epoch: int
    previous_end: int
    lost_keys: list[str]


class Records(msgspec.Struct, tag="R", array_like=True, frozen=True):
    """Records of a topic for a subscribed daemon.

    Attributes:
        topic: The topic.
        start: The receiver's position must be at least this offset; None for a
            snapshot of all records.
        end: The receiver's position afterwards.
        records: The records.
        epoch: Epoch of the log that the offsets are from.
        move: Set if the records are those by which a receiver moves to the
            epoch.
    """

    topic: str
    start: int | None
    end: int
    records: list[FeedRecord]
    epoch: int = 0
    move: Move | None = None


class Confirm(msgspec.Struct, tag="C", array_like=True, frozen=True):
    """States that the receiver has been sent all records of the log.

    Attributes:
        confirmation: The log's confirmation on which this is based.
        places: Epoch and offset that the receiver has reached if it has all
            records, by topic.
    """

    confirmation: feed_trees.LogConfirmation
    places: dict[str, tuple[int, int]] = {}


class UnrecordedChange(msgspec.Struct, array_like=True, frozen=True):
    """A change that the log has lost and that stays in force.

    Attributes:
        key: Key of the record.
        data: The compressed value; empty if the key was deleted.
        revision: Revision of the value, or of the one that was deleted.
    """

    key: str
    data: bytes
    revision: tuple[int, int]


class Unrecorded(msgspec.Struct, tag="U", array_like=True, frozen=True):
    """What the log has lost, for a daemon that may not know it.

    Attributes:
        topic: The topic.
        changes: The changes.
    """

    topic: str
    changes: list[UnrecordedChange]


class UnrecordedQuery(msgspec.Struct, tag="Q", array_like=True, frozen=True):
    """Asks for `Unrecorded` changes."""


class TokenAsk(msgspec.Struct, array_like=True, frozen=True):
    """Asks for tokens of a workspace's rate limit.

    Attributes:
        shard: The shard to borrow from.
        workspace: The workspace.
        want: Number of tokens.
    """

    shard: int
    workspace: ids.WorkspaceName
    want: int


class TokenReturn(msgspec.Struct, array_like=True, frozen=True):
    """Tokens that were not spent.

    Attributes:
        shard: The shard that they were borrowed from.
        workspace: The workspace.
        grant: Number of the grant.
        count: Number of tokens.
    """

    shard: int
    workspace: ids.WorkspaceName
    grant: int
    count: int


class TokenRequest(msgspec.Struct, tag="t", array_like=True, frozen=True):
    """Asks a holder of shards for tokens and returns others.

    Attributes:
        number: Number of the request, for the reply.
        asks: Tokens asked for; a request without any only checks whether the
            holder can be reached.
        returns: Tokens returned.
    """

    number: int
    asks: list[TokenAsk] = []
    returns: list[TokenReturn] = []


class TokenGrant(msgspec.Struct, array_like=True, frozen=True):
    """Answer to a `TokenAsk`.

    Attributes:
        count: Number of tokens lent.
        grant: Number of the grant.
        next_s: When to ask again for what is missing, in seconds from now;
            None if the daemon does not lend from the shard.
    """

    count: int
    grant: int
    next_s: float | None


class TokenReply(msgspec.Struct, tag="T", array_like=True, frozen=True):
    """Reply to a `TokenRequest`.

    Attributes:
        number: Number of the request.
        grants: Answers in the order of the request's asks.
    """

    number: int
    grants: list[TokenGrant] = []


class Piece(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """A piece of the body of a `Request` or `Response`.

    Attributes:
        attempt: Id of the attempt.
        data: The bytes.
        last: Whether the body ends here. One that is shorter than stated is
            incomplete.
    """

    attempt: str
    data: bytes
    last: bool = False


class PiecesReceived(msgspec.Struct, tag="k", array_like=True, frozen=True):
    """States how many further pieces the sender of this frame has read."""

    count: int


Frame = (
    Request
    | Cancel
    | OutcomeQuery
    | Response
    | Failure
    | Hello
    | Ping
    | Pong
    | Subscribe
    | Records
    | Confirm
    | Unrecorded
    | UnrecordedQuery
    | TokenRequest
    | TokenReply
    | Piece
    | PiecesReceived
)
LoadFrame = Response | Failure | Hello | Pong
FeedFrame = Records | Confirm | Unrecorded
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Returns an encoded frame with its length prefix."""
    data = _encoder.encode(frame)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class LostBody(NamedTuple):
    """A request or response whose body was not received; never sent.

    Attributes:
        attempt: Id of the attempt.
        is_request: Whether it is a request.
        is_broken: Whether the body broke off. Otherwise there was no memory
            for it.
    """

    attempt: str
    is_request: bool
    is_broken: bool = False


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(
        self,
        reserve: Callable[[int], bool] = lambda size: True,
        release: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates the reader.

        Args:
            reserve: Called with the memory that an incomplete request or
                response takes, in bytes; returns whether there is room.
            release: Called when that frame has ended.
        """
        self._buffer = bytearray()
        self._reserve = reserve
        self._release = release
        self._is_admitted = False
        self._skipped_bytes = 0

    def feed(self, data: bytes) -> list[Frame | LostBody]:
        """Returns the frames that the data completes.

        Raises:
            errors.PeerError: A frame is too long or can't be decoded.
        """
        if self._skipped_bytes:
            skipped = min(self._skipped_bytes, len(data))
            self._skipped_bytes -= skipped
            data = data[skipped:]
        buffer = self._buffer
        source: bytes | bytearray = data
        if buffer:
            buffer += data
            source = buffer
        found: list[Frame | LostBody] = []
        start, size, length = 0, len(source), 0
        with memoryview(source) as view:
            while size - start >= LENGTH_BYTES:
                body = start + LENGTH_BYTES
                length = int.from_bytes(view[start:body], "big")
                if length > MAX_FRAME_BYTES:
                    raise errors.PeerError(
                        errors.Code.BAD_MESSAGE, f"a frame of {length} bytes"
                    )
                if size - body < length:
                    break
                start = body + length
                found.append(_decode(view[body:start]))
                if self._is_admitted:
                    self._is_admitted = False
                    self._release()
        if source is buffer:
            del buffer[:start]
        else:
            buffer += data[start:]
        if length > LARGE_FRAME_BYTES and not self._is_admitted:
            self._check_room(length, found)
        return found

    def _check_room(self, length: int, found: list[Frame | LostBody]) -> None:
        """Refuses a large body that is incomplete and has no room."""
        buffer = self._buffer
        if len(buffer) < LENGTH_BYTES + MAX_PREFIX_BYTES:
            return
        refused = _read_prefix(buffer)
        # Its bytes are held here and, for a moment, in the decoded frame.
        if refused is None or self._reserve(2 * length):
            self._is_admitted = True
            return
        found.append(refused)
        self._skipped_bytes = LENGTH_BYTES + length - len(buffer)
        buffer.clear()


def _read_prefix(buffer: bytearray) -> LostBody | None:
    """Returns the attempt of an incomplete request or response.

    None if it is another frame. The frame is an array that begins with the
    one-letter tag and the attempt, a string of up to 255 bytes.
    """
    start = LENGTH_BYTES + (3 if buffer[LENGTH_BYTES] == _ARRAY_16 else 1)
    tag, kind = buffer[start : start + 2], buffer[start + 2]
    start += 3
    if tag not in (b"\xa1r", b"\xa1A"):
        return None
    if kind == _STRING_8:
        length = buffer[start]
        start += 1
    else:
        length = kind & _SHORT_STRING_MASK
    attempt = buffer[start : start + length].decode(errors="replace")
    return LostBody(attempt, tag == b"\xa1r")


def _decode(data: memoryview) -> Frame:
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise errors.PeerError(errors.Code.BAD_MESSAGE, str(exc)) from exc
