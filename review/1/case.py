"""A request that crashes instances comes again and is passed on each time."""

import asyncio
import pathlib

import lab as standins

MACHINES = 6
CALM_S = 6.0
# The request comes again this often, and so many times.
AGAIN_S = 3.0
TIMES = 18
LOOKUPS_PER_S = 15
BOOKINGS_PER_S = 4
POISON = "/stock/special-9"
# Retries that may still reach instances, as the rule states.
ALLOWED = 3


async def run(lab, trouble):
    machines = [
        lab.add(f"sidecar-aarhus-havn-{n}", "lagerkig")
        for n in range(MACHINES)
    ]
    for machine in machines:
        machine.instance.crashes = lambda path: trouble and path == POISON
    await lab.start(standins.configuration(5, [
        standins.route("r-stock", "/stock/", "lagerkig", "idempotent"),
        standins.route("r-book", "/book/", "lagerkig", "non_idempotent"),
    ]))
    for machine in machines:
        lab.spawn(lab.load(machine, LOOKUPS_PER_S, "GET", "/stock/a", "look"))
        lab.spawn(lab.load(
            machine, BOOKINGS_PER_S, "POST", "/book/a", "book", b"x" * 200
        ))
    await asyncio.sleep(CALM_S)
    for n in range(TIMES):
        asyncio.ensure_future(lab.send(
            machines[n % MACHINES], "GET", POISON, label="special"
        ))
        await asyncio.sleep(AGAIN_S)
    return judge(lab, machines)


def judge(lab, machines):
    crashes = sorted(t for m in machines for t in m.instance.crash_times)
    if len(crashes) < 3:
        return []
    since_s = crashes[2] + standins.STABILITY_S
    runs = sorted(
        r for m in machines for r in m.instance.runs if r[2] == POISON
    )
    seen, late, repeats = set(), 0, 0
    for at_s, request_id, _, _ in runs:
        sent_s = lab.replies[request_id][0] if request_id in lab.replies else at_s
        if sent_s > since_s:
            late += 1
            repeats += request_id in seen
        seen.add(request_id)
    lost = [
        i for i, (_, _, reply) in lab.replies.items()
        if i.startswith("book-") and reply.status == 502
    ]
    lab.record.add(
        "judged", crashes=len(crashes), third_s=round(crashes[2], 3),
        late_runs=late, late_second_sends=repeats, lost_bookings=len(lost),
    )
    # The narrow reading: only what the system itself sent once more.
    if repeats <= ALLOWED:
        return []
    return [
        f"{late} runs of {POISON} from {since_s:.1f} s on, {repeats} of them"
        f" sent once more by the system itself; {len(crashes)} crashes;"
        f" {len(lost)} bookings that were running were lost"
    ]


standins.main(pathlib.Path(__file__).parent, run)
