"""The feed tree of a region, and the timeouts of feeds."""

import collections
import itertools

import pytest

from buckthorn_core import feed_trees

CHILD = feed_trees.TreePosition("d-1", 1)
_read_numbers = itertools.count(1)


def new_state(name="d-0"):
    return feed_trees.FeedState(name)


def confirmation(age_s):
    """Returns a confirmation that no daemon has received before."""
    return feed_trees.LogConfirmation("d-root", next(_read_numbers), age_s)


def members(count, sites=4):
    return {
        f"d-{n}": feed_trees.Feeder(f"z-{n % sites}", 7.0) for n in range(count)
    }


def position_of(member, feeders):
    site = feeders[member].site if member in feeders else "z-0"
    return feed_trees.tree_position_of(member, site, feeders)


def parent_of(member, feeders):
    return position_of(member, feeders).parent


@pytest.mark.parametrize("count", [1, 2, 9, 80, 3_100])
def test_tree_has_one_root_bounded_fan_out_and_depth(count):
    """Guards against log calls that grow with the fleet, and cycles."""
    feeders = members(count)
    sample = list(feeders)[:: max(1, count // 200)]
    parents = {m: parent_of(m, feeders) for m in sample}
    child_counts = collections.Counter(p for p in parents.values() if p)
    assert max(child_counts.values(), default=0) <= feed_trees.FAN_OUT
    for member in sample[:20]:
        ancestor, hops = member, 0
        while ancestor is not None:
            ancestor = parent_of(ancestor, feeders)
            hops += 1
        assert hops <= 6
        assert hops == position_of(member, feeders).depth + 1


@pytest.mark.parametrize("sites", [1, 2, 4, 21])
@pytest.mark.parametrize("count", [12, 100, 1_000])
def test_record_enters_each_zone_about_once(sites, count):
    """Guards against records that cross zones once for each daemon.

    When 200 daemons start together, the registration of each goes to all
    others.
    """
    feeders = members(count, sites)
    crossing = 0
    for member, feeder in feeders.items():
        parent = parent_of(member, feeders)
        if parent is not None and feeders[parent].site != feeder.site:
            crossing += 1
    assert crossing <= sites - 1


def test_root_feeds_a_small_region_directly():
    """Guards against extra hops where versions must be in force in 2.5 s."""
    feeders = members(feed_trees.FAN_OUT + 1, 3)
    assert {position_of(m, feeders).depth for m in feeders} == {0, 1}


def test_region_has_exactly_one_root():
    """Guards against a region with no log reader, or with two."""
    feeders = members(40)
    parents = [parent_of(m, feeders) for m in feeders]
    assert parents.count(None) == 1


def test_unregistered_daemon_gets_a_position():
    """Guards against a start that fails before the registration is read."""
    feeders = members(5)
    assert parent_of("d-new", feeders) in feeders


def test_hosts_with_fast_links_feed_the_others():
    """Guards against a slow link that carries a region's configuration."""
    fast = feed_trees.Feeder("z-0", 140.0)
    feeders = {**members(60), "d-fast": fast}
    assert parent_of("d-fast", feeders) is None
    parents = [parent_of(m, feeders) for m in members(60)]
    assert parents.count("d-fast") == feed_trees.FAN_OUT


def test_silent_feed_becomes_stale():
    """Guards against a daemon that trusts a feed cut off from the log."""
    state = new_state()
    assert state.set_position(CHILD, 100.0)
    assert not state.is_stale(101.0)
    state.on_confirmation(confirmation(0.5), 101.0)
    assert not state.is_stale(101.0)
    assert state.is_stale(100.5 + feed_trees.STALE_AFTER_S + 0.1)
    # The stated age counts, not the time of arrival.
    state.on_confirmation(confirmation(3.0), 110.0)
    assert state.is_stale(110.0)


def test_children_of_the_root_time_out_before_deeper_daemons():
    """Guards against a whole region reading the log at once.

    It comes about when the root of a region is slow for 2 s.
    """
    near, deep = new_state(), new_state()
    near.set_position(CHILD, 100.0)
    deep.set_position(feed_trees.TreePosition("d-2", 2), 100.0)
    assert near.is_stale(101.7)
    assert not deep.is_stale(101.7)
    assert deep.is_stale(102.3)


def test_failed_feed_is_excluded_for_a_while():
    """Guards against choosing the daemon that has just failed."""
    state = new_state()
    state.set_position(CHILD, 100.0)
    state.on_feed_failed(100.0)
    assert state.parent is None
    assert state.excluded(101.0) == {"d-1"}
    assert state.excluded(100.0 + feed_trees.BACKOFF_S) == frozenset()


def test_exclusion_of_a_lost_host_backs_off():
    """Guards against a region that repeatedly waits for a lost host."""
    state = new_state()
    now_s, tries = 0.0, 0
    while now_s < 600.0:
        if "d-1" not in state.excluded(now_s):
            state.set_position(CHILD, now_s)
            state.on_feed_failed(now_s + feed_trees.STALE_AFTER_S)
            tries += 1
        now_s += 1.0
    assert tries <= 8
    state.set_position(CHILD, now_s)
    state.on_confirmation(confirmation(0.1), now_s)
    state.on_feed_failed(now_s)
    assert state.excluded(now_s + feed_trees.BACKOFF_S) == frozenset()


def test_root_is_never_stale():
    """Guards against a root that waits for a feed."""
    state = new_state()
    assert not state.set_position(feed_trees.ROOT, 100.0)
    assert not state.is_stale(1_000.0)


def test_log_is_read_when_no_feed_confirms_in_time():
    """Guards against a version that is missed while feeds are replaced."""
    state = new_state()
    state.set_position(CHILD, 100.0)
    state.on_confirmation(confirmation(0.0), 100.0)
    state.on_feed_failed(101.7)
    state.set_position(feed_trees.TreePosition("d-2", 1), 101.7)
    assert not state.needs_log_read(101.8)
    assert state.needs_log_read(102.0)
    state.on_log_read(102.1)
    assert not state.needs_log_read(102.2)
    # A read of the log doesn't show that the feed works.
    assert state.is_stale(103.4)


class Region:
    """Daemons of a region that feed each other, without sockets.

    Attributes:
        reads: Calls to the log by daemon.
        oldest_s: Greatest age of the latest confirmation at a live daemon.
    """

    TICK_S = 0.1
    LONG_READ_S = 0.8

    def __init__(self, count):
        self.feeders = members(count)
        self.states = {m: new_state(m) for m in self.feeders}
        self.dead = set()
        self.log_answers = lambda member: True
        self.reads = collections.Counter()
        self.oldest_s = 0.0
        self._read_s = dict.fromkeys(self.feeders, 0.0)
        self.now_s = 0.0
        for state in self.states.values():
            state.on_confirmation(confirmation(0.0), 0.0)

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += self.TICK_S
            for member, state in self.states.items():
                if member not in self.dead:
                    self._check(member, state)
            self._forward_confirmations()
            ages_s = [
                s.confirmation_age_s(self.now_s)
                for m, s in self.states.items()
                if m not in self.dead
            ]
            self.oldest_s = max(self.oldest_s, *ages_s)

    def _check(self, member, state):
        now_s = self.now_s
        if state.is_stale(now_s):
            state.on_feed_failed(now_s)
        state.step_down(member, now_s)
        excluded = state.excluded(now_s)
        position = feed_trees.tree_position_of(
            member,
            self.feeders[member].site,
            {m: x for m, x in self.feeders.items() if m not in excluded},
        )
        state.set_position(position, now_s)
        is_due = now_s - self._read_s[member] > self.LONG_READ_S - 0.01
        if state.parent is None and is_due or state.needs_log_read(now_s):
            self.reads[member] += 1
            self._read_s[member] = now_s
            if self.log_answers(member):
                state.on_log_read(now_s)

    def _forward_confirmations(self):
        for _ in range(3):
            for state in self.states.values():
                parent = state.parent
                if parent is not None and parent not in self.dead:
                    age_s = self.states[parent].confirmation_age_s(self.now_s)
                    if age_s < feed_trees.STALE_AFTER_S:
                        state.on_confirmation(
                            self.states[parent].confirmation(self.now_s),
                            self.now_s,
                        )


def root_of(region):
    return next(
        m for m in region.feeders if parent_of(m, region.feeders) is None
    )


def test_loss_of_the_root_does_not_make_all_daemons_read_the_log():
    """Guards against a region that fills its link with reads of the log.

    If the root of a region of 43 daemons dies while versions are published,
    and all daemons then read the log, each version crosses the link between
    regions 43 times.
    """
    region = Region(43)
    region.run(5.0)
    region.dead = {root_of(region)}
    region.reads.clear()
    region.oldest_s = 0.0
    region.run(12.0)
    assert region.oldest_s < 2.5
    assert len(region.reads) <= 1 + feed_trees.FAN_OUT


def test_root_that_the_log_does_not_answer_is_replaced():
    """Guards against a region, or that daemon, that misses new records."""
    region = Region(43)
    region.run(5.0)
    old_root = root_of(region)
    region.log_answers = lambda member: member != old_root
    region.reads.clear()
    region.oldest_s = 0.0
    region.run(12.0)
    others = {m: n for m, n in region.reads.items() if m != old_root}
    assert len(others) <= 1 + feed_trees.FAN_OUT
    assert region.oldest_s < 2.5


def test_log_calls_do_not_grow_with_the_region():
    """Guards against a load on the log that grows with the fleet."""
    for count in (6, 43, 300):
        region = Region(count)
        region.run(8.0)
        assert sum(region.reads.values()) <= 1 + 8.0 / Region.LONG_READ_S


SYNCED = feed_trees.SyncState(True, True, True, 0.0)
ALWAYS, ONCE, NONE = (
    feed_trees.ReadMode.ALWAYS,
    feed_trees.ReadMode.ONCE,
    feed_trees.ReadMode.NONE,
)


def test_only_the_root_follows_the_log():
    """Guards against calls to the log that grow with the fleet."""
    state = new_state()
    state.on_log_read(100.0)
    assert state.read_modes(100.1, SYNCED) == (ALWAYS, ALWAYS)
    state.set_position(CHILD, 100.1)
    assert state.read_modes(100.2, SYNCED) == (NONE, NONE)


def test_daemons_that_feed_each_other_read_the_members():
    """Guards against members that stay unknown.

    Two daemons that start together may each choose the other as the root. The
    confirmations of reads by one of them keep the feed of the other fresh.
    """
    states = [new_state(), new_state()]
    for state in states:
        state.set_position(CHILD, 100.0)
        state.on_log_read(100.0)
    now_s, readings = 100.0, []
    while now_s < 106.0:
        now_s += 0.2
        for state, other in (states, states[::-1]):
            members, configurations = state.read_modes(now_s, SYNCED)
            readings.append(members)
            if configurations is ONCE:
                state.on_log_read(now_s)
            other.on_confirmation(state.confirmation(now_s), now_s)
    assert ONCE in readings


def test_confirmation_in_a_cycle_expires():
    """Guards against a cycle of feeds that keeps a confirmation fresh.

    After an outage of the log, daemons that have found different ones dead
    may feed each other. Each forwards confirmations at once, and the transit
    takes 2 ms.
    """
    states = [new_state("d-1"), new_state("d-2")]
    for state in states:
        state.set_position(feed_trees.TreePosition("another", 1), 100.0)
    states[0].on_log_read(100.0)
    now_s, forwarded = 100.0, 0
    sender, receiver = states
    while now_s < 102.5:
        now_s += 0.002
        if receiver.on_confirmation(sender.confirmation(now_s - 0.002), now_s):
            forwarded += 1
            sender, receiver = receiver, sender
    assert forwarded == 1
    assert all(state.needs_log_read(now_s) for state in states)
    assert all(state.is_stale(now_s) for state in states)


def test_number_of_remembered_readers_is_bounded():
    """Guards against memory that grows with each restart of a reader."""
    state = new_state()
    for n in range(1_000):
        assert state.on_confirmation(
            feed_trees.LogConfirmation(f"d-1/{n}", 1, 0.1), 100.0
        )
    assert not state.on_confirmation(
        feed_trees.LogConfirmation("d-1/999", 1, 0.1), 100.0
    )
    assert len(state._read_numbers) <= feed_trees.MAX_READERS


def test_daemon_without_a_feed_reads_the_configuration_itself():
    """Guards against a start that waits for a feed forever."""
    state = new_state()
    sync = feed_trees.SyncState(True, False, False, 100.0)
    assert state.read_modes(100.5, sync) == (ALWAYS, NONE)
    assert state.read_modes(102.1, sync) == (ALWAYS, ONCE)
    # After a restart of all daemons, the root is among the known members.
    registered = feed_trees.SyncState(True, False, True, 100.0)
    assert state.read_modes(100.5, registered) == (ALWAYS, ALWAYS)


def test_daemon_waits_for_the_first_confirmation_of_its_feed():
    """Guards against every starting daemon reading the configuration.

    A configuration of 350 KB arrives from the feed in several pieces, and the
    first confirmation after them.
    """
    state = new_state()
    state.set_position(CHILD, 100.2)
    sync = feed_trees.SyncState(True, True, True, 100.0)
    assert state.read_modes(100.4, sync) == (NONE, NONE)
    assert state.read_modes(102.1, sync) == (ONCE, ONCE)
    state.on_confirmation(confirmation(0.1), 102.2)
    assert state.read_modes(102.3, sync) == (NONE, NONE)
    # A record is known to be missing, despite the confirmation.
    state.invalidate()
    assert state.read_modes(102.4, sync) == (ONCE, ONCE)


@pytest.mark.parametrize("converge_s", [2.5, 3.0, 4.0, 6.0])
@pytest.mark.parametrize("depth", [1, 2])
def test_feed_times_out_in_time_for_a_version(converge_s, depth):
    """Guards against a stale feed that delays a version beyond its limit.

    Also against giving up feeds on slow links while there is time left.
    """
    state = feed_trees.FeedState("d-0", converge_s)
    state.set_position(feed_trees.TreePosition("d-1", depth), 100.0)
    state.on_confirmation(confirmation(0.0), 100.0)
    read_s = 100.0 + converge_s - feed_trees.TAKEOVER_DELAY_S
    assert state.is_stale(read_s + 0.01)
    assert not state.is_stale(100.0 + feed_trees.STALE_AFTER_S - 0.01)
    if converge_s >= 4.0:
        assert not state.is_stale(100.0 + 0.6 * converge_s)
