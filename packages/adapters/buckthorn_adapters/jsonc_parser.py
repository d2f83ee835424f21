"""Parser of JSON with comments that records the offsets of each value.

It uses the tokenizer of json-five, but not its parser, which builds several
objects per token and takes seconds for a large file.
"""

import bisect
from collections.abc import Iterator
import json
from typing import Any
from typing import NamedTuple

import json5
from json5 import tokenizer

from buckthorn_core import findings

MAX_DEPTH = 64

_SKIPPED_TOKENS = frozenset({"WHITESPACE", "LINE_COMMENT", "BLOCK_COMMENT"})
_STRING_TOKENS = frozenset({"DOUBLE_QUOTE_STRING", "SINGLE_QUOTE_STRING"})
_NAME_TOKENS = frozenset({"NAME", "TRUE", "FALSE", "NULL", "INFINITY", "NAN"})
_CONSTANTS = {"TRUE": True, "FALSE": False, "NULL": None}
_NUMBER_TOKENS = frozenset(
    {"PLUS", "MINUS", "FLOAT", "INTEGER", "EXPONENT", "HEXADECIMAL", "OCTAL"}
)
_END = "END"


class Span(NamedTuple):
    """Offsets of a value in the text.

    Attributes:
        key: Start of its key; for a value without a key, of the value.
        start: Start of the value.
        end: End of the value, exclusive.
    """

    key: int
    start: int
    end: int


class Tree(NamedTuple):
    """Result of a parse.

    Attributes:
        value: The content as dicts, lists and scalars.
        spans: Offsets of each value by its path.
        duplicates: Path and offset of each repeated key of an object.
    """

    value: Any
    spans: dict[findings.Path, Span]
    duplicates: list[tuple[findings.Path, int]]


class ParseError(Exception):
    """The text is not JSON with comments.

    Attributes:
        offset: Offset of the error in the text.
    """

    def __init__(self, offset: int, message: str):
        super().__init__(message)
        self.offset = offset


class _Token(NamedTuple):
    type: str
    text: str
    start: int
    end: int


class LineIndex:
    """Converts offsets of a text to lines and columns, counted from 1."""

    def __init__(self, text: str):
        self._starts = [0]
        newline = text.find("\n")
        while newline >= 0:
            self._starts.append(newline + 1)
            newline = text.find("\n", newline + 1)

    def position(self, offset: int) -> tuple[int, int]:
        """Returns line and column of an offset."""
        line = bisect.bisect_right(self._starts, offset)
        return line, offset - self._starts[line - 1] + 1


def parse(text: str) -> Tree:
    """Parses a text.

    Raises:
        ParseError: The text has a syntax error.
    """
    return _Parser(text).parse()


def _tokenize(text: str) -> Iterator[_Token]:
    end = 0
    try:
        for token in tokenizer.tokenize(text):
            end = token.end
            if token.type not in _SKIPPED_TOKENS:
                yield _Token(
                    str(token.type), token.value, token.index, token.end
                )
    except json5.JSON5DecodeError as exc:
        raise ParseError(end, f"unexpected {text[end]!r}") from exc
    yield _Token(_END, "", len(text.rstrip()), len(text))


class _Parser:
    def __init__(self, text: str):
        self._tokens = _tokenize(text)
        self._token = next(self._tokens)
        self._last_end = 0
        self._spans: dict[findings.Path, Span] = {}
        self._duplicates: list[tuple[findings.Path, int]] = []

    def parse(self) -> Tree:
        value = self._parse_value((), None)
        if self._token.type != _END:
            raise self._error("nothing may follow the value")
        return Tree(value, self._spans, self._duplicates)

    def _advance(self) -> _Token:
        token = self._token
        self._last_end = token.end
        if token.type != _END:
            self._token = next(self._tokens)
        return token

    def _error(self, expected: str) -> ParseError:
        token = self._token
        if token.type == _END:
            return ParseError(token.start, f"the file ends here; {expected}")
        if token.type.startswith("UNTERMINATED"):
            return ParseError(token.start, "the string is not closed")
        return ParseError(
            token.start, f"unexpected {token.text[:20]!r}; {expected}"
        )

    def _parse_value(self, path: findings.Path, key: int | None) -> Any:
        token = self._token
        start = token.start
        if len(path) > MAX_DEPTH:
            raise ParseError(start, f"over {MAX_DEPTH} levels")
        # The parent's span comes first, so that spans are in file order.
        self._spans[path] = Span(start if key is None else key, start, start)
        value: Any
        if token.type == "LBRACE":
            value = self._parse_object(path)
        elif token.type == "LBRACKET":
            value = self._parse_array(path)
        elif token.type in _STRING_TOKENS:
            value = _decode_string(self._advance())
        elif token.type in _NUMBER_TOKENS:
            value = self._parse_number()
        elif token.type in _CONSTANTS:
            value = _CONSTANTS[self._advance().type]
        else:
            raise self._error("a value is needed")
        self._spans[path] = self._spans[path]._replace(end=self._last_end)
        return value

    def _parse_object(self, path: findings.Path) -> dict[str, Any]:
        self._advance()
        result: dict[str, Any] = {}
        while self._token.type != "RBRACE":
            token = self._token
            if token.type in _STRING_TOKENS:
                key = _decode_string(self._advance())
            elif token.type in _NAME_TOKENS:
                key = self._advance().text
            else:
                raise self._error("a key or '}' is needed")
            if self._token.type != "COLON":
                raise self._error(f"':' is needed after the key {key!r}")
            self._advance()
            child = (*path, key)
            if key in result:
                self._duplicates.append((child, token.start))
            result[key] = self._parse_value(child, token.start)
            self._expect_separator("RBRACE", "}")
        self._advance()
        return result

    def _parse_array(self, path: findings.Path) -> list[Any]:
        self._advance()
        result: list[Any] = []
        while self._token.type != "RBRACKET":
            result.append(self._parse_value((*path, len(result)), None))
            self._expect_separator("RBRACKET", "]")
        self._advance()
        return result

    def _expect_separator(self, closing: str, symbol: str) -> None:
        if self._token.type == "COMMA":
            self._advance()
        elif self._token.type != closing:
            raise self._error(f"',' or {symbol!r} is needed")

    def _parse_number(self) -> int | float:
        token = self._advance()
        start, text = token.start, token.text
        while (
            self._token.type in _NUMBER_TOKENS
            and self._token.start == self._last_end
        ):
            text += self._advance().text
        try:
            if "x" in text.lower():
                return int(text, 16)
            number = json.loads(text)
        except ValueError:
            raise ParseError(start, f"{text!r} is not a number") from None
        if number in (float("inf"), float("-inf")):
            raise ParseError(start, f"{text!r} is too large")
        return number


def _decode_string(token: _Token) -> str:
    inner = token.text[1:-1]
    if "\n" in inner:
        raise ParseError(token.start, "the string is not closed on its line")
    if "\\" not in inner:
        return inner
    try:
        return str(json5.loads(token.text))
    except (json5.JSON5DecodeError, ValueError) as exc:
        raise ParseError(token.start, "the escape is wrong") from exc
