"""Answers of a relay to pulls."""

from buckthorn_core import bundles
from buckthorn_core import ids
from buckthorn_core import relays


class CountingCodec:
    def __init__(self):
        self.encoded = 0

    def encode(self, data, base):
        self.encoded += 1
        return data

    def decode(self, data, base):
        return data


def version(number: int) -> bundles.VersionId:
    return bundles.VersionId(ids.VersionNumber(number), f"digest{number}")


def test_simultaneous_pulls_are_limited_and_compressed_once():
    """Guards against a relay that handles nothing but pulls for seconds."""
    codec = CountingCodec()
    relay = relays.Relay(codec)
    relay.put(version(1), b"one")
    answers = [relay.answer_pull(bundles.NO_VERSION, 0.0) for _ in range(100)]
    served = [a for a in answers if a.result is relays.PullResult.WHOLE]
    assert len(served) == relays.PULL_BURST
    assert answers[-1].result is relays.PullResult.BUSY
    assert codec.encoded == 1
    later = relay.answer_pull(bundles.NO_VERSION, 1.0)
    assert later.result is relays.PullResult.WHOLE


def test_relay_never_serves_an_older_version():
    """Guards against a delayed message that reverts the children."""
    relay = relays.Relay(CountingCodec())
    assert relay.put(version(2), b"two")
    assert not relay.put(version(1), b"one")
    assert relay.answer_pull(version(1), 0.0).version == version(2)
    assert (
        relay.answer_pull(version(2), 0.0).result is relays.PullResult.CURRENT
    )
