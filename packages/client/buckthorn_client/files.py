"""Base and overlays as files."""

from collections.abc import Iterable
import pathlib
from typing import Any

from buckthorn_adapters import jsonc
from buckthorn_core import findings
from buckthorn_core import ids
from buckthorn_core import meshes
from buckthorn_core import validation

BASE_NAME = "base.jsonc"
OVERLAYS_NAME = "overlays"


class BundleFiles:
    """A folder with `base.jsonc` and `overlays/*.jsonc`.

    Attributes:
        folder: The folder.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self._documents: dict[str, jsonc.Document] = {}

    def load(self) -> meshes.Bundle:
        """Reads and checks all files.

        Raises:
            findings.FindingsError: With the findings of all files.
        """
        found: list[findings.Finding] = []
        base = self._read(
            validation.BASE_FILE,
            self.folder / BASE_NAME,
            meshes.Base,
            found,
        )
        overlays: dict[ids.SiteName, meshes.Overlay] = {}
        for path in sorted((self.folder / OVERLAYS_NAME).glob("*.jsonc")):
            site = ids.SiteName(path.stem)
            overlay = self._read(
                validation.overlay_file(site), path, meshes.Overlay, found
            )
            if overlay is not None:
                overlays[site] = overlay
        if base is None:
            raise findings.FindingsError(found)
        bundle = meshes.Bundle(base, overlays)
        found.extend(self._locate(validation.validate(bundle)))
        if found:
            raise findings.FindingsError(found)
        return bundle

    def _read(
        self,
        name: str,
        path: pathlib.Path,
        target: type[Any],
        found: list[findings.Finding],
    ) -> Any:
        try:
            document = jsonc.load(path)
            self._documents[name] = document
            return document.decode(target)
        except findings.FindingsError as exc:
            found.extend(exc.findings)
            return None

    def _locate(
        self, found: Iterable[findings.Finding]
    ) -> list[findings.Finding]:
        located = []
        for finding in found:
            document = self._documents.get(finding.file)
            located.append(document.locate(finding) if document else finding)
        return located
