"""Tests of the order and pace of long bodies, without a network."""

import collections
import heapq

import pytest

from buckthorn_core import link_schedules
from buckthorn_core import response_sizes
from buckthorn_core import transfer_costs

LINK_MBPS = 8.5
BANDWIDTH = LINK_MBPS * link_schedules.BYTES_PER_MBIT
TRIP_S = 0.002


def drain(schedule, now_s, count=10_000):
    """Returns the pieces that may be sent at a time."""
    found = []
    while len(found) < count:
        piece = schedule.next_piece(now_s)
        if piece is None:
            return found
        found.append(piece)
    return found


def test_bodies_take_turns():
    """Guards against a body that waits until a longer one is sent."""
    schedule = link_schedules.LinkSchedule(1_000.0)
    path = link_schedules.Path()
    bodies = [schedule.add(path, 200_000, 0.0) for _ in range(3)]
    order = [bodies.index(p.body) for p in drain(schedule, 0.0, 9)]
    assert order == [0, 1, 2] * 3


def test_pieces_cover_each_body_once():
    """Guards against pieces that are lost, doubled or out of order."""
    schedule = link_schedules.LinkSchedule(LINK_MBPS)
    path = link_schedules.Path()
    sizes = [17_000, 90_000, 540_000]
    bodies = [schedule.add(path, size, 0.0) for size in sizes]
    sent = collections.Counter()
    now_s = 0.0
    while schedule.queued_bytes:
        for piece in drain(schedule, now_s):
            assert piece.start == sent[piece.body]
            sent[piece.body] += piece.size
            assert piece.is_last is (sent[piece.body] == piece.body.size)
        schedule.on_received(path, 100, now_s)
        now_s += 0.005
    assert [sent[body] for body in bodies] == sizes
    assert schedule.wait_s(now_s) is None


def test_pieces_stay_below_the_bandwidth():
    """Guards against queues on the link: 540 KB take 0.5 s at 8.5 Mbit/s."""
    schedule = link_schedules.LinkSchedule(LINK_MBPS)
    path = link_schedules.Path()
    schedule.add(path, 5_000_000, 0.0)
    sent = 0
    for step in range(1_000):
        now_s = step * 0.002
        sent += sum(p.size for p in drain(schedule, now_s))
        schedule.on_received(path, 100, now_s + TRIP_S)
        limit = BANDWIDTH * (link_schedules.LINK_SHARE * now_s + 0.05)
        assert sent <= limit
    assert sent > 0.9 * link_schedules.LINK_SHARE * BANDWIDTH * 2.0


def test_other_frames_take_their_part_but_not_all():
    """Guards against long bodies that never end beside many small frames."""
    schedule = link_schedules.LinkSchedule(LINK_MBPS)
    path = link_schedules.Path()
    schedule.add(path, 5_000_000, 0.0)
    drain(schedule, 0.0)
    sent = 0
    for step in range(1, 501):
        schedule.other_bytes += int(2 * BANDWIDTH * 0.002)
        sent += sum(p.size for p in drain(schedule, step * 0.002))
        schedule.on_received(path, 100, step * 0.002)
    share = sent / (BANDWIDTH * link_schedules.LINK_SHARE)
    assert 0.05 < share < 0.2


def test_unacknowledged_bytes_are_limited_by_connection():
    """Guards against a slow receiver that fills the buffers on the way."""
    schedule = link_schedules.LinkSchedule(LINK_MBPS)
    slow, other = link_schedules.Path(), link_schedules.Path()
    schedule.add(slow, 5_000_000, 0.0)
    waiting = schedule.add(other, 100_000, 0.0)
    for step in range(1_000):
        drain(schedule, step * 0.002)
        schedule.on_received(other, 100, step * 0.002)
    assert slow.in_flight < 0.2 * BANDWIDTH
    assert waiting.sent == waiting.size
    assert schedule.wait_s(2.0) is None
    slow.is_blocked = True
    schedule.on_received(slow, 100, 2.0)
    assert not drain(schedule, 2.0)
    slow.is_blocked = False
    assert drain(schedule, 2.0)


def test_removed_bodies_are_not_sent():
    """Guards against pieces of a cancelled attempt."""
    schedule = link_schedules.LinkSchedule(LINK_MBPS)
    path = link_schedules.Path()
    body = schedule.add(path, 100_000, 0.0)
    assert schedule.drain_s > 0
    drain(schedule, 0.0, 1)
    schedule.remove(body)
    schedule.remove(body)
    assert schedule.queued_bytes == 0
    assert schedule.drain_s == 0
    assert not drain(schedule, 1.0)


def feed_delays(pace, delay_s, seconds, start_s=0.0):
    for step in range(int(seconds / 0.02)):
        pace.on_delay(delay_s, start_s + step * 0.02)


def test_rate_follows_the_growth_of_round_trips():
    """Guards against a queue on a link that others fill, too."""
    pace = link_schedules.LinkSchedule(LINK_MBPS).region
    first = pace.rate
    feed_delays(pace, 0.2, 1.0)
    assert pace.rate < 0.3 * first
    feed_delays(pace, 0.2, 60.0, 1.0)
    assert pace.rate == link_schedules.REGION_MIN_RATE
    lowest = pace.rate
    feed_delays(pace, 0.0, 1.0, 61.0)
    assert (
        lowest < pace.rate < lowest + 1.3 * (link_schedules.REGION_RAISE_PER_S)
    )
    feed_delays(pace, 0.0, 60.0, 62.0)
    assert pace.rate == pytest.approx(link_schedules.LINK_SHARE * BANDWIDTH)


