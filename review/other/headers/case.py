"""An upload whose headers arrive in two parts is refused for their size."""

import asyncio
import pathlib
import random

import lab as standins

CALM_S = 2.0
LOOKUPS_PER_S = 10
UPLOADS_PER_S = 20
# The links lose packets for this long, so many times, with pauses.
LOSSY_S = 5.5
TIMES = 8
PAUSE_S = 2.0
LOSS_SHARE = 0.025
# Payload of a packet, and the time after which a lost one is sent again.
PACKET_BYTES = 1_460
RETRANSMIT_S = 0.2
# Size of a scan, and of a header such as cookies or trace data that callers
# send; all headers together stay far below `maxHeaderBytes` (16,384).
BODY_BYTES = 60_000
HEADER_BYTES = 2_000
# Proper requests that may be refused: 5 + one in 500 of all requests.
ALLOWED = 5


class Link:
    """The clients' link, which loses packets at times."""

    def __init__(self, seed):
        self.lossy = False
        self._rng = random.Random(seed)

    def pieces(self, size):
        """Returns what arrives together, and the pause after each piece.

        Packets behind a lost one arrive, but are passed on only when it has
        been sent again.
        """
        if not self.lossy:
            return []
        found, begin = [], 0
        for start in range(0, size, PACKET_BYTES):
            if self._rng.random() < LOSS_SHARE:
                found.append((start - begin, RETRANSMIT_S))
                begin = start
        return found


async def upload(lab, machine, link):
    """Sends uploads to a machine at a steady rate."""
    while True:
        asyncio.ensure_future(lab.send(
            machine, "PUT", "/scan/a", 2.0, b"s" * BODY_BYTES, "scan",
            [("X-Trace-Context", "t" * HEADER_BYTES)],
            link.pieces(BODY_BYTES + HEADER_BYTES),
        ))
        await asyncio.sleep(1 / UPLOADS_PER_S)


async def run(lab, trouble):
    machines = [
        lab.add(f"sidecar-aarhus-havn-{n}", "leverance") for n in range(3)
    ]
    await lab.start(standins.configuration(5, [
        standins.route("r-scan", "/scan/", "leverance", "non_idempotent",
                       timeout="1500ms"),
        standins.route("r-look", "/look/", "leverance", "idempotent"),
    ]))
    link = Link(seed=25)
    for machine in machines:
        lab.spawn(lab.load(machine, LOOKUPS_PER_S, "GET", "/look/a", "look"))
        lab.spawn(upload(lab, machine, link))
    await asyncio.sleep(CALM_S)
    for _ in range(TIMES):
        link.lossy = trouble
        lab.record.add("lossy_begins" if trouble else "calm")
        await asyncio.sleep(LOSSY_S)
        link.lossy = False
        lab.record.add("lossy_ends")
        await asyncio.sleep(PAUSE_S)
    statuses = [r.status for i, (_, _, r) in lab.replies.items()
                if i.startswith("scan-")]
    refused = [
        r.status for _, _, r in lab.replies.values()
        if r.status is not None and 300 <= r.status < 500
        and r.status not in (408, 421, 429)
    ]
    total = len(lab.replies)
    lab.record.add("judged", uploads=len(statuses), refused=len(refused),
                   served=statuses.count(200), requests=total)
    if len(refused) <= ALLOWED + total / 500:
        return []
    return [
        f"{len(refused)} of {len(statuses)} proper uploads were refused with"
        f" {sorted(set(refused))}, of {total} requests; allowed are"
        f" {ALLOWED + total / 500:.1f}"
    ]


standins.main(pathlib.Path(__file__).parent, run)
