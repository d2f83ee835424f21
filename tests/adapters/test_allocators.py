"""Tests of the settings of the memory allocator."""

import pathlib
import subprocess
import sys

import pytest

PROGRAM = """
import pathlib
from buckthorn_adapters import allocators

def resident_mb():
    status = pathlib.Path("/proc/self/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmRSS"].split()[0]) / 1024

assert allocators.return_large_blocks()
start_mb = resident_mb()
kept = []
for _ in range(8):
    bodies = [bytearray(b"s") * (4 << 20) for _ in range(8)]
    kept.append(bytes(300_000))
    del bodies
assert resident_mb() - start_mb < 16, resident_mb() - start_mb
"""


@pytest.mark.skipif(
    not pathlib.Path("/proc/self/status").exists(), reason="needs /proc"
)
def test_memory_of_long_bodies_is_returned():
    """Guards against a heap that keeps the memory of bodies after their end."""
    subprocess.run([sys.executable, "-c", PROGRAM], check=True, timeout=60)
