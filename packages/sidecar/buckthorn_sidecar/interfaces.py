"""What a sidecar needs from outside: headers, a keyed log, announcements."""

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from buckthorn_adapters import http1
from buckthorn_core import ids
from buckthorn_core import topic_tables
from buckthorn_core import virtual_hosts


class RequestMetadata(NamedTuple):
    """What a caller's headers say.

    Attributes:
        request_id: Id of this attempt of the caller.
        host: The host name asked for.
        left_s: How long the caller waits, in seconds; None if not said.
    """

    request_id: ids.RequestId
    host: str
    left_s: float | None


class ResponseMetadata(NamedTuple):
    """What an upstream's answer says of itself.

    Attributes:
        request_id: The request that it answers; None if not said.
        not_run: Whether it states that the request did not run.
        wrong_instance: Whether another instance has the address.
        signed: Whether it carries the upstream's signature header.
        idle_limit_s: How long the connection is kept idle; None if not said.
    """

    request_id: ids.RequestId | None
    not_run: bool
    wrong_instance: bool
    signed: bool
    idle_limit_s: float | None


class MeshHeaders(Protocol):
    """Headers by which callers and upstreams state what concerns the mesh."""

    def read_request(self, req: http1.Request) -> RequestMetadata:
        """Reads a caller's headers.

        Raises:
            errors.RequestError: They are missing or contradict each other.
        """

    def upstream_headers(
        self,
        headers: http1.Headers,
        left_s: float,
        caller_service: ids.ServiceName,
        instance: ids.InstanceId,
    ) -> http1.Headers:
        """Returns the headers of a request for an upstream."""

    def read_response(self, response: http1.Response) -> ResponseMetadata:
        """Reads an upstream's answer."""

    def read_health(self, response: http1.Response) -> ids.InstanceId | None:
        """Returns the instance that says it is healthy, or None."""


class Batch(NamedTuple):
    """Records, and the offset to read on from.

    Attributes:
        records: The records.
        end: The offset to read on from.
        as_of_s: When the log had no other records; steady time.
    """

    records: Sequence[topic_tables.Record]
    end: ids.Offset
    as_of_s: float


class Position(NamedTuple):
    """Where a topic ends.

    Attributes:
        end: The offset of its next record.
        as_of_s: When it ended there; steady time.
    """

    end: ids.Offset
    as_of_s: float


class KeyedLog(Protocol):
    """A topic of records with keys, of which the newest are kept for good."""

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key.

        Raises:
            errors.LogError: The log did not answer.
        """

    async def position(self, topic: str, last_key: str) -> Position:
        """Returns where a topic ends, without its records.

        Args:
            topic: The topic.
            last_key: The last of its known keys in order.

        Raises:
            errors.LogError: The log did not answer.
        """

    async def read(
        self, topic: str, start: ids.Offset, wait_s: float
    ) -> Batch | None:
        """Returns the records from an offset on, once there are any.

        Returns:
            The records, none if there were none in time; None if records
            from that offset on have expired.

        Raises:
            errors.LogError: The log did not answer.
        """

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record; an empty value drops the key.

        Raises:
            errors.LogError: The log did not answer; the record may be there.
        """


class VersionDecoder(Protocol):
    """Decodes a configuration record."""

    def __call__(self, value: bytes) -> virtual_hosts.Version:
        """Returns the version in a record's value.

        Raises:
            errors.ConfigError: The value isn't a whole, closed version.
        """
