"""Distribution of versions from parents to children."""

import collections
import enum
from typing import NamedTuple

from buckthorn_core import bundles
from buckthorn_core import ids
from buckthorn_core import ports

# A relay has 16 children on average. After a herd has returned many more may
# ask at once; those beyond the burst come back a little later, so that the
# relay goes on answering its other messages.
PULLS_PER_S = 32.0
PULL_BURST = 32.0
MAX_KEPT_VERSIONS = 4
MAX_CACHED_DELTAS = 16
CHILD_TIMEOUT_S = 15.0


class PullResult(enum.Enum):
    """How a pull was answered."""

    CURRENT = "current"
    DELTA = "delta"
    WHOLE = "whole"
    BUSY = "busy"


class PullAnswer(NamedTuple):
    """Answer to a pull.

    Attributes:
        result: How it was answered.
        version: The version sent, or held by both.
        based_on: The version that a delta applies to.
        data: Compressed delta or compressed whole.
    """

    result: PullResult
    version: bundles.VersionId
    based_on: bundles.VersionId = bundles.NO_VERSION
    data: bytes = b""


class Relay:
    """Serves versions to the daemons below.

    Deltas are cached by the version held, so that a herd of children in the
    same state costs one compression.
    """

    def __init__(self, codec: ports.DeltaCodec):
        self._codec = codec
        self._versions: collections.OrderedDict[bundles.VersionId, bytes] = (
            collections.OrderedDict()
        )
        self._cache: collections.OrderedDict[bundles.VersionId, PullAnswer] = (
            collections.OrderedDict()
        )
        self._children: dict[ids.DaemonId, float] = {}
        self.version = bundles.NO_VERSION
        self._pull_tokens = PULL_BURST
        self._refilled_s: float | None = None

    def put(self, version: bundles.VersionId, raw: bytes) -> bool:
        """Makes a version the one to serve, unless it isn't newer."""
        if version.number <= self.version.number:
            return False
        self.version = version
        self._versions[version] = raw
        while len(self._versions) > MAX_KEPT_VERSIONS:
            self._versions.popitem(last=False)
        self._cache.clear()
        return True

    def raw(self, version: bundles.VersionId) -> bytes | None:
        """Returns the bundle of a version that is still kept."""
        return self._versions.get(version)

    def answer_pull(self, held: bundles.VersionId, now_s: float) -> PullAnswer:
        """Answers a daemon that holds a version."""
        if held.number >= self.version.number:
            return PullAnswer(PullResult.CURRENT, self.version)
        if not self._acquire_pull_token(now_s):
            return PullAnswer(PullResult.BUSY, self.version)
        base = held if held in self._versions else bundles.NO_VERSION
        cached = self._cache.get(base)
        if cached is None:
            cached = self._make_answer(base)
            self._cache[base] = cached
            while len(self._cache) > MAX_CACHED_DELTAS:
                self._cache.popitem(last=False)
        return cached

    def _acquire_pull_token(self, now_s: float) -> bool:
        if self._refilled_s is not None:
            gained = (now_s - self._refilled_s) * PULLS_PER_S
            self._pull_tokens = min(PULL_BURST, self._pull_tokens + gained)
        self._refilled_s = now_s
        if self._pull_tokens < 1.0:
            return False
        self._pull_tokens -= 1.0
        return True

    def _make_answer(self, base: bundles.VersionId) -> PullAnswer:
        raw = self._versions[self.version]
        old = self._versions.get(base)
        data = self._codec.encode(raw, old)
        result = PullResult.WHOLE if old is None else PullResult.DELTA
        return PullAnswer(result, self.version, base, data)

    def decode_answer(self, answer: PullAnswer) -> bytes | None:
        """Returns the encoded bundle of an answer.

        Returns:
            None if the version that the delta applies to is not kept.
        """
        if answer.result is PullResult.WHOLE:
            return self._codec.decode(answer.data, None)
        old = self._versions.get(answer.based_on)
        if answer.result is not PullResult.DELTA or old is None:
            return None
        return self._codec.decode(answer.data, old)

    def add_child(self, child: ids.DaemonId, now_s: float) -> None:
        """Notes that a daemon has this one as its parent."""
        self._children[child] = now_s

    def children(self, now_s: float) -> list[ids.DaemonId]:
        """Returns the children heard from within `CHILD_TIMEOUT_S`."""
        self._children = {
            child: seen
            for child, seen in self._children.items()
            if now_s - seen < CHILD_TIMEOUT_S
        }
        return list(self._children)
