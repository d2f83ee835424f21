"""A leaving is confirmed without being recorded, and forgotten by a restart."""

import asyncio
import pathlib

import lab as standins

CALM_S = 4.0
PER_S = 20
# How long the store is down, and when the instance leaves in this time.
DOWN_S = 4.5
LEAVES_AFTER_S = 0.5
# Time from the confirmation to the kill of all processes, and until they are
# started again.
KILL_S = 0.5
RESTART_S = 0.4
# How long the instance still serves after the confirmation.
SERVES_S = 14.0


async def run(lab, trouble):
    machines = [
        lab.add(f"sidecar-aarhus-havn-{n}", "lagerkig") for n in range(3)
    ]
    await lab.start(standins.configuration(5, [
        standins.route("r-stock", "/stock/", "lagerkig", "idempotent"),
        standins.route("r-book", "/book/", "lagerkig", "non_idempotent"),
    ]))
    for machine in machines:
        lab.spawn(lab.load(machine, PER_S, "GET", "/stock/a", "look"))
        lab.spawn(lab.load(machine, PER_S, "POST", "/book/a", "book", b"x"))
    await asyncio.sleep(CALM_S)

    machine, instance = machines[0], machines[0].instance
    if trouble:
        lab.record.add("store_down")
        lab.store.silent = True
    down_s = lab.record.now()
    await asyncio.sleep(LEAVES_AFTER_S)
    # The last heartbeat before the instance leaves; it arrives late.
    late = instance.heartbeat()
    late_since_s = lab.record.now()
    machine.beats = False
    instance.leaving = True
    if await machine.tell(*instance.leave()) != 200:
        raise standins.CannotRun("the leaving was not confirmed")
    confirmed_s = lab.record.now()
    lab.record.add("leave_confirmed", instance=instance.id)
    await asyncio.sleep(KILL_S)
    if trouble:
        for each in machines:
            await each.kill()
        await asyncio.sleep(RESTART_S)
        for each in machines:
            await each.start()
    await asyncio.sleep(down_s + DOWN_S - lab.record.now())
    if trouble:
        lab.record.add("store_up")
        lab.store.silent = False
    calm_since_s = lab.record.now()
    while await machine.tell(*late) != 200:
        await asyncio.sleep(0.1)
    lab.record.add(
        "late_heartbeat", seconds_late=round(lab.record.now() - late_since_s, 2)
    )
    await asyncio.sleep(confirmed_s + SERVES_S - lab.record.now())
    instance.up = False
    instance.abort()
    lab.record.add("instance_exit", instance=instance.id)
    await asyncio.sleep(2.0)
    in_touch_s = calm_since_s + standins.STABILITY_S
    found = [
        (at_s, request_id)
        for at_s, request_id, _, name in instance.runs
        if at_s > confirmed_s + standins.DRAIN_S
        and lab.replies.get(request_id, (at_s,))[0] > in_touch_s
    ]
    lost = [
        i for i, (sent_s, _, reply) in lab.replies.items()
        if i.startswith("book-") and sent_s > in_touch_s
        and reply.status == 502
    ]
    lab.record.add("judged", confirmed_s=round(confirmed_s, 3),
                   in_touch_s=round(in_touch_s, 3), late_runs=len(found),
                   lost_bookings=len(lost))
    if not found:
        return []
    return [
        f"{len(found)} requests reached {instance.id} from"
        f" {found[0][0] - confirmed_s:.1f} s to"
        f" {found[-1][0] - confirmed_s:.1f} s after the confirmation;"
        f" {len(lost)} bookings were lost when it ended"
    ]


standins.main(pathlib.Path(__file__).parent, run)
