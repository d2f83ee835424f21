"""Workspaces and the keys by which their callers identify themselves.

Keys are looked up by a keyed digest whose secret each process draws for itself.
The time of a lookup then tells nothing about the keys that exist.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import hashlib

import msgspec

from buckthorn_core import errors
from buckthorn_core import ids

DIGEST_BYTES = 16
_SCHEME = "bearer"


class Workspace(msgspec.Struct, frozen=True):
    """A workspace of callers.

    Attributes:
        name: Its name.
        keys: Keys of its callers.
        priority: Priority of its requests; 0 is the highest.
        rate_per_s: Rate limit of its requests, in requests per second; 0 for
            no limit.
        burst: Burst of the rate limit, in requests.
    """

    name: ids.WorkspaceName
    keys: tuple[str, ...]
    priority: int
    rate_per_s: float = 0.0
    burst: float = 0.0

    def __repr__(self) -> str:
        """Leaves the keys out, so that they can't get into a log."""
        return f"Workspace({self.name}, {len(self.keys)} keys)"


def read_bearer_key(values: Sequence[str]) -> str | None:
    """Returns the key in the values of the Authorization headers.

    Returns:
        The key; None without a header.

    Raises:
        errors.RequestError: There are several headers, or a malformed one.
    """
    if not values:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    key = key.strip()
    if len(values) > 1 or scheme.lower() != _SCHEME or not key or " " in key:
        raise errors.RequestError(
            errors.Code.UNAUTHORIZED, "the Authorization header is malformed"
        )
    return key


def find_shared_keys(workspaces: Iterable[Workspace]) -> list[str]:
    """Returns the problems of keys that several workspaces hold."""
    owners: dict[str, ids.WorkspaceName] = {}
    problems = []
    for workspace in workspaces:
        for key in workspace.keys:
            other = owners.setdefault(key, workspace.name)
            if other != workspace.name:
                problems.append(
                    f"workspaces {other} and {workspace.name} share a key"
                )
    return problems


class KeyIndex:
    """Finds the workspace that holds a key."""

    def __init__(self, workspaces: Iterable[Workspace], secret: bytes):
        """Creates the index.

        Args:
            workspaces: All workspaces.
            secret: Random secret of this process, at most 64 bytes.
        """
        self._secret = secret
        self._workspaces = {
            self._digest(key): workspace
            for workspace in workspaces
            for key in workspace.keys
        }

    def __len__(self) -> int:
        return len(self._workspaces)

    def find(self, key: str) -> Workspace | None:
        """Returns the workspace that holds a key, or None."""
        return self._workspaces.get(self._digest(key))

    def _digest(self, key: str) -> bytes:
        return hashlib.blake2b(
            key.encode("utf-8", "surrogateescape"),
            digest_size=DIGEST_BYTES,
            key=self._secret,
        ).digest()
