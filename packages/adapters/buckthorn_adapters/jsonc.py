"""Files in JSON with comments, decoded into types.

Errors are reported as findings with file, line and column.
"""

import pathlib
from typing import Any
from typing import TypeVar

import msgspec

from buckthorn_adapters import jsonc_parser
from buckthorn_adapters import type_errors
from buckthorn_core import findings

MAX_FILE_BYTES = 8 * 1_048_576

_Type = TypeVar("_Type")


class Document:
    """A parsed file with the place of each of its values.

    Attributes:
        file: Name of the file.
        text: Its text.
        value: Its content as dicts, lists and scalars.
    """

    def __init__(self, file: str, text: str):
        """Parses a text.

        Raises:
            findings.FindingsError: The text has a syntax error.
        """
        self.file = file
        self.text = text
        self._lines = jsonc_parser.LineIndex(text)
        try:
            tree = jsonc_parser.parse(text)
        except jsonc_parser.ParseError as exc:
            place = self._place_at(exc.offset)
            raise findings.FindingsError(
                [findings.Finding(file, (), "syntax", str(exc), place)]
            ) from exc
        self.value: Any = tree.value
        self._spans = tree.spans
        self._duplicates = tree.duplicates

    def place(self, path: findings.Path) -> findings.Place:
        """Returns the place of a value, or of its closest existing parent.

        The place of a member of an object is the place of its key.
        """
        while path not in self._spans:
            path = path[:-1]
        return self._place_at(self._spans[path].key)

    def span(self, path: findings.Path) -> jsonc_parser.Span | None:
        """Returns the offsets of a value, or None if there is none."""
        return self._spans.get(path)

    def locate(self, finding: findings.Finding) -> findings.Finding:
        """Returns the finding with its place in this file."""
        return findings.Finding(
            self.file,
            finding.path,
            finding.code,
            finding.message,
            self.place(finding.path),
        )

    def has(self, path: findings.Path) -> bool:
        """Returns whether the file has a value at a path."""
        return path in self._spans

    def decode(self, target: type[_Type]) -> _Type:
        """Converts the content to a type.

        Raises:
            findings.FindingsError: The content does not match the type, or
                an object has duplicate keys. Contains all such findings.
        """
        found = self._duplicate_findings()
        try:
            result = msgspec.convert(self.value, target)
        except msgspec.ValidationError as exc:
            found.extend(self._type_findings(target))
            raise findings.FindingsError(
                sorted(found, key=_sort_key) or [self._unlocated_finding(exc)]
            ) from exc
        if found:
            raise findings.FindingsError(found)
        return result

    def _place_at(self, offset: int) -> findings.Place:
        return findings.Place(self.file, *self._lines.position(offset))

    def _duplicate_findings(self) -> list[findings.Finding]:
        return [
            findings.Finding(
                self.file,
                path,
                "duplicate-key",
                f"the key {path[-1]!r} stands twice in its object",
                self._place_at(offset),
            )
            for path, offset in self._duplicates
        ]

    def _type_findings(self, target: Any) -> list[findings.Finding]:
        found = []
        for fault in type_errors.find(self.value, target):
            found.append(
                findings.Finding(self.file, *fault, self.place(fault.path))
            )
            if len(found) == type_errors.MAX_MISMATCHES:
                break
        return found

    def _unlocated_finding(self, exc: Exception) -> findings.Finding:
        return findings.Finding(
            self.file, (), "wrong-type", str(exc), self.place(())
        )


def _sort_key(finding: findings.Finding) -> tuple[int, int]:
    place = finding.place or findings.Place(finding.file)
    return place.line, place.column


def _unreadable_error(
    path: pathlib.Path, message: str, line: int = 1, column: int = 1
) -> findings.FindingsError:
    place = findings.Place(str(path), line, column)
    return findings.FindingsError(
        [findings.Finding(str(path), (), "unreadable", message, place)]
    )


def load(path: pathlib.Path) -> Document:
    """Reads and parses a file.

    Raises:
        findings.FindingsError: The file can't be read, or has a syntax
            error.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        raise _unreadable_error(path, exc.strerror or str(exc)) from exc
    if len(data) > MAX_FILE_BYTES:
        raise _unreadable_error(
            path, f"the file is over {MAX_FILE_BYTES} bytes"
        )
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        before = data[: exc.start]
        line_start = before.rfind(b"\n") + 1
        column = len(before[line_start:].decode(errors="replace")) + 1
        line = before.count(b"\n") + 1
        raise _unreadable_error(path, "not UTF-8", line, column) from exc
    return Document(str(path), text)
