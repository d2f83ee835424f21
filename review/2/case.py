"""A restarted process forgets that its instance has left."""

import asyncio
import pathlib
import signal

import lab as standins

CALM_S = 4.0
PER_S = 20
# Pause between the end of a process and its next start.
RESTART_S = 0.4
# From the SIGTERM until the instance sends its last heartbeat.
STOPPING_S = 2.0
# The instance repeats its call this often until it is confirmed.
RETRY_S = 0.25
# Time from the confirmation to the kill.
KILL_S = 1.0
# How long the instance still serves after the confirmation.
SERVES_S = 14.0


async def restart(machine):
    await machine.kill()
    await asyncio.sleep(RESTART_S)
    await machine.start()


async def answers(machine, path, body):
    """Makes a call until it is confirmed."""
    while await machine.tell(path, body) != 200:
        await asyncio.sleep(RETRY_S)


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
        # Planned: the process is stopped, and started again on its own.
        machine.send_signal(signal.SIGTERM)
        await asyncio.sleep(STOPPING_S)
    # The last heartbeat before the instance leaves; it arrives late.
    late = instance.heartbeat()
    late_since_s = lab.record.now()
    machine.beats = False
    if trouble:
        await machine.wait(standins.GRACE_S)
    instance.leaving = True
    lab.record.add("leaves", instance=instance.id)
    if trouble:
        await asyncio.sleep(RESTART_S)
        await machine.start()
    await answers(machine, *instance.leave())
    confirmed_s = lab.record.now()
    lab.record.add("leave_confirmed", instance=instance.id)
    await asyncio.sleep(KILL_S)
    if trouble:
        await restart(machine)
    calm_since_s = lab.record.now()
    while not await machine.ready():
        await asyncio.sleep(0.05)
    await answers(machine, *late)
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
        if i.startswith("book-") and sent_s > confirmed_s + standins.DRAIN_S
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
