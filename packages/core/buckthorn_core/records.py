"""Records of the log streams, their encoding and authentication."""

import msgspec

from buckthorn_core import bundles
from buckthorn_core import claims
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import signing

CONFIG_STREAM = "config"
CONTACTS_STREAM = "contacts"
MAX_RECORD_BYTES = 1_048_576


class Publication(
    msgspec.Struct, frozen=True, array_like=True, tag="publication"
):
    """A bundle that an operator publishes.

    Attributes:
        id: Chosen by the client, which finds its record in the log by it.
        based_on: Version that the operator edited; the publication is stale
            if another version has been accepted since.
        author: Name of the operator.
        time_ms: Time of publication, in ms since the epoch.
        bundle: The encoded bundle.
        mac: Message authentication code under the publishing key.
        epoch: Epoch of the log that the client has read.
    """

    id: ids.PublicationId
    based_on: bundles.VersionId
    author: str
    time_ms: int
    bundle: bytes
    mac: bytes = b""
    epoch: ids.LogEpoch = ids.FIRST_EPOCH


class Checkpoint(
    msgspec.Struct, frozen=True, array_like=True, tag="checkpoint"
):
    """An accepted version, appended again before its record expires.

    Attributes:
        version: The version.
        as_of: Last offset that the version accounts for.
        bundle: The encoded bundle.
        mac: Message authentication code under the peer key.
        epoch: Epoch of the log that the offset is from.
    """

    version: bundles.VersionId
    as_of: ids.Offset
    bundle: bytes
    mac: bytes = b""
    epoch: ids.LogEpoch = ids.FIRST_EPOCH


class Contacts(msgspec.Struct, frozen=True, array_like=True, tag="contacts"):
    """Peer addresses at which a new daemon can join a region.

    Attributes:
        region: The region.
        time_ms: Time of the record, in ms since the epoch.
        local_addresses: Addresses for daemons of the same region.
        remote_addresses: Addresses for daemons of other regions.
    """

    region: ids.RegionName
    time_ms: int
    local_addresses: list[ids.Address]
    remote_addresses: list[ids.Address]


Record = Publication | Checkpoint | Contacts | claims.ClaimBatch
_SignedRecord = Publication | Checkpoint | claims.ClaimBatch

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Encodes a record.

    Raises:
        errors.LogError: The record is over MAX_RECORD_BYTES.
    """
    data = _encoder.encode(record)
    if len(data) > MAX_RECORD_BYTES:
        raise errors.LogError(
            errors.Code.RECORD_TOO_LARGE,
            f"record of {len(data)} bytes is over {MAX_RECORD_BYTES}",
        )
    return data


def decode(data: bytes) -> Record:
    """Decodes a record.

    Raises:
        errors.LogError: The data is not a record or is over MAX_RECORD_BYTES.
    """
    if len(data) > MAX_RECORD_BYTES:
        raise errors.LogError(
            errors.Code.RECORD_TOO_LARGE,
            f"record of {len(data)} bytes is over {MAX_RECORD_BYTES}",
        )
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise errors.LogError(errors.Code.BAD_RECORD, str(exc)) from exc


def sign(record: _SignedRecord, key: bytes) -> _SignedRecord:
    """Returns the record with its authentication code.

    The code is computed over the record with an empty `mac`.
    """
    return msgspec.structs.replace(
        record, mac=signing.sign(key, _signed_data(record))
    )


def has_valid_mac(record: _SignedRecord, key: bytes) -> bool:
    """Returns whether the record's authentication code is right."""
    return signing.verify(key, _signed_data(record), record.mac)


def _signed_data(record: _SignedRecord) -> bytes:
    """Returns what the authentication code is computed over."""
    unsigned = msgspec.structs.replace(record, mac=b"")
    if unsigned.epoch:
        return _encoder.encode(unsigned)
    # Records had no epoch at first, and those in logs have to stay valid.
    fields = msgspec.structs.astuple(unsigned)[:-1]
    return _encoder.encode([type(record).__struct_config__.tag, *fields])
