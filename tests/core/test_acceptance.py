"""Acceptance of versions under races, repeated records and gaps."""

import pathlib

import pytest

from buckthorn_client import files
from buckthorn_core import acceptance
from buckthorn_core import bundles
from buckthorn_core import ids
from buckthorn_core import records

KEY = b"test-key-0123456789"
DEPLOY = pathlib.Path(__file__).parents[2] / "deploy"
ACCEPTED = acceptance.Verdict.ACCEPTED
STALE = acceptance.Verdict.STALE


def make_raw(name: str) -> bytes:
    bundle = files.BundleFiles(DEPLOY / "kulhus").load()
    base = bundle.base
    return bundles.encode(
        bundles.Bundle(
            bundles.Base(
                name, base.regions, base.services, base.resources, base.routes
            ),
            bundle.overlays,
        )
    )


def publication(
    name: str, based_on: bundles.VersionId, key: bytes = KEY
) -> records.Publication:
    record = records.Publication(
        ids.PublicationId(name), based_on, "tester", 0, make_raw(name)
    )
    signed = records.sign(record, key)
    assert isinstance(signed, records.Publication)
    return signed


def version_of(number: int, name: str) -> bundles.VersionId:
    return bundles.VersionId(
        ids.VersionNumber(number), bundles.digest(make_raw(name))
    )


def apply_all(
    acceptor: acceptance.Acceptor, start: int, *log: records.Record
) -> list[acceptance.Verdict]:
    return [
        acceptor.apply(ids.Offset(start + n), record).verdict
        for n, record in enumerate(log)
    ]


def test_second_of_two_racing_publications_is_stale():
    """Guards against accepting two publications based on one version."""
    acceptor = acceptance.Acceptor(KEY, KEY)
    verdicts = apply_all(
        acceptor,
        0,
        publication("one", bundles.NO_VERSION),
        publication("two", bundles.NO_VERSION),
    )
    assert verdicts == [ACCEPTED, STALE]
    assert acceptor.version == version_of(1, "one")


def test_repeated_append_has_no_effect():
    """Guards against a second version from one publication.

    A publisher whose append got no answer appends the record again.
    """
    acceptor = acceptance.Acceptor(KEY, KEY)
    first = publication("one", bundles.NO_VERSION)
    verdicts = apply_all(acceptor, 0, first, first)
    assert verdicts == [ACCEPTED, acceptance.Verdict.DUPLICATE]
    assert acceptor.version.number == 1


def test_publication_with_a_wrong_key_is_ignored():
    """Guards against publications without the publishing key."""
    acceptor = acceptance.Acceptor(KEY, KEY)
    forged = publication("one", bundles.NO_VERSION, b"other-key")
    assert apply_all(acceptor, 0, forged) == [acceptance.Verdict.UNSIGNED]


@pytest.mark.parametrize("log_start", [1, 2, 3])
def test_reader_after_a_gap_accepts_what_others_accepted(log_start):
    """Guards against readers that disagree after records have expired.

    Later readers find neither the first publications nor their versions in
    the log, only a checkpoint at its end.
    """
    one = publication("one", bundles.NO_VERSION)
    two = publication("two", version_of(1, "one"))
    checkpoint = acceptance.make_checkpoint(
        version_of(2, "two"), make_raw("two"), ids.Offset(2), KEY
    )
    three = publication("three", version_of(2, "two"))
    log = [one, two, one, three, checkpoint]
    complete = acceptance.Acceptor(KEY, KEY)
    apply_all(complete, 0, *log)
    late = acceptance.Acceptor(KEY, KEY)
    late.set_log_start(ids.Offset(log_start))
    apply_all(late, log_start, *log[log_start:])
    assert not late.gapped
    assert late.version == complete.version == version_of(3, "three")


def test_gapped_reader_accepts_nothing_without_a_checkpoint():
    """Guards against acceptance on top of an unknown version."""
    late = acceptance.Acceptor(KEY, KEY)
    late.set_log_start(ids.Offset(5))
    record = publication("one", bundles.NO_VERSION)
    assert apply_all(late, 5, record) == [acceptance.Verdict.GAPPED]
    assert late.version == bundles.NO_VERSION
