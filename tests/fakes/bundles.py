"""Small bundles, publications and checkpoints."""

from buckthorn_core import acceptance
from buckthorn_core import ids
from buckthorn_core import meshes
from buckthorn_core import records

KEY = b"test-key-0123456789"
REGIONS = {"near": ["n1", "n2"], "far": ["f1"]}


def raw(name: str, service: str = "stock") -> bytes:
    """Returns a bundle; a route to a service but `stock` is dangling."""
    return meshes.encode(
        meshes.Bundle(
            meshes.Base(
                mesh=name,
                regions=REGIONS,
                services={"stock": meshes.Service(4, 8)},
                resources={"lookup": meshes.Resource()},
                routes={"all": meshes.Route("/", service, "lookup")},
            ),
            {},
        )
    )


def version(number: int, name: str) -> meshes.VersionId:
    return meshes.VersionId(ids.VersionNumber(number), meshes.digest(raw(name)))


def publication(
    name: str, based_on: meshes.VersionId, service: str = "stock"
) -> records.Publication:
    return records.sign(
        records.Publication(
            ids.PublicationId(name), based_on, "tester", 0, raw(name, service)
        ),
        KEY,
    )


def checkpoint(number: int, name: str, as_of: int) -> records.Checkpoint:
    return acceptance.make_checkpoint(
        version(number, name), raw(name), ids.Offset(as_of), KEY
    )
