"""Interfaces that a platform implements: mesh headers, log and decoder."""

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from buckthorn_adapters import http1
from buckthorn_core import ids
from buckthorn_core import topic_tables
from buckthorn_core import version_trials
from buckthorn_core import virtual_hosts


class RequestMetadata(NamedTuple):
    """Metadata from the headers of a caller's request.

    Attributes:
        request_id: Id of this attempt of the caller.
        host: The requested host name.
        left_s: How long the caller waits, in seconds; None if not stated.
        authorization: Values of the Authorization headers.
    """

    request_id: ids.RequestId
    host: str
    left_s: float | None
    authorization: tuple[str, ...] = ()


class ResponseMetadata(NamedTuple):
    """Metadata from the headers of an upstream's response.

    Attributes:
        request_id: Id of the request; None if not stated.
        not_run: Whether the upstream states that the request did not run.
        wrong_instance: Whether another instance than the requested one
            responded.
        signed: Whether it carries the upstream's signature header.
        idle_limit_s: Idle timeout of the connection, in seconds; None if not
            stated.
        limit_per_s: Requests per second that the upstream takes from all
            daemons together; None if it states no limit.
        leaving: Whether the upstream states that it is leaving.
    """

    request_id: ids.RequestId | None
    not_run: bool
    wrong_instance: bool
    signed: bool
    idle_limit_s: float | None
    limit_per_s: float | None
    leaving: bool


class MeshHeaders(Protocol):
    """Reads and writes the mesh-specific headers of requests and responses."""

    def read_request(self, req: http1.Request) -> RequestMetadata:
        """Reads a caller's headers.

        Raises:
            errors.RequestError: Headers are missing or contradictory.
        """

    def upstream_headers(
        self,
        headers: http1.Headers,
        left_s: float,
        caller_service: ids.ServiceName,
        instance: ids.InstanceId,
        workspace: ids.WorkspaceName | None = None,
    ) -> http1.Headers:
        """Returns the headers of a request for an upstream.

        Args:
            headers: End-to-end headers of the caller.
            left_s: Time left until the deadline, in seconds.
            caller_service: The service beside the daemon of the caller.
            instance: The instance that the request must reach.
            workspace: The caller's workspace, empty if it has none; None if
                the configuration has no workspaces.
        """

    def read_response(self, response: http1.Response) -> ResponseMetadata:
        """Reads the headers of an upstream's response."""

    def read_health(self, response: http1.Response) -> ids.InstanceId | None:
        """Returns the instance id if a health response is good, else None."""


class Batch(NamedTuple):
    """Result of a read.

    Attributes:
        records: The records.
        end: The offset to continue from.
        as_of_s: When the log had no further records, in seconds on the event
            loop's monotonic clock.
        epoch: Epoch of the log that answered.
    """

    records: Sequence[topic_tables.Record]
    end: ids.Offset
    as_of_s: float
    epoch: ids.LogEpoch = ids.FIRST_EPOCH


class Position(NamedTuple):
    """The end of a topic.

    Attributes:
        end: The offset of the next record.
        as_of_s: When the topic ended there, in seconds on the event loop's
            monotonic clock.
        epoch: Epoch of the log that answered.
    """

    end: ids.Offset
    as_of_s: float
    epoch: ids.LogEpoch = ids.FIRST_EPOCH


class KeyedLog(Protocol):
    """A log of keyed records by topic that keeps the newest of each key.

    The log can be restored from a copy, which is a new epoch: records that were
    appended after the copy was made are lost, and their offsets are given to
    other records. Offsets can only be compared within an epoch.
    """

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key.

        Raises:
            errors.LogError: The log didn't respond.
        """

    async def position(self, topic: str, last_key: str) -> Position:
        """Returns the end of a topic without reading records.

        Args:
            topic: The topic.
            last_key: The last known key in sort order.

        Raises:
            errors.LogError: The log didn't respond.
        """

    async def read(
        self, topic: str, start: ids.Offset, wait_s: float
    ) -> Batch | None:
        """Returns the records from an offset on, waiting for the first one.

        Args:
            topic: The topic.
            start: The offset.
            wait_s: The longest wait, in seconds.

        Returns:
            The records, possibly none after the wait; None if records from
            the offset on have expired.

        Raises:
            errors.LogError: The log didn't respond.
        """

    async def append(
        self,
        topic: str,
        key: str,
        value: bytes,
        at: ids.Offset | None = None,
    ) -> topic_tables.Place:
        """Appends a record and returns its place.

        Args:
            topic: The topic.
            key: Key of the record.
            value: The value; an empty one deletes the key.
            at: Appends only if the topic ends at this offset; None for no
                condition.

        Raises:
            errors.LogError: The log didn't respond; the record may have been
                appended. With LOG_MOVED_ON it was not, since the condition
                does not hold.
        """


class VersionDecoder(Protocol):
    """Decodes a configuration record."""

    def __call__(self, value: bytes) -> virtual_hosts.Version:
        """Returns the version in a record's value.

        Raises:
            errors.ConfigError: The version is incomplete or has unresolved
                references.
        """


class TrialCodec(Protocol):
    """Decodes orders of trials; encodes and decodes their results."""

    def decode_order(self, key: str, value: bytes) -> version_trials.Order:
        """Returns the order in a record.

        Raises:
            errors.ConfigError: The record is malformed.
        """

    def decode_result(self, value: bytes) -> version_trials.Result:
        """Returns the result in a record's value.

        Raises:
            errors.ConfigError: The value is malformed.
        """

    def encode_result(self, result: version_trials.Result) -> bytes:
        """Returns a record's value for a result."""