def test_one_slow_receiver_does_not_slow_the_others():
    """Guards against one congested host that lowers the rate for all."""
    schedule = link_schedules.LinkSchedule(LINK_MBPS)
    rate = schedule.link.rate
    slow, quick = link_schedules.Path(), link_schedules.Path()
    for step in range(100):
        now_s = step * 0.05
        slow.add(1_000, now_s)
        quick.add(1_000, now_s)
        schedule.on_received(quick, 1, now_s + TRIP_S)
        schedule.on_received(slow, 1, now_s + (0.3 if step else TRIP_S))
    assert schedule.link.rate == rate


def test_a_region_has_a_rate_of_its_own():
    """Guards against a full link between regions that slows the region."""
    schedule = link_schedules.LinkSchedule(100.0)
    rate = schedule.link.rate
    remote = link_schedules.Path()
    remote.crosses_region = True
    schedule.add(remote, 10_000_000, 0.0)
    sent = 0
    for step in range(2_000):
        now_s = step * 0.01
        pieces = drain(schedule, now_s)
        sent += sum(p.size for p in pieces)
        trip_s = 0.04 if step < 100 else 0.3
        schedule.on_received(remote, len(pieces), now_s + trip_s)
    assert schedule.region.rate == link_schedules.REGION_MIN_RATE
    assert schedule.link.rate == rate
    assert sent < 0.2 * rate * 20.0


Job = collections.namedtuple("Job", "at_s size is_long")


def jobs(seconds):
    """10 downloads of 90 KB and 60 small responses of 1.5 KB a second.

    Downloads come in pairs, as they do when callers come at random.
    """
    found = []
    for n in range(int(seconds * 5)):
        found.extend(2 * [Job(n / 5 + 0.003, 90_000, True)])
    for n in range(int(seconds * 60)):
        found.append(Job(n / 60, 1_500, False))
    return sorted(found)


class Wire:
    """A link of limited bandwidth that queues what it can't send yet."""

    def __init__(self):
        self.free_s = 0.0

    def send(self, size, now_s):
        """Returns when the last byte has left."""
        self.free_s = max(self.free_s, now_s) + size / BANDWIDTH
        return self.free_s


def replay_whole(work):
    """Returns the waits of small responses if bodies are sent whole."""
    wire = Wire()
    return [
        wire.send(job.size, job.at_s) - job.at_s
        for job in work
        if not job.is_long or wire.send(job.size, job.at_s) < 0
    ]


def replay_pieces(work):
    """Returns waits of small responses and of downloads with a schedule."""
    wire = Wire()
    schedule = link_schedules.LinkSchedule(LINK_MBPS)
    path = link_schedules.Path()
    events = [(job.at_s, n, job) for n, job in enumerate(work)]
    heapq.heapify(events)
    number = len(events)
    small, long = [], []
    while events:
        now_s, _, event = heapq.heappop(events)
        if isinstance(event, Job):
            if event.is_long:
                schedule.add(path, event.size, now_s)
            else:
                schedule.other_bytes += event.size
                small.append(wire.send(event.size, now_s) - now_s)
        elif event == "received":
            schedule.on_received(path, 1, now_s)
        for piece in drain(schedule, now_s):
            done_s = wire.send(piece.size, now_s)
            number += 1
            heapq.heappush(events, (done_s + TRIP_S, number, "received"))
            if piece.is_last:
                long.append(done_s - piece.body.added_s)
        wait_s = schedule.wait_s(now_s)
        if wait_s is not None:
            number += 1
            heapq.heappush(events, (now_s + max(wait_s, 0.0005), number, "due"))
    return small, long


def test_small_responses_pass_downloads():
    """Guards against small responses that wait for downloads.

    10 downloads of 90 KB a second on a link of 8.5 Mbit/s, which they fill to
    0.85, beside 60 responses of 1.5 KB a second.
    """
    work = jobs(10.0)
    before = sorted(replay_whole(work))
    small, long = replay_pieces(work)
    small.sort()
    assert len(small) == len(before) == 600
    assert before[300] > 0.05
    assert before[-1] > 0.15
    assert small[300] < 0.02
    assert small[-1] < 0.05
    assert len(long) == 100
    assert max(long) < 0.5


def test_transfers_cost_time_and_crossings_by_size():
    """Guards against downloads that cross a zone at the cost of a lookup."""
    small = transfer_costs.estimate(1_500, 0.5, LINK_MBPS, 0.08)
    assert small.crossing == pytest.approx(0.08)
    assert small.transfer_s < 0.002
    long = transfer_costs.estimate(90_000, 0.5, LINK_MBPS, 0.08)
    assert long.crossing == pytest.approx(60 * 0.08)
    assert long.transfer_s == pytest.approx(0.5 + 0.089, abs=0.01)
    remote = transfer_costs.estimate(90_000, 0.0, LINK_MBPS, 0.32, 45_000.0)
    assert remote.transfer_s == pytest.approx(2.0)
    assert transfer_costs.estimate(90_000, 0.0, 0.0, 0.0).transfer_s == 0


def test_mean_response_size_by_route():
    """Guards against a route that counts with the sizes of another one."""
    sizes = response_sizes.ResponseSizes()
    assert sizes.mean_bytes("a") == response_sizes.DEFAULT_BYTES
    sizes.add("a", 90_000)
    sizes.add("b", 100)
    for _ in range(200):
        sizes.add("a", 10_000)
    assert sizes.mean_bytes("a") == pytest.approx(10_000, rel=0.01)
    assert sizes.mean_bytes("b") == 100
    sizes.keep_only({"b"})
    assert sizes.mean_bytes("a") == response_sizes.DEFAULT_BYTES
