"""All faults in the operators' files are reported at once, with places."""

import json
import pathlib
import shutil

import pytest
import pytest_bdd
from pytest_bdd import parsers

from buckthorn_adapters import jsonc
from buckthorn_client import files
from buckthorn_core import findings

DEPLOY = pathlib.Path(__file__).parents[2] / "deploy"

pytest_bdd.scenarios("findings.feature")


def large_base(folder: pathlib.Path) -> bytes:
    base = jsonc.load(folder / "base.jsonc").value
    for index in range(20_000):
        base["services"][f"service-{index}"] = {"slots": 1, "connections": 1}
    return json.dumps(base).encode()


CONTENTS = {
    "empty": lambda folder: b"",
    "not UTF-8": lambda folder: b'{\n"\xc3\xa6\xff": 1}',
    "over 8 MiB": lambda folder: b" " * (jsonc.MAX_FILE_BYTES + 1),
    "70 levels deep": lambda folder: b"[" * 70 + b"]" * 70,
    "over a log record": large_base,
}


@pytest_bdd.given("the files of kulhus", target_fixture="folder")
def _folder(tmp_path):
    return pathlib.Path(shutil.copytree(DEPLOY / "kulhus", tmp_path / "files"))


@pytest_bdd.given(parsers.parse("{file} has {old} replaced by {new}"))
def _replace(folder, file, old, new):
    text = (folder / file).read_text()
    assert old in text
    (folder / file).write_text(text.replace(old, new, 1))


@pytest_bdd.given(parsers.parse("base.jsonc is {content}"))
def _base_is(folder, content):
    path = folder / "base.jsonc"
    if content == "missing":
        path.unlink()
    else:
        path.write_bytes(CONTENTS[content](folder))


@pytest_bdd.given("overlays/odense.jsonc is an overlay of odense")
def _foreign_overlay(folder):
    path = folder / "overlays" / "odense.jsonc"
    path.write_text('{"site": "odense"}')


@pytest_bdd.when("the files are checked", target_fixture="reported")
def _check(folder):
    with pytest.raises(findings.FindingsError) as raised:
        files.BundleFiles(folder).load()
    return [
        (
            str(pathlib.Path(finding.place.file).relative_to(folder)),
            f"{finding.place.line}:{finding.place.column}",
            finding.code,
        )
        for finding in raised.value.findings
    ]


@pytest_bdd.then(
    parsers.parse("the only finding is {code} at {place} of {file}")
)
def _check_only(reported, code, place, file):
    assert reported == [(file, place, code)]


@pytest_bdd.then("the findings are")
def _check_all(reported, datatable):
    assert [list(row) for row in sorted(reported)] == datatable[1:]
