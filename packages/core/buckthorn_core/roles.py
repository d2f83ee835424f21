"""Assignment of roles, as pure functions of the live members.

Members are ranked by rendezvous hashing, so daemons with the same member table
agree on the holders, and a member that leaves moves only its own roles. A role
that temporarily has two holders, or none, costs only bytes or time.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import hashlib

from buckthorn_core import ids

LOG_READERS = 2
RELAYS = 2
# Bits of a digit of a member's score. On average one member in 16 has a leading
# zero digit, and so is one level higher in the tree.
TREE_BASE_BITS = 4
MAX_TREE_LEVEL = 8

HolderFunction = Callable[[Sequence[ids.DaemonId]], list[ids.DaemonId]]
_holder_functions: dict[str, HolderFunction] = {}


def role(name: str) -> Callable[[HolderFunction], HolderFunction]:
    """Registers the decorated function, which selects the holders of a role.

    The function returns them in order of preference.
    """

    def register(function: HolderFunction) -> HolderFunction:
        _holder_functions[name] = function
        return function

    return register


def names() -> list[str]:
    """Returns the names of all roles."""
    return sorted(_holder_functions)


def holders(name: str, members: Sequence[ids.DaemonId]) -> list[ids.DaemonId]:
    """Returns the holders of a role in order of preference.

    Raises:
        KeyError: There is no such role.
    """
    return _holder_functions[name](members)


def score(key: str, member: ids.DaemonId) -> int:
    """Returns a member's rendezvous hash for a key; the highest is chosen."""
    data = f"{key}\0{member}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def ranked(
    key: str, members: Iterable[ids.DaemonId], count: int
) -> list[ids.DaemonId]:
    """Returns the `count` members with the highest scores, highest first."""
    scored = sorted(((score(key, m), m) for m in members), reverse=True)
    return [member for _, member in scored[:count]]


@role("log_reader")
def _log_readers(members: Sequence[ids.DaemonId]) -> list[ids.DaemonId]:
    return ranked("log_reader", members, LOG_READERS)


@role("relay")
def _relays(members: Sequence[ids.DaemonId]) -> list[ids.DaemonId]:
    # The same key as for log readers makes the readers the relays of the log's
    # region, which saves a hop.
    return ranked("log_reader", members, RELAYS)


@role("checkpoint_writer")
def _checkpoint_writers(members: Sequence[ids.DaemonId]) -> list[ids.DaemonId]:
    return _log_readers(members)[:1]


@role("contacts_writer")
def _contacts_writers(members: Sequence[ids.DaemonId]) -> list[ids.DaemonId]:
    return ranked("contacts_writer", members, 1)


@role("summary_writer")
def _summary_writers(members: Sequence[ids.DaemonId]) -> list[ids.DaemonId]:
    return _relays(members)[:1]


def tree_level(member: ids.DaemonId) -> int:
    """Returns a member's level in the tree: its score's leading zero digits."""
    digits = 64 // TREE_BASE_BITS
    value = score("level", member)
    count = 0
    for index in range(min(digits, MAX_TREE_LEVEL)):
        shift = 64 - TREE_BASE_BITS * (index + 1)
        if (value >> shift) & ((1 << TREE_BASE_BITS) - 1):
            break
        count += 1
    return count


class DistributionTree:
    """The distribution tree of a region.

    A member's parent is chosen by rendezvous hashing from the next higher
    level that is not empty. The parent of members of the highest level is the
    first relay, which has no parent within the region.
    """

    def __init__(self, members: Iterable[ids.DaemonId]):
        self._levels: dict[int, list[ids.DaemonId]] = {}
        all_members = []
        for member in members:
            all_members.append(member)
            self._levels.setdefault(tree_level(member), []).append(member)
        self.relays = holders("relay", all_members)

    def parent(self, member: ids.DaemonId) -> ids.DaemonId | None:
        """Returns the parent; None for the first relay."""
        if not self.relays or member == self.relays[0]:
            return None
        member_level = tree_level(member)
        higher = [n for n in self._levels if n > member_level]
        if not higher:
            return self.relays[0]
        candidates = self._levels[min(higher)]
        return ranked(f"parent:{member}", candidates, 1)[0]
