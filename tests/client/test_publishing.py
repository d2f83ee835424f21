"""Publication through the log: where reading starts, races, old versions."""

import pathlib

import pytest

from buckthorn_client import differences
from buckthorn_client import files
from buckthorn_client import publishing
from buckthorn_core import acceptance
from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import ports
from buckthorn_core import records

KEY = b"test-key-0123456789"
DEPLOY = pathlib.Path(__file__).parents[2] / "deploy"
BUNDLE = files.BundleFiles(DEPLOY / "kulhus").load()


class MemoryLog:
    """The log in memory; counts the records that were read."""

    def __init__(self):
        self.first = 0
        self.data = []
        self.read_count = 0
        self.lost_answers = 0

    def append(self, stream, data):
        self.data.append(data)
        if self.lost_answers:
            self.lost_answers -= 1
            raise errors.LogError(errors.Code.LOG_UNAVAILABLE, "lost")
        return ids.Offset(len(self.data) - 1)

    def read(self, stream, start, limit=256):
        start = max(start, self.first)
        found = self.data[start : start + limit]
        self.read_count += len(found)
        return ports.LogBatch(
            ids.Offset(self.first),
            ids.Offset(len(self.data)),
            [ports.LogRecord(start + n, 0, d) for n, d in enumerate(found)],
        )


def bundle_with(slots: int) -> bundles.Bundle:
    overlay = bundles.Overlay(
        ids.SiteName("koege-bugt"),
        services={"stock-catalogue": bundles.ServiceOverlay(slots=slots)},
    )
    return bundles.Bundle(
        BUNDLE.base, {**BUNDLE.overlays, "koege-bugt": overlay}
    )


def make_publisher(log: MemoryLog, key: bytes = KEY) -> publishing.Publisher:
    return publishing.Publisher(log, key, KEY)


def fill(log: MemoryLog, count: int, checkpoint_after: int) -> None:
    """Publishes versions, with a checkpoint after one of them."""
    publisher = make_publisher(log)
    version = publisher.catch_up()
    for number in range(1, count + 1):
        result = publisher.publish(bundle_with(number), version, "tester")
        version = result.version
        if number == checkpoint_after:
            log.append(
                records.CONFIG_STREAM,
                records.encode(
                    acceptance.make_checkpoint(
                        version,
                        bundles.encode(bundle_with(number)),
                        ids.Offset(len(log.data) - 1),
                        KEY,
                    )
                ),
            )


@pytest.mark.parametrize("dropped", [0, 150])
def test_publication_starts_from_the_newest_checkpoint(dropped):
    """Guards against a client that reads a long log from its start."""
    log = MemoryLog()
    fill(log, 300, checkpoint_after=290)
    log.first = dropped
    log.read_count = 0
    publisher = make_publisher(log)
    based_on = publisher.catch_up()
    assert based_on.number == 300
    result = publisher.publish(bundle_with(1000), based_on, "tester")
    assert result.fate is publishing.Fate.ACCEPTED
    assert result.version.number == 301
    assert log.read_count < 50


def test_lost_records_without_a_checkpoint_stop_a_publication():
    """Guards against a publication on top of an unknown version."""
    log = MemoryLog()
    fill(log, 5, checkpoint_after=0)
    log.first = 2
    with pytest.raises(errors.LogError) as caught:
        make_publisher(log).catch_up()
    assert caught.value.code is errors.Code.LOG_GAP


def test_forged_checkpoint_is_not_a_start():
    """Guards against a checkpoint by someone without the peer key."""
    log = MemoryLog()
    fill(log, 5, checkpoint_after=3)
    forged = acceptance.make_checkpoint(
        bundles.VersionId(99, bundles.digest(b"x")), b"x", ids.Offset(6), b"no"
    )
    log.append(records.CONFIG_STREAM, records.encode(forged))
    assert make_publisher(log).catch_up().number == 5


def test_lost_answer_does_not_publish_twice():
    """Guards against a second version after a lost answer."""
    log = MemoryLog()
    fill(log, 1, checkpoint_after=0)
    log.lost_answers = 1
    publisher = make_publisher(log)
    result = publisher.publish(bundle_with(9), publisher.catch_up(), "tester")
    assert result.fate is publishing.Fate.ACCEPTED
    assert len(log.data) == 2


@pytest.mark.parametrize("number", [1, 4, 5, 6, 20])
def test_older_versions_are_found_for_differences(number):
    """Guards against a wrong difference shown to the loser of a race."""
    log = MemoryLog()
    fill(log, 40, checkpoint_after=5)
    publisher = make_publisher(log)
    publisher.catch_up()
    found = publisher.follower.bundle_of(ids.VersionNumber(number))
    assert found == bundle_with(number)
    [change] = differences.compare(found, bundle_with(40))
    assert change == differences.Change(
        ["koege-bugt"], "services.stock-catalogue.slots", str(number), "40"
    )


@pytest.mark.parametrize("checkpoint_after", [0, 3, 5])
def test_wrong_publishing_key_is_found_before_a_publication(checkpoint_after):
    """Guards against success reported for what all daemons ignore."""
    log = MemoryLog()
    fill(log, 5, checkpoint_after)
    with pytest.raises(errors.LogError) as caught:
        make_publisher(log, b"another-key-0123456").catch_up()
    assert caught.value.code is errors.Code.BAD_SETTINGS
