"""Messages between daemons.

Each message is a request with one answer. The envelope carries the sender and
its configuration version, so that a daemon with an old version learns of a
newer one from any message.
"""

import msgspec

from buckthorn_core import bundles
from buckthorn_core import claims
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import signing

FORMAT = 1
MAX_MESSAGE_BYTES = 4 * 1_048_576


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """An answer without content."""


class ErrorReply(msgspec.Struct, frozen=True, array_like=True, tag="failed"):
    """States that the request failed."""

    code: str
    message: str


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="gossip"):
    """Recent changes, and the digest of the sender's table."""

    changes: list[entries.Entry]
    digest: int


class GossipReply(
    msgspec.Struct, frozen=True, array_like=True, tag="gossip_reply"
):
    """Recent changes, and the digest of the answering daemon's table."""

    changes: list[entries.Entry]
    digest: int


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="sync"):
    """Asks for the entries of buckets whose digests differ.

    Attributes:
        digests: The sender's digest of each bucket; empty asks for the whole
            table.
        items: Entries for the receiver to merge.
    """

    digests: list[int]
    items: list[entries.Entry] = []


class SyncReply(msgspec.Struct, frozen=True, array_like=True, tag="sync_reply"):
    """The answering daemon's entries in some buckets that differ.

    Attributes:
        buckets: The buckets.
        items: All its entries in them.
    """

    buckets: list[int]
    items: list[entries.Entry]


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True, tag="probe"):
    """Asks for a probe of a third daemon."""

    address: ids.Address


class ProbeReply(
    msgspec.Struct, frozen=True, array_like=True, tag="probe_reply"
):
    """Whether the third daemon answered."""

    alive: bool


class Announce(msgspec.Struct, frozen=True, array_like=True, tag="announce"):
    """Announces that a new version can be pulled from the sender."""

    version: bundles.VersionId


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Asks for the current version.

    Attributes:
        held: The version that the sender has.
    """

    held: bundles.VersionId


class PullReply(msgspec.Struct, frozen=True, array_like=True, tag="pull_reply"):
    """A version.

    Attributes:
        result: Value of a `relays.PullResult`.
        version: The version.
        based_on: The version that the delta applies to.
        data: Compressed delta, or compressed bundle as a whole.
        retry_after_ms: Delay before the next pull if the relay was busy.
    """

    result: str
    version: bundles.VersionId
    based_on: bundles.VersionId = bundles.NO_VERSION
    data: bytes = b""
    retry_after_ms: int = 0


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """A child's periodic acknowledgement to its parent.

    Attributes:
        held: Version in force at the child.
        counts: Number of daemons by version number, of the child and those
            below it.
        laggards: Some daemons with the lowest version.
        sites: Number of daemons by version number, by site.
    """

    held: bundles.VersionId
    counts: dict[int, int]
    laggards: list[ids.DaemonId]
    sites: dict[ids.SiteName, dict[int, int]] = {}


class ReportReply(
    msgspec.Struct, frozen=True, array_like=True, tag="report_reply"
):
    """The parent's version, and the age of its confirmation by the log.

    Attributes:
        version: Version in force at the parent.
        confirmed_ms: Time since a log reader found it to be the latest one,
            in ms; -1 if none did.
    """

    version: bundles.VersionId
    confirmed_ms: int


class Summary(msgspec.Struct, frozen=True, array_like=True, tag="summary"):
    """Changes of a region's services and contacts, for another region.

    Attributes:
        region: The region of the entries.
        items: Entries that changed since the last summary.
        digest: Digest of all of the region's entries.
    """

    region: ids.RegionName
    items: list[entries.Entry]
    digest: int


class SummaryReply(
    msgspec.Struct, frozen=True, array_like=True, tag="summary_reply"
):
    """Digest of the answering region's entries of the sender's region."""

    digest: int


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claims an operation key from the owner of its partition.

    It is resent unchanged while the answer is pending.
    """

    claim: claims.Claim


class ClaimReply(
    msgspec.Struct, frozen=True, array_like=True, tag="claim_reply"
):
    """The state of the claim."""

    answer: claims.Answer


class Complete(msgspec.Struct, frozen=True, array_like=True, tag="complete"):
    """Completions and releases of claimed requests of one partition.

    It is resent unchanged until the answer contains the tokens.
    """

    finals: list[claims.Final]


