"""Who feeds whom, and when a feed is no longer trusted."""

import collections
import itertools

import pytest

from buckthorn_core import feed_trees

CHILD = feed_trees.TreePosition("d-1", 1)
_numbers = itertools.count(1)


def new_state(name="d-0"):
    return feed_trees.FeedState(name)


def word(age_s):
    """Returns a word of the log that has not been heard before."""
    return feed_trees.LogConfirmation("d-first", next(_numbers), age_s)


def members(count, sites=4):
    return {
        f"d-{n}": feed_trees.Feeder(f"z-{n % sites}", 7.0) for n in range(count)
    }


def position_of(member, everyone):
    site = everyone[member].site if member in everyone else "z-0"
    return feed_trees.tree_position_of(member, site, everyone)


def parent_of(member, everyone):
    return position_of(member, everyone).parent


@pytest.mark.parametrize("count", [1, 2, 9, 80, 3_100])
def test_all_but_one_are_fed_and_nobody_feeds_many(count):
    """Guards against calls to the log that grow with the fleet, or a cycle."""
    everyone = members(count)
    sample = list(everyone)[:: max(1, count // 200)]
    parents = {m: parent_of(m, everyone) for m in sample}
    fed_by = collections.Counter(p for p in parents.values() if p)
    assert max(fed_by.values(), default=0) <= feed_trees.FAN_OUT
    for member in sample[:20]:
        above, hops = member, 0
        while above is not None:
            above = parent_of(above, everyone)
            hops += 1
        assert hops <= 6
        assert hops == position_of(member, everyone).depth + 1


@pytest.mark.parametrize("sites", [1, 2, 4, 21])
@pytest.mark.parametrize("count", [12, 100, 1_000])
def test_a_record_crosses_to_each_zone_about_once(sites, count):
    """Guards against records that cross zones once for each daemon.

    The pattern: 200 daemons start together, and each one's record goes to all
    the others.
    """
    everyone = members(count, sites)
    crossing = 0
    for member, feeder in everyone.items():
        above = parent_of(member, everyone)
        if above is not None and everyone[above].site != feeder.site:
            crossing += 1
    assert crossing <= sites - 1


def test_a_small_region_is_fed_by_its_first_daemon():
    """Guards against a longer way where versions have 2.5 s."""
    everyone = members(feed_trees.FAN_OUT + 1, 3)
    assert {position_of(m, everyone).depth for m in everyone} == {0, 1}


def test_exactly_one_reads_the_log():
    """Guards against a region that nobody feeds, or two that read."""
    everyone = members(40)
    parents = [parent_of(m, everyone) for m in everyone]
    assert parents.count(None) == 1


def test_a_daemon_that_is_not_listed_yet_finds_its_place():
    """Guards against a start that fails before the own record is seen."""
    everyone = members(5)
    assert parent_of("d-new", everyone) in everyone


def test_hosts_with_wide_links_feed_the_others():
    """Guards against a thin link that carries a region's configuration."""
    wide = feed_trees.Feeder("z-0", 140.0)
    everyone = {**members(60), "d-wide": wide}
    assert parent_of("d-wide", everyone) is None
    fed = [parent_of(m, everyone) for m in members(60)]
    assert fed.count("d-wide") == feed_trees.FAN_OUT


def test_a_silent_feed_becomes_stale():
    """Guards against a daemon that trusts a feed cut off from the log."""
    state = new_state()
    assert state.set_position(CHILD, 100.0)
    assert not state.is_stale(101.0)
    state.on_confirmation(word(0.5), 101.0)
    assert not state.is_stale(101.0)
    assert state.is_stale(100.5 + feed_trees.STALE_AFTER_S + 0.1)
    # The age that a feed states counts, not when its word arrived.
    state.on_confirmation(word(3.0), 110.0)
    assert state.is_stale(110.0)


def test_those_next_to_the_first_read_the_log_before_the_others():
    """Guards against a region that reads the log all at once.

    The pattern: the first daemon of a region is slow for 2 s.
    """
    near, far = new_state(), new_state()
    near.set_position(CHILD, 100.0)
    far.set_position(feed_trees.TreePosition("d-2", 2), 100.0)
    assert near.is_stale(101.7)
    assert not far.is_stale(101.7)
    assert far.is_stale(102.3)


def test_a_failed_feed_rests():
    """Guards against a return to the daemon that has just failed."""
    state = new_state()
    state.set_position(CHILD, 100.0)
    state.on_feed_failed(100.0)
    assert state.parent is None
    assert state.excluded(101.0) == {"d-1"}
    assert state.excluded(100.0 + feed_trees.BACKOFF_S) == frozenset()


def test_a_host_that_is_gone_is_tried_ever_more_rarely():
    """Guards against a region that waits for a lost host again and again."""
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
    state.on_confirmation(word(0.1), now_s)
    state.on_feed_failed(now_s)
    assert state.excluded(now_s + feed_trees.BACKOFF_S) == frozenset()


def test_the_reader_of_the_log_is_never_stale():
    """Guards against a first daemon that waits for a feed."""
    state = new_state()
    assert not state.set_position(feed_trees.ROOT, 100.0)
    assert not state.is_stale(1_000.0)


def test_a_daemon_reads_the_log_when_no_feed_has_its_word():
    """Guards against a version that is missed while feeds are replaced."""
    state = new_state()
    state.set_position(CHILD, 100.0)
    state.on_confirmation(word(0.0), 100.0)
    state.on_feed_failed(101.7)
    state.set_position(feed_trees.TreePosition("d-2", 1), 101.7)
    assert not state.needs_log_read(101.8)
    assert state.needs_log_read(102.0)
    state.on_log_read(102.1)
    assert not state.needs_log_read(102.2)
    # The log's word read here says nothing of the feed.
    assert state.is_stale(103.4)


class Region:
    """Daemons of a region that feed each other, without sockets.

    Attributes:
        reads: Calls to the log by daemon.
        oldest_s: The greatest age of the log's word at a living daemon.
    """

    TICK_S = 0.1
    LONG_READ_S = 0.8

    def __init__(self, count):
        self.everyone = members(count)
        self.states = {m: new_state(m) for m in self.everyone}
        self.dead = set()
        self.log_answers = lambda member: True
        self.reads = collections.Counter()
        self.oldest_s = 0.0
        self._read_s = dict.fromkeys(self.everyone, 0.0)
        self.now_s = 0.0
        for state in self.states.values():
            state.on_confirmation(word(0.0), 0.0)

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += self.TICK_S
            for member, state in self.states.items():
                if member not in self.dead:
                    self._check(member, state)
            self._feed()
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
        resting = state.excluded(now_s)
        place = feed_trees.tree_position_of(
            member,
            self.everyone[member].site,
            {m: x for m, x in self.everyone.items() if m not in resting},
        )
        state.set_position(place, now_s)
        is_due = now_s - self._read_s[member] > self.LONG_READ_S - 0.01
        if state.parent is None and is_due or state.needs_log_read(now_s):
            self.reads[member] += 1
            self._read_s[member] = now_s
            if self.log_answers(member):
                state.on_log_read(now_s)

    def _feed(self):
        for _ in range(3):
            for state in self.states.values():
                above = state.parent
                if above is not None and above not in self.dead:
                    age_s = self.states[above].confirmation_age_s(self.now_s)
                    if age_s < feed_trees.STALE_AFTER_S:
                        state.on_confirmation(
                            self.states[above].confirmation(self.now_s),
                            self.now_s,
                        )


def first_of(region):
    return next(
        m for m in region.everyone if parent_of(m, region.everyone) is None
    )


def test_a_region_that_loses_its_first_daemon_does_not_read_all_at_once():
    """Guards against a region that fills its link with reads of the log.

    The pattern: the daemon that reads the log for 43 others dies while
    versions follow each other; had all read each version, it would have
    crossed the link between regions 43 times.
    """
    region = Region(43)
    region.run(5.0)
    region.dead = {first_of(region)}
    region.reads.clear()
    region.oldest_s = 0.0
    region.run(12.0)
    assert region.oldest_s < 2.5
    assert len(region.reads) <= 1 + feed_trees.FAN_OUT


def test_a_first_daemon_that_the_log_turns_away_is_replaced():
    """Guards against a region, or that daemon, without news meanwhile."""
    region = Region(43)
    region.run(5.0)
    away = first_of(region)
    region.log_answers = lambda member: member != away
    region.reads.clear()
    region.oldest_s = 0.0
    region.run(12.0)
    others = {m: n for m, n in region.reads.items() if m != away}
    assert len(others) <= 1 + feed_trees.FAN_OUT
    assert region.oldest_s < 2.5


def test_calls_to_the_log_do_not_grow_with_a_region():
    """Guards against a price that grows with the fleet."""
    for count in (6, 43, 300):
        region = Region(count)
        region.run(8.0)
        assert sum(region.reads.values()) <= 1 + 8.0 / Region.LONG_READ_S


KNOWN = feed_trees.SyncState(True, True, True, 0.0)
ALWAYS, ONCE, NONE = (
    feed_trees.ReadMode.ALWAYS,
    feed_trees.ReadMode.ONCE,
    feed_trees.ReadMode.NONE,
)


def test_only_the_first_of_a_region_follows_the_log():
    """Guards against calls to the log that grow with the fleet."""
    state = new_state()
    state.on_log_read(100.0)
    assert state.read_modes(100.1, KNOWN) == (ALWAYS, ALWAYS)
    state.set_position(CHILD, 100.1)
    assert state.read_modes(100.2, KNOWN) == (NONE, NONE)


def test_two_daemons_that_feed_each_other_read_the_members():
    """Guards against members that stay unknown.

    The pattern: two daemons start together and each takes the other for the
    first. Words that one of them has read keep the feed of the other fresh.
    """
    states = [new_state(), new_state()]
    for state in states:
        state.set_position(CHILD, 100.0)
        state.on_log_read(100.0)
    now_s, readings = 100.0, []
    while now_s < 106.0:
        now_s += 0.2
        for state, other in (states, states[::-1]):
            members, configurations = state.read_modes(now_s, KNOWN)
            readings.append(members)
            if configurations is ONCE:
                state.on_log_read(now_s)
            other.on_confirmation(state.confirmation(now_s), now_s)
    assert ONCE in readings


def test_a_word_that_goes_round_in_a_circle_grows_old():
    """Guards against a region that takes its own word for the log's.

    The pattern: the log is back after an outage in which the daemons of a
    region have found different ones dead, and two of them feed each other.
    Each passes on at once what it hears, and the way takes 2 ms.
    """
    states = [new_state("d-1"), new_state("d-2")]
    for state in states:
        state.set_position(feed_trees.TreePosition("another", 1), 100.0)
    states[0].on_log_read(100.0)
    now_s, passed_on = 100.0, 0
    sender, receiver = states
    while now_s < 102.5:
        now_s += 0.002
        if receiver.on_confirmation(sender.confirmation(now_s - 0.002), now_s):
            passed_on += 1
            sender, receiver = receiver, sender
    assert passed_on == 1
    assert all(state.needs_log_read(now_s) for state in states)
    assert all(state.is_stale(now_s) for state in states)


def test_the_words_of_many_readers_are_not_kept_for_ever():
    """Guards against memory that grows with each restart of a reader."""
    state = new_state()
    for n in range(1_000):
        assert state.on_confirmation(
            feed_trees.LogConfirmation(f"d-1/{n}", 1, 0.1), 100.0
        )
    assert not state.on_confirmation(
        feed_trees.LogConfirmation("d-1/999", 1, 0.1), 100.0
    )
    assert len(state._numbers) <= feed_trees.MAX_READERS


def test_a_daemon_that_nobody_feeds_reads_the_configuration_itself():
    """Guards against a start that waits for a feed for ever."""
    state = new_state()
    known = feed_trees.SyncState(True, False, False, 100.0)
    assert state.read_modes(100.5, known) == (ALWAYS, NONE)
    assert state.read_modes(102.1, known) == (ALWAYS, ONCE)
    # After a restart of all, the members are known and the first is listed.
    listed = feed_trees.SyncState(True, False, True, 100.0)
    assert state.read_modes(100.5, listed) == (ALWAYS, ALWAYS)


def test_a_daemon_that_was_just_fed_waits_for_the_first_word():
    """Guards against all that start reading the whole configuration.

    The pattern: hosts restart in turn while the configuration has 350 KB. The
    feed's records come in several pieces, its first word behind them.
    """
    state = new_state()
    state.set_position(CHILD, 100.2)
    known = feed_trees.SyncState(True, True, True, 100.0)
    assert state.read_modes(100.4, known) == (NONE, NONE)
    assert state.read_modes(102.1, known) == (ONCE, ONCE)
    state.on_confirmation(word(0.1), 102.2)
    assert state.read_modes(102.3, known) == (NONE, NONE)
    # Something is missing here, whatever has been heard before.
    state.invalidate()
    assert state.read_modes(102.4, known) == (ONCE, ONCE)


@pytest.mark.parametrize("converge_s", [2.5, 3.0, 4.0, 6.0])
@pytest.mark.parametrize("depth", [1, 2])
def test_feeds_are_given_up_in_time_for_a_version(converge_s, depth):
    """Guards against a stale feed that is trusted longer than versions have.

    Also against feeds given up on slow links while there is time.
    """
    state = feed_trees.FeedState("d-0", converge_s)
    state.set_position(feed_trees.TreePosition("d-1", depth), 100.0)
    state.on_confirmation(word(0.0), 100.0)
    read_s = 100.0 + converge_s - feed_trees.TAKEOVER_DELAY_S
    assert state.is_stale(read_s + 0.01)
    assert not state.is_stale(100.0 + feed_trees.STALE_AFTER_S - 0.01)
    if converge_s >= 4.0:
        assert not state.is_stale(100.0 + 0.6 * converge_s)
