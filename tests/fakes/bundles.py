"""Small bundles, publications and checkpoints for tests."""

from buckthorn_core import acceptance
from buckthorn_core import bundles
from buckthorn_core import ids
from buckthorn_core import records

KEY = b"test-key-0123456789"
REGIONS = {"near": ["n1", "n2"], "far": ["f1"]}


def encode_bundle(name: str, service: str = "stock") -> bytes:
    """Returns an encoded bundle.

    A route to any service except `stock` is a dangling reference.
    """
    return bundles.encode(
        bundles.Bundle(
            bundles.Base(
                mesh=name,
                regions=REGIONS,
                services={"stock": bundles.Service(4, 8)},
                resources={"lookup": bundles.Resource()},
                routes={"all": bundles.Route("/", service, "lookup")},
            ),
            {},
        )
    )


def version(number: int, name: str) -> bundles.VersionId:
    return bundles.VersionId(
        ids.VersionNumber(number), bundles.digest(encode_bundle(name))
    )


def publication(
    name: str,
    based_on: bundles.VersionId,
    service: str = "stock",
    epoch: int = 0,
) -> records.Publication:
    return records.sign(
        records.Publication(
            ids.PublicationId(name),
            based_on,
            "tester",
            0,
            encode_bundle(name, service),
            epoch=ids.LogEpoch(epoch),
        ),
        KEY,
    )


def checkpoint(number: int, name: str, as_of: int) -> records.Checkpoint:
    return acceptance.make_checkpoint(
        version(number, name), encode_bundle(name), ids.Offset(as_of), KEY
    )
