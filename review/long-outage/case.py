"""After a long outage of the store, daemons never follow it again."""

import asyncio
import os
import pathlib

import lab as standins

MACHINES = int(os.environ.get("MACHINES", "3"))
DOWN_S = float(os.environ.get("DOWN_S", "900"))
# From the store's return: the new version is sent, and must be in force.
CALM_S = 15.0
CONFIG_S = 2.5
PROBES = 20


async def run(lab, trouble):
    machines = [
        lab.add(f"sidecar-aarhus-havn-{n}", "lagerkig")
        for n in range(MACHINES)
    ]
    routes = [standins.route("r-stock", "/stock/", "lagerkig", "idempotent")]
    await lab.start(standins.configuration(5, routes))
    lab.store.busy = trouble
    lab.record.add("store_down" if trouble else "store_up")
    await asyncio.sleep(DOWN_S)
    lab.store.busy = False
    lab.record.add("store_up")
    await asyncio.sleep(CALM_S)
    added = standins.route("r-new", "/new/", "lagerkig", "idempotent")
    lab.store.put(
        "keyed.op", "config", standins.configuration(9, [*routes, added])
    )
    lab.record.add("version_confirmed", version=9)
    await asyncio.sleep(CONFIG_S + 5.0)
    broken = []
    for machine in machines:
        sent = [
            await lab.send(machine, "GET", "/new/a") for _ in range(PROBES)
        ]
        missed = [i for i in sent if lab.replies[i][2].status == 404]
        if missed:
            broken.append(
                f"{machine.name}: {len(missed)} of {PROBES} requests on the"
                f" new route got 404 from {CONFIG_S + 5.0:g} s after the"
                f" confirmation on; ready: {await machine.ready()}"
            )
    return broken


standins.main(pathlib.Path(__file__).parent, run, DOWN_S + 120)