class CompleteReply(
    msgspec.Struct, frozen=True, array_like=True, tag="complete_reply"
):
    """States which completions and releases are recorded in the log.

    Attributes:
        tokens: Tokens of the recorded ones.
        address: Address of the partition's owner, if it is another daemon.
    """

    tokens: list[bytes]
    address: ids.Address = ids.Address("")


class StatusQuery(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """Asks for the versions in force below a daemon."""


class StatusReply(
    msgspec.Struct, frozen=True, array_like=True, tag="status_reply"
):
    """Versions in force.

    Attributes:
        accepted: The latest version that the answering daemon knows; at a
            log reader the accepted one.
        counts: Number of daemons by version number.
        laggards: Some daemons with the lowest version.
        sites: Number of daemons by version number, by site.
        covers_fleet: Whether the counts cover the whole fleet.
        roles: Holders of roles in its region.
    """

    accepted: bundles.VersionId
    counts: dict[int, int]
    laggards: list[ids.DaemonId]
    sites: dict[ids.SiteName, dict[int, int]] = {}
    covers_fleet: bool = False
    roles: dict[str, list[ids.DaemonId]] = {}


class BurnReport(
    msgspec.Struct, frozen=True, array_like=True, tag="burn_report"
):
    """Counts of requests since the last report.

    Attributes:
        batch: Random id; a batch that is received again isn't counted again.
        mirror: Whether the root sends it as a copy to its standby.
        data: Compressed `burn_counts.AgedInterval` list.
    """

    batch: int
    mirror: bool
    data: bytes


class BurnQuery(msgspec.Struct, frozen=True, array_like=True, tag="burn_query"):
    """Asks the root for burn rates; an empty service asks for all."""

    service: str
    limit: int


class BurnCopy(msgspec.Struct, frozen=True, array_like=True, tag="burn_copy"):
    """Asks the root or its standby for the whole history of counts."""


class BurnData(msgspec.Struct, frozen=True, array_like=True, tag="burn_data"):
    """Compressed `burn_reports.Report` or `burn_history.HistoryCopy`."""

    data: bytes


Payload = (
    Ack
    | ErrorReply
    | Gossip
    | GossipReply
    | Sync
    | SyncReply
    | ProbeRequest
    | ProbeReply
    | Announce
    | Pull
    | PullReply
    | Report
    | ReportReply
    | Summary
    | SummaryReply
    | Claim
    | ClaimReply
    | Complete
    | CompleteReply
    | StatusQuery
    | StatusReply
    | BurnReport
    | BurnQuery
    | BurnCopy
    | BurnData
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes:
        format: Format of the message.
        sender: The sending daemon.
        address: Its peer address, as the receiver can reach it.
        region: Its region.
        site: Its site.
        version: Number of its version in force; 0 while it is not ready.
        payload: The message.
    """

    format: int
    sender: ids.DaemonId
    address: ids.Address
    region: ids.RegionName
    site: ids.SiteName
    version: ids.VersionNumber
    payload: Payload


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope, key: bytes) -> bytes:
    """Encodes a message and appends its authentication code."""
    data = _encoder.encode(envelope)
    return data + signing.sign(key, data)


def decode(data: bytes, key: bytes) -> Envelope:
    """Decodes a message.

    Raises:
        errors.PeerError: The message is too long, not authentic, malformed,
            or of another format.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise _bad_message(f"{len(data)} bytes are too many")
    body, mac = data[: -signing.MAC_BYTES], data[-signing.MAC_BYTES :]
    if not signing.verify(key, body, mac):
        raise _bad_message("the authentication code is wrong")
    try:
        envelope = _decoder.decode(body)
    except msgspec.DecodeError as exc:
        raise _bad_message(str(exc)) from exc
    if envelope.format != FORMAT:
        raise _bad_message(f"format {envelope.format} is not {FORMAT}")
    return envelope


def kind(payload: Payload) -> str:
    """Returns the tag of a message's type, which labels counters."""
    return str(type(payload).__struct_config__.tag)


def _bad_message(text: str) -> errors.PeerError:
    return errors.PeerError(errors.Code.BAD_MESSAGE, text)
