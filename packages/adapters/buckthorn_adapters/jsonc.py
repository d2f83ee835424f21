"""JSON with comments, decoded into types, with findings that have a place."""

import pathlib
import re
from typing import Any
from typing import TypeVar

import json5
from json5 import loader
from json5 import model
import msgspec

from buckthorn_core import findings

MAX_FILE_BYTES = 8 * 1_048_576

_Type = TypeVar("_Type")
_ERROR_PATH = re.compile(r" - at `(?:key in )?\$?([^`]*)`")
_POSITION = re.compile(r"line (\d+) column (\d+)")
_SYNTAX_CHARS = re.compile(r"\s+")


class Document:
    """A parsed file that knows the place of each of its values.

    Attributes:
        file: Name of the file.
        value: Its content as plain values.
    """

    def __init__(self, file: str, text: str):
        """Parses a text.

        Raises:
            findings.FindingsError: The syntax is wrong, or a key stands
                twice in an object.
        """
        self.file = file
        self._lines = text.splitlines(keepends=True)
        self._places: dict[findings.Path, findings.Place] = {}
        self._found: list[findings.Finding] = []
        try:
            tree = json5.loads(text, loader=loader.ModelLoader())
        except json5.JSON5DecodeError as exc:
            raise findings.FindingsError([self._syntax_finding(exc)]) from exc
        self.value = self._convert(tree.value, ())
        if self._found:
            raise findings.FindingsError(self._found)

    def place(self, path: findings.Path) -> findings.Place:
        """Returns the place of a value, or of its closest parent."""
        while path and path not in self._places:
            path = path[:-1]
        return self._places.get(path, findings.Place(self.file, 1, 1))

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
        """Returns whether the file has a value with this path."""
        return path in self._places

    def decode(self, target: type[_Type]) -> _Type:
        """Converts the content to a type.

        All faults are found: after each, the part at fault is left out and
        the rest is converted again.

        Raises:
            findings.FindingsError: The content is not of the type.
        """
        value = self.value
        found: list[findings.Finding] = []
        while True:
            try:
                result = msgspec.convert(value, target)
                break
            except msgspec.ValidationError as exc:
                finding = self._type_finding(str(exc))
                if any(f.path == finding.path for f in found):
                    break
                found.append(finding)
                value = _without(value, finding.path)
        if found:
            raise findings.FindingsError(found)
        return result

    def _type_finding(self, text: str) -> findings.Finding:
        match = _ERROR_PATH.search(text)
        message = _ERROR_PATH.sub("", text)
        path = self._resolve(match.group(1) if match else "")
        unknown = re.search(r"unknown field `([^`]+)`", text)
        code = "wrong-type"
        if unknown:
            code = "unknown-key"
            path = (*path, unknown.group(1))
        elif "missing required" in text:
            code = "missing-key"
        return findings.Finding(
            self.file, path, code, message, self.place(path)
        )

    def _resolve(self, text: str) -> findings.Path:
        """Turns a path like `.a[...].b` into the first that fits it."""
        steps = re.findall(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]", text)
        paths: list[findings.Path] = [()]
        for name, index in steps:
            if name:
                paths = [(*path, name) for path in paths]
            elif index.isdigit():
                paths = [(*path, int(index)) for path in paths]
            else:
                paths = [
                    known
                    for path in paths
                    for known in self._places
                    if len(known) == len(path) + 1 and known[:-1] == path
                ]
        present = [path for path in paths if path in self._places]
        return (present or paths or [()])[0]

    def _syntax_finding(self, exc: Exception) -> findings.Finding:
        text = str(exc)
        match = _POSITION.search(text)
        line, column = (int(g) for g in match.groups()) if match else (1, 1)
        message = next(
            (t for t in text.splitlines() if _POSITION.search(t)), text
        )
        return findings.Finding(
            self.file,
            (),
            "syntax",
            _SYNTAX_CHARS.sub(" ", message).strip(),
            findings.Place(self.file, line, column),
        )

    def _place_of(self, node: Any) -> findings.Place:
        token = getattr(node, "_tok", None)
        if token is None:
            return findings.Place(self.file, 1, 1)
        before = "".join(self._lines)[: token.index]
        line = before.count("\n") + 1
        column = token.index - (before.rfind("\n") + 1) + 1
        return findings.Place(self.file, line, column)

    def _convert(self, node: Any, path: findings.Path) -> Any:
        self._places.setdefault(path, self._place_of(node))
        if isinstance(node, model.JSONObject):
            return self._convert_object(node, path)
        if isinstance(node, model.JSONArray):
            return [
                self._convert(item, (*path, index))
                for index, item in enumerate(node.values)
            ]
        return _scalar(node)

    def _convert_object(self, node: Any, path: findings.Path) -> Any:
        result: dict[str, Any] = {}
        for key_node, value_node in zip(node.keys, node.values, strict=True):
            key = getattr(key_node, "characters", None) or str(
                getattr(key_node, "name", "")
            )
            child = (*path, key)
            if key in result:
                self._found.append(
                    findings.Finding(
                        self.file,
                        child,
                        "duplicate-key",
                        f"key {key!r} stands twice",
                        self._place_of(key_node),
                    )
                )
            self._places[child] = self._place_of(key_node)
            result[key] = self._convert(value_node, child)
        return result


def _scalar(node: Any) -> Any:
    if isinstance(node, model.String):
        return node.characters
    if isinstance(node, model.UnaryOp):
        value = _scalar(node.value)
        return -value if node.op == "-" else value
    if isinstance(node, model.NullLiteral):
        return None
    return getattr(node, "value", None)


def _without(value: Any, path: findings.Path) -> Any:
    if not path:
        return value
    if isinstance(value, dict):
        if len(path) == 1:
            return {k: v for k, v in value.items() if k != path[0]}
        return {
            k: _without(v, path[1:]) if k == path[0] else v
            for k, v in value.items()
        }
    if isinstance(value, list) and isinstance(path[0], int):
        if len(path) == 1:
            return [v for n, v in enumerate(value) if n != path[0]]
        return [
            _without(v, path[1:]) if n == path[0] else v
            for n, v in enumerate(value)
        ]
    return value


def load(path: pathlib.Path) -> Document:
    """Reads and parses a file.

    Raises:
        findings.FindingsError: The file can't be read or is malformed.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise ValueError(f"over {MAX_FILE_BYTES} bytes")
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as exc:
        raise findings.FindingsError(
            [findings.Finding(str(path), (), "unreadable", str(exc))]
        ) from exc
    return Document(str(path), text)
