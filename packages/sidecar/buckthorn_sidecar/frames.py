"""Messages between sidecars: frames of MessagePack on one connection.

One connection between two daemons carries all requests of one direction. A
request is cancelled by a message, so cancelling costs no connection, and the
other daemon can be asked later what became of a request.
"""

import msgspec

from buckthorn_core import errors
from buckthorn_core import feed_trees
from buckthorn_core import ids
from buckthorn_core import load_balancing

# A body at the default limit for callers, with its headers.
MAX_FRAME_BYTES = 70_000_000
LENGTH_BYTES = 4

Headers = list[tuple[str, str]]


class Request(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """A request for the upstream beside the receiver.

    Attributes:
        attempt: Unique id of this try, for `Ask`.
        request_id: The caller's id of the request.
        service: The service that is to run it.
        caller_service: The service that it comes from.
        route: Its route.
        idempotent: Whether it may run more than once.
        priority: Rank; 0 is the most urgent.
        caller_left_s: Time that the caller still waits, in seconds.
        target_left_s: Time left until its target, in seconds.
        left_s: Time left until its answer is of no use, in seconds.
        target_s: The route's target, in seconds.
        method: The method.
        path: Path and query.
        headers: End-to-end headers.
        body: The body.
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


class Cancel(msgspec.Struct, tag="c", array_like=True, frozen=True):
    """The caller of a request has gone."""

    attempt: str


class OutcomeQuery(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """Asks what became of a request sent on another connection.

    A daemon that does not know the request never runs it afterwards.

    Attributes:
        attempt: The request's try.
        boot_id: The process that it was sent to. Another process can't know
            whether it ran.
    """

    attempt: str
    boot_id: str


class Response(msgspec.Struct, tag="A", array_like=True, frozen=True):
    """The upstream's answer."""

    attempt: str
    status: int
    headers: Headers
    body: bytes
    load: load_balancing.LoadReport
    version: int


class Failure(msgspec.Struct, tag="F", array_like=True, frozen=True):
    """A request that the receiver answers itself.

    Attributes:
        attempt: The request's try.
        code: Code of the error; says whether the request may have run.
        message: What happened.
        retry_after_s: When to come back, in seconds; None if not known.
        arrived: Whether the request reached the upstream.
        load: The upstream's load.
        version: The sender's configuration version.
    """

    attempt: str
    code: errors.Code
    message: str
    retry_after_s: float | None
    arrived: bool
    load: load_balancing.LoadReport
    version: int


class Hello(msgspec.Struct, tag="h", array_like=True, frozen=True):
    """First message of the daemon that was connected to.

    Attributes:
        boot_id: Names the process; another one after each start.
        load: The upstream's load.
        version: The sender's configuration version.
    """

    boot_id: str
    load: load_balancing.LoadReport
    version: int


class Ping(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """Asks for a sign of life."""


class Pong(msgspec.Struct, tag="P", array_like=True, frozen=True):
    """A sign of life."""

    load: load_balancing.LoadReport
    version: int


class Subscribe(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """Asks for the records of topics, from offsets on; None for all.

    Without topics it ends the feed.
    """

    positions: dict[str, int | None]


class FeedRecord(msgspec.Struct, array_like=True, frozen=True):
    """A record of a topic.

    Attributes:
        key: Its key.
        offset: Its place in the topic.
        data: Its value, compressed; empty where the key was dropped.
        base: Offset of the key's record that it is compressed against; None
            if it is compressed by itself.
    """

    key: str
    offset: int
    data: bytes
    base: int | None


class Records(msgspec.Struct, tag="R", array_like=True, frozen=True):
    """Records for a daemon that has subscribed.

    Attributes:
        topic: The topic.
        start: The offset that the receiver must be at; None if the records
            are all that exist.
        end: The offset that it is at afterwards.
        records: The records.
    """

    topic: str
    start: int | None
    end: int
    records: list[FeedRecord]


class Confirm(msgspec.Struct, tag="C", array_like=True, frozen=True):
    """All records of the log have been sent.

    Attributes:
        word: The log's word behind this.
    """

    word: feed_trees.LogConfirmation


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
)
LoadFrame = Response | Failure | Hello | Pong
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Returns a frame's bytes with their length."""
    data = _encoder.encode(frame)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that are complete.

        Raises:
            errors.PeerError: The bytes are no frames.
        """
        buffer = self._buffer
        buffer += data
        found: list[Frame] = []
        start = 0
        while len(buffer) - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            length = int.from_bytes(buffer[start:body], "big")
            if length > MAX_FRAME_BYTES:
                raise errors.PeerError(
                    errors.Code.BAD_MESSAGE, f"a frame of {length} bytes"
                )
            if len(buffer) - body < length:
                break
            start = body + length
            found.append(_decode(bytes(buffer[body:start])))
        del buffer[:start]
        return found


def _decode(data: bytes) -> Frame:
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise errors.PeerError(errors.Code.BAD_MESSAGE, str(exc)) from exc
