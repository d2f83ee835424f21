"""The fault matrix page agrees with the tests."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]


def test_page_is_generated_from_the_tests():
    """Guards against a page that claims cells without tests."""
    found = subprocess.run(
        [sys.executable, str(ROOT / "tools" / "matrix.py")],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    page = (ROOT / "docs" / "matrix.md").read_text(encoding="utf-8")
    assert page == found.stdout, "run make matrix"
