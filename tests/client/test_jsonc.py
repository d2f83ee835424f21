"""Parsing of large files."""

import json
import time

from buckthorn_adapters import jsonc

SERVICES = 780
# The parser of json-five alone took over 3 s for this file on the machine
# where it was replaced.
MOST_CPU_S = 2.0


def test_base_of_several_hundred_services_parses_quickly():
    """Guards against a parser that makes check and publish take seconds."""
    text = json.dumps(
        {
            name: {
                f"{name}-{n}": {"slots": n, "limits": {"a": 0.5, "b": 100}}
                for n in range(SERVICES)
            }
            for name in ("services", "resources", "routes")
        },
        indent=1,
    )
    assert len(text) > 150_000
    started_s = time.process_time()
    document = jsonc.Document("base", text)
    assert time.process_time() - started_s < MOST_CPU_S
    assert document.value == json.loads(text)
