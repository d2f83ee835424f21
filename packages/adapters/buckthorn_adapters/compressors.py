"""Delta compression with zstandard."""

import zstandard

from buckthorn_core import errors

LEVEL = 6
MAX_DOCUMENT_BYTES = 16 * 1_048_576


class ZstdDeltaCodec:
    """Compresses a document with an older version as the dictionary."""

    def encode(self, data: bytes, base: bytes | None) -> bytes:
        """Compresses data, with the base as the dictionary if there is one."""
        return zstandard.ZstdCompressor(
            level=LEVEL, dict_data=_dictionary(base)
        ).compress(data)

    def decode(self, data: bytes, base: bytes | None) -> bytes:
        """Decompresses data.

        Raises:
            errors.PeerError: The data is corrupt, too long, or was compressed
                with another base.
        """
        try:
            size = zstandard.frame_content_size(data)
            if not 0 <= size <= MAX_DOCUMENT_BYTES:
                raise errors.PeerError(
                    errors.Code.BAD_MESSAGE,
                    f"document of {size} bytes is over {MAX_DOCUMENT_BYTES}",
                )
            return zstandard.ZstdDecompressor(
                dict_data=_dictionary(base)
            ).decompress(data)
        except zstandard.ZstdError as exc:
            raise errors.PeerError(errors.Code.BAD_MESSAGE, str(exc)) from exc


def _dictionary(
    base: bytes | None,
) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
