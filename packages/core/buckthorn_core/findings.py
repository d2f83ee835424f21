"""Findings: faults in configuration files, each with its place."""

from collections.abc import Iterable
import dataclasses

Path = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True)
class Place:
    """A position in a file; line and column count from 1, 0 is unknown."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclasses.dataclass(frozen=True)
class Finding:
    """A single fault.

    Attributes:
        file: The file, or a name for the document.
        path: Keys from the document's root to the value at fault.
        code: Short stable name of the kind of fault.
        message: What is wrong and what is expected.
        place: Position in the file; None until it has been looked up in the
            file's text.
    """

    file: str
    path: Path
    code: str
    message: str
    place: Place | None = None

    def __str__(self) -> str:
        where = str(self.place or Place(self.file))
        return f"{where}: {self.code}: {self.message}"


class FindingsError(Exception):
    """All findings of one check, reported together."""

    def __init__(self, findings: Iterable[Finding]):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(f) for f in self.findings))
