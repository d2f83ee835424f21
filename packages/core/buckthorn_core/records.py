"""Records of the log streams."""

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
    """A bundle that an operator wants in force.

    Attributes:
        id: Chosen by the client, so that it can find the record again.
        based_on: The version that the operator edited.
        author: Name of the operator.
        time_ms: Time of publication, in ms since the epoch.
        bundle: The encoded bundle.
        mac: Authentication by the publishing key.
    """

    id: ids.PublicationId
    based_on: bundles.VersionId
    author: str
    time_ms: int
    bundle: bytes
    mac: bytes = b""


class Checkpoint(
    msgspec.Struct, frozen=True, array_like=True, tag="checkpoint"
):
    """An accepted version, written again before its record expires.

    Attributes:
        version: The version.
        as_of: Last offset that the version accounts for.
        bundle: The encoded bundle.
        mac: Authentication by the peer key.
    """

    version: bundles.VersionId
    as_of: ids.Offset
    bundle: bytes
    mac: bytes = b""


class Contacts(msgspec.Struct, frozen=True, array_like=True, tag="contacts"):
    """Peer addresses where a new daemon can join a region."""

    region: ids.RegionName
    time_ms: int
    local_addresses: list[ids.Address]
    remote_addresses: list[ids.Address]


Record = Publication | Checkpoint | Contacts | claims.ClaimBatch
_Signed = Publication | Checkpoint | claims.ClaimBatch

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Encodes a record.

    Raises:
        errors.LogError: The record is over the size limit.
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
        errors.LogError: The bytes are not a record, or are too many.
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


def sign(record: _Signed, key: bytes) -> _Signed:
    """Returns the record with its authentication code."""
    plain = msgspec.structs.replace(record, mac=b"")
    return msgspec.structs.replace(
        plain, mac=signing.sign(key, _encoder.encode(plain))
    )


def has_valid_mac(record: _Signed, key: bytes) -> bool:
    """Returns whether the record carries the right authentication code."""
    plain = msgspec.structs.replace(record, mac=b"")
    return signing.verify(key, _encoder.encode(plain), record.mac)
