"""The settings page and the example settings agree with the code."""

import pathlib
import subprocess
import sys

import pytest

from buckthorn_client import commands
from buckthorn_client import files
from buckthorn_client import settings as client_settings
from buckthorn_core import bundles
from buckthorn_daemon import settings as daemon_settings

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = sorted((ROOT / "deploy").glob("*/settings/*.jsonc"))


def test_settings_page_is_current():
    """Guards against a page that lacks or misstates a setting."""
    done = subprocess.run(
        [sys.executable, ROOT / "tools" / "settings_page.py", "--check"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda p: p.stem)
def test_example_settings_load_and_fit_the_base(path):
    """Guards against an example that no daemon would start with."""
    cfg = daemon_settings.load(path)
    base = files.BundleFiles(path.parents[1]).load().base
    assert cfg.site == path.stem
    assert bundles.region_of(base, cfg.site) == cfg.region
    assert cfg.log_region == next(iter(base.regions))


@pytest.mark.parametrize("mesh", ["kulhus", "association"])
def test_each_site_has_an_example_with_its_own_addresses(mesh):
    """Guards against examples that collide or leave out a site."""
    folder = ROOT / "deploy" / mesh
    found = [daemon_settings.load(p) for p in folder.glob("settings/*.jsonc")]
    base = files.BundleFiles(folder).load().base
    assert sorted(cfg.site for cfg in found) == sorted(
        site for sites in base.regions.values() for site in sites
    )
    for field in ("daemon_id", "peer_listen", "remote_peer_address"):
        assert len({getattr(cfg, field) for cfg in found}) == len(found)
    client = client_settings.load(folder / "buckthornctl.jsonc")
    assert {(client.log_url, client.publish_key, client.peer_key)} == {
        (cfg.log_url, cfg.publish_key, cfg.peer_key) for cfg in found
    }


def test_exit_statuses_are_on_the_page():
    """Guards against a status that operators' scripts can't look up."""
    page = (ROOT / "docs" / "operators" / "publish.md").read_text()
    for status in commands.Exit:
        assert f"| {status.value} | {status.name.lower()} |" in page
