"""Base and overlays as files."""

from collections.abc import Iterable
import pathlib
from typing import Any

from buckthorn_adapters import jsonc
from buckthorn_core import bundles
from buckthorn_core import findings
from buckthorn_core import ids
from buckthorn_core import records
from buckthorn_core import validation

BASE_NAME = "base.jsonc"
OVERLAYS_NAME = "overlays"
# The rest of a log record holds the publication's other fields.
MAX_BUNDLE_BYTES = records.MAX_RECORD_BYTES - 4_096


class BundleFiles:
    """A folder with `base.jsonc` and `overlays/*.jsonc`.

    Attributes:
        folder: The folder.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self._documents: dict[str, jsonc.Document] = {}

    def load(self) -> bundles.Bundle:
        """Reads and checks all files.

        Raises:
            findings.FindingsError: With the findings of all files.
        """
        found: list[findings.Finding] = []
        base = self._read(
            validation.BASE_FILE,
            self.folder / BASE_NAME,
            bundles.Base,
            found,
        )
        overlays = self._read_overlays(found)
        if base is None:
            raise findings.FindingsError(found)
        bundle = bundles.Bundle(base, overlays)
        found.extend(self._locate(validation.validate(bundle)))
        if found:
            raise findings.FindingsError(found)
        self._check_size(bundle)
        return bundle

    def overlay_path(self, site: ids.SiteName) -> pathlib.Path:
        """Returns the file of a site's overlay."""
        return self.folder / OVERLAYS_NAME / f"{site}.jsonc"

    def _read_overlays(
        self, found: list[findings.Finding]
    ) -> dict[ids.SiteName, bundles.Overlay]:
        overlays: dict[ids.SiteName, bundles.Overlay] = {}
        for path in sorted((self.folder / OVERLAYS_NAME).glob("*.jsonc")):
            site = ids.SiteName(path.stem)
            overlay = self._read(
                validation.overlay_file(site), path, bundles.Overlay, found
            )
            # An empty overlay stands in for a faulty one, so that overlays
            # which extend it are not reported too.
            overlays[site] = overlay or bundles.Overlay(site)
        return overlays

    def _check_size(self, bundle: bundles.Bundle) -> None:
        size = len(bundles.encode(bundle))
        if size <= MAX_BUNDLE_BYTES:
            return
        path = self.folder / BASE_NAME
        message = (
            f"base and overlays take {size} bytes as a log record, over"
            f" {MAX_BUNDLE_BYTES}; remove services or overlays"
        )
        raise findings.FindingsError(
            [
                findings.Finding(
                    str(path),
                    (),
                    "too-large",
                    message,
                    findings.Place(str(path), 1, 1),
                )
            ]
        )

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
