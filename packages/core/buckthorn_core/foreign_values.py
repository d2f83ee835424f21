"""Decoding of values that other writers may have written.

A value of the right types can still be unusable: nested so deeply that it can't
be decoded, with numbers that no arithmetic or message can hold, or with an
address at which nothing can listen.
"""

import ipaddress
from typing import Annotated
from typing import Protocol
from typing import TypeVar

import msgspec

from buckthorn_core import errors
from buckthorn_core import ids

# Numbers beyond these come from no working process.
MAX_SLOTS = 1_000_000
MAX_LINK_MBPS = 10_000_000.0
MAX_COUNT = 2**53
MAX_PORT = 65_535

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
LinkRate = Annotated[float, msgspec.Meta(ge=0, le=MAX_LINK_MBPS)]

T_co = TypeVar("T_co", covariant=True)


class Decoder(Protocol[T_co]):
    """A decoder of values of one type."""

    def decode(self, buf: bytes, /) -> T_co:
        """Returns the decoded value."""


def decode(decoder: Decoder[T_co], value: bytes) -> T_co:
    """Decodes a value.

    Raises:
        errors.ConfigError: The value is of another type, or nested too deeply.
    """
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise errors.ConfigError(errors.Code.BAD_RECORD, str(exc)) from exc


def check_address(address: ids.Address) -> None:
    """Checks that an address can be connected to.

    Raises:
        errors.ConfigError: It is no IPv4 address with a port.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise errors.ConfigError(errors.Code.BAD_RECORD, str(exc)) from exc
    # int() also takes spaces, signs and underscores, and long texts slowly.
    if not (port.isascii() and port.isdecimal() and len(port) <= 5) or not (
        1 <= int(port) <= MAX_PORT
    ):
        raise errors.ConfigError(
            errors.Code.BAD_RECORD, f"{address[:80]!r} has no port"
        )
