"""Demo: a site is emptied into one of the other region under load."""

import pathlib
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time

from absl import app
from absl import flags
import urllib3

from buckthorn_standins import callers
from buckthorn_standins import fleet
from buckthorn_standins import judging
from buckthorn_standins import options

_DEPLOYMENT = flags.DEFINE_enum(
    "deployment", "kulhus", sorted(fleet.DEPLOYMENTS), "Whose mesh to run."
)
_LOAD_S = flags.DEFINE_float("load_s", 5.0, "Time of load before the move.")
_KEEP = flags.DEFINE_string("keep", "", "Folder to keep settings and logs in.")

READY_TIMEOUT_S = 30.0
CONVERGE_TIMEOUT_S = 15.0
VERSION_HEADER = "Buckthorn-Version"


class Demo:
    """One run of the demo."""

    def __init__(self, deployment: fleet.Deployment, folder: pathlib.Path):
        self._deployment = deployment
        self._folder = folder
        self._fleet = fleet.Fleet(deployment, folder / "run")
        self._files = folder / "files"
        shutil.copytree(pathlib.Path("deploy") / deployment.name, self._files)
        self._convergence_ms: list[float] = []
        self._converged = True
        self._started_s = time.monotonic()

    def run(self) -> int:
        """Runs the demo and returns the exit status."""
        mesh = self._fleet
        try:
            self._say(f"starting {len(mesh.instances)} daemons and upstreams")
            mesh.start()
            self._publish(mesh.instances)
            self._wait_for_upstreams()
            return self._run_move()
        finally:
            mesh.close()

    def _run_move(self) -> int:
        mesh = self._fleet
        old, _ = self._deployment.sites()[0]
        new = list(self._deployment.regions.values())[1][0]
        staying = [i for i in mesh.instances if i.site != old]
        leaving = [i for i in mesh.instances if i.site == old]
        load = self._make_load(mesh.instances)
        load.start()
        self._say("callers have started")
        time.sleep(_LOAD_S.value)
        self._say(f"moving {old} to {new}")
        self._write_move(old, new)
        self._publish(mesh.instances)
        time.sleep(2.0)
        for instance in leaving:
            mesh.signal(instance.name, signal.SIGTERM)
        for instance in leaving:
            status = mesh.wait(instance.name)
            self._say(f"daemon {instance.name} has stopped with {status}")
            mesh.signal(f"upstream-{instance.name}", signal.SIGTERM)
            mesh.wait(f"upstream-{instance.name}")
        self._say(f"{old} is empty; {len(staying)} daemons stay")
        time.sleep(2.0)
        load.close()
        return self._report(load)

    def _make_load(self, instances: list[fleet.Instance]) -> callers.Callers:
        return callers.Callers(
            [i.address("http") for i in instances],
            {
                callers.Kind.LOOKUP: self._deployment.lookup,
                callers.Kind.ORDER: self._deployment.order,
                callers.Kind.UPLOAD: self._deployment.upload,
            },
            {
                callers.Kind.LOOKUP: 6,
                callers.Kind.ORDER: 3,
                callers.Kind.UPLOAD: 4,
            },
            pause_s=0.05,
            seed=options.SEED.value,
        )

    def _write_move(self, old: str, new: str) -> None:
        (self._files / "overlays" / f"{old}.jsonc").write_text(
            f'// {old} is emptied into {new}.\n{{\n  "site": "{old}",\n'
            f'  "state": "draining",\n  "traffic": {{"{new}": 1}}\n}}\n'
        )

    def _publish(self, instances: list[fleet.Instance]) -> None:
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "buckthorn_client.main",
                "publish",
                f"--folder={self._files}",
                f"--cfg={self._fleet.client_settings()}",
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        accepted_s = time.monotonic()
        self._say((done.stdout + done.stderr).strip())
        if done.returncode:
            raise RuntimeError("the publication failed")
        version = int(done.stdout.split()[-1])
        threads = [
            threading.Thread(
                target=self._time_convergence,
                args=(instance, version, accepted_s),
            )
            for instance in instances
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _time_convergence(
        self, instance: fleet.Instance, version: int, accepted_s: float
    ) -> None:
        """Asks as a caller until an answer comes from the version."""
        pool = urllib3.PoolManager(retries=False, timeout=1.0)
        url = f"http://{instance.address('http')}{self._deployment.lookup}probe"
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            try:
                resp = pool.request("GET", url)
                if int(resp.headers.get(VERSION_HEADER, "0")) >= version:
                    if version > 1:
                        self._convergence_ms.append(
                            (time.monotonic() - accepted_s) * 1000
                        )
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.01)
        self._converged = False

    def _wait_for_upstreams(self) -> None:
        mesh = self._fleet

        def known() -> bool:
            for instance in mesh.instances:
                status = mesh.status(instance) or {}
                up = [
                    u
                    for u in status.get("upstreams", [])
                    if u["upstream_state"] == "up" and u["state"] == "up"
                ]
                local = [
                    i for i in mesh.instances if i.region == instance.region
                ]
                if len(up) < len(local):
                    return False
            return True

        mesh.wait_until(known, READY_TIMEOUT_S, "the upstreams")

    def _report(self, load: callers.Callers) -> int:
        verdict = judging.judge(load.outcomes, self._fleet.records())
        carried = self._fleet.control_bytes()
        control = {
            scope: sum(
                size
                for name, size in carried.items()
                if name in (f"peer/{scope}", f"log/{scope}")
            )
            for scope in ("local", "region")
        }
        self._print_table(load)
        times = self._convergence_ms or [0.0]
        print(
            f"demo: requests={verdict.requests} lost={verdict.lost}"
            f" cut={verdict.cut} doubled={verdict.doubled}"
            f" refused={verdict.refused}"
            f" convergence_p50_ms={statistics.median(times):.0f}"
            f" convergence_max_ms={max(times):.0f}"
            f" control_bytes_local={control['local']}"
            f" control_bytes_region={control['region']}"
        )
        if verdict.lied:
            print(f"{verdict.lied} requests refused as not run did run")
        bad = verdict.lost or verdict.cut or verdict.doubled or verdict.lied
        return 1 if bad or not self._converged else 0

    def _print_table(self, load: callers.Callers) -> None:
        print(
            f"{'kind':8} {'requests':>9} {'answered':>9} {'tries':>6}"
            f" {'p50 ms':>8} {'max ms':>8}"
        )
        for kind in callers.Kind:
            found = [o for o in load.outcomes if o.kind is kind]
            times = sorted(o.seconds * 1000 for o in found) or [0.0]
            tries = sum(len(o.attempts) for o in found)
            answered = sum(o.answered for o in found)
            print(
                f"{kind.value:8} {len(found):9} {answered:9} {tries:6}"
                f" {statistics.median(times):8.1f} {times[-1]:8.1f}"
            )
        for outcome in load.outcomes:
            if not outcome.answered:
                print(f"not answered: {outcome}")

    def _say(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_s
        print(f"{elapsed_s:6.1f} s  {text}", flush=True)


def main(argv: list[str]) -> int:
    """Runs the demo."""
    del argv
    deployment = fleet.DEPLOYMENTS[_DEPLOYMENT.value]
    if _KEEP.value:
        return Demo(deployment, pathlib.Path(_KEEP.value)).run()
    with tempfile.TemporaryDirectory() as folder:
        return Demo(deployment, pathlib.Path(folder)).run()


if __name__ == "__main__":
    app.run(main)
