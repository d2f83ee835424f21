"""The page of the fault matrix matches the tests."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]


def test_page_is_generated_from_the_tests():
    """Guards against a page with cells that no test covers."""
    generated = subprocess.run(
        [sys.executable, str(ROOT / "tools" / "matrix.py")],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    page = (ROOT / "docs" / "matrix.md").read_text(encoding="utf-8")
    assert page == generated.stdout, "run make matrix"
