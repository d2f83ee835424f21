"""Distribution of versions from parents to children in the tree."""

import collections
import enum
from typing import NamedTuple

from buckthorn_core import bundles
from buckthorn_core import ids
from buckthorn_core import ports

# A relay has 16 children on average. When many daemons restart together, more
# may pull at once. Those beyond the burst retry a little later, so that the
# relay keeps answering other messages.
PULLS_PER_S = 32.0
PULL_BURST = 32.0
MAX_KEPT_VERSIONS = 4
MAX_CACHED_DELTAS = 16
# A child that sent no report for this long is forgotten, in seconds.
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
        result: How the pull was answered.
        version: The relay's version; `data` leads to it.
        based_on: The version that a delta applies to.
        data: Compressed delta, or compressed bundle as a whole.
    """

    result: PullResult
    version: bundles.VersionId
    based_on: bundles.VersionId = bundles.NO_VERSION
    data: bytes = b""


class Relay:
    """Serves versions to the daemons below it in the tree.

    Deltas are cached by the version that they apply to, so that many children
    with the same version cost one compression.

    Attributes:
        version: The version that is served.
    """

    def __init__(self, codec: ports.DeltaCodec):
        self._codec = codec
        self._versions: collections.OrderedDict[bundles.VersionId, bytes] = (
            collections.OrderedDict()
        )
        self._answers: collections.OrderedDict[
            bundles.VersionId, PullAnswer
        ] = collections.OrderedDict()
        self._children: dict[ids.DaemonId, float] = {}
        self.version = bundles.NO_VERSION
        self._pull_tokens = PULL_BURST
        self._refilled_s: float | None = None

    def put(self, version: bundles.VersionId, raw: bytes) -> bool:
        """Serves a version from now on, if it is newer than the current one.

        Args:
            version: The version.
            raw: Its encoded bundle.

        Returns:
            Whether it is newer.
        """
        if version.number <= self.version.number:
            return False
        self.version = version
        self._versions[version] = raw
        while len(self._versions) > MAX_KEPT_VERSIONS:
            self._versions.popitem(last=False)
        self._answers.clear()
        return True

    def raw(self, version: bundles.VersionId) -> bytes | None:
        """Returns the encoded bundle of a version, or None if not kept."""
        return self._versions.get(version)

    def answer_pull(self, held: bundles.VersionId, now_s: float) -> PullAnswer:
        """Answers a pull from a daemon that holds a version."""
        if held.number >= self.version.number:
            return PullAnswer(PullResult.CURRENT, self.version)
        if not self._acquire_pull_token(now_s):
            return PullAnswer(PullResult.BUSY, self.version)
        base = held if held in self._versions else bundles.NO_VERSION
        answer = self._answers.get(base)
        if answer is None:
            answer = self._make_answer(base)
            self._answers[base] = answer
            while len(self._answers) > MAX_CACHED_DELTAS:
                self._answers.popitem(last=False)
        return answer

    def _acquire_pull_token(self, now_s: float) -> bool:
        """Takes a token from the bucket that limits pulls, if one is left."""
        if self._refilled_s is not None:
            refill = (now_s - self._refilled_s) * PULLS_PER_S
            self._pull_tokens = min(PULL_BURST, self._pull_tokens + refill)
        self._refilled_s = now_s
        if self._pull_tokens < 1.0:
            return False
        self._pull_tokens -= 1.0
        return True

    def _make_answer(self, base: bundles.VersionId) -> PullAnswer:
        """Compresses the current version, against the base if it is kept."""
        raw = self._versions[self.version]
        old = self._versions.get(base)
        data = self._codec.encode(raw, old)
        result = PullResult.WHOLE if old is None else PullResult.DELTA
        return PullAnswer(result, self.version, base, data)

    def decode_answer(self, answer: PullAnswer) -> bytes | None:
        """Decodes the encoded bundle in an answer.

        Returns:
            The encoded bundle, or None if the answer has none or the version
            that its delta applies to is not kept.

        Raises:
            errors.PeerError: The data is damaged.
        """
        if answer.result is PullResult.WHOLE:
            return self._codec.decode(answer.data, None)
        old = self._versions.get(answer.based_on)
        if answer.result is not PullResult.DELTA or old is None:
            return None
        return self._codec.decode(answer.data, old)

    def add_child(self, child: ids.DaemonId, now_s: float) -> None:
        """Records that a daemon has this one as its parent."""
        self._children[child] = now_s

    def children(self, now_s: float) -> list[ids.DaemonId]:
        """Returns the children that reported within `CHILD_TIMEOUT_S`."""
        self._children = {
            child: reported_s
            for child, reported_s in self._children.items()
            if now_s - reported_s < CHILD_TIMEOUT_S
        }
        return list(self._children)
