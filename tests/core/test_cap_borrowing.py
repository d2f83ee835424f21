"""Borrowing of tokens by one daemon."""

import random

import pytest

from buckthorn_core import cap_borrowing
from buckthorn_core import cap_holders
from buckthorn_core import cap_shards
from buckthorn_core import ids

LENDING = cap_shards.terms(5.0, 0.1, 20)
NAME = ids.WorkspaceName("choir")
CAP = cap_shards.Cap(80.0, 40.0)
SITE, FAR = cap_borrowing.Distance.SITE, cap_borrowing.Distance.FAR
DISTANCES = {n: SITE if n < 4 else FAR for n in range(8)}


@pytest.fixture
def borrower():
    made = cap_borrowing.Borrower(LENDING, random.Random(1))
    made.set_caps({NAME: CAP})
    made.set_distances(DISTANCES)
    return made


def step(borrower, now_s):
    return borrower.step([NAME], now_s)


def answer(borrower, ask, tokens, now_s, next_s=0.0, sent_s=None):
    borrower.on_grant(
        ask,
        cap_holders.Grant(tokens, 1, next_s),
        now_s if sent_s is None else sent_s,
        now_s,
    )


def test_a_waiting_request_gets_the_token_of_a_near_holder(borrower):
    """Guards against bytes between regions for what is to be had nearby."""
    assert borrower.take(NAME, 1.0) is None
    ticket = borrower.wait(NAME, 1.0, 9.0)
    (ask,) = step(borrower, 1.0).asks
    assert DISTANCES[ask.shard] is SITE
    assert ask.want == 1
    assert step(borrower, 1.01).asks == []
    answer(borrower, ask, 1, 1.02, sent_s=1.0)
    ((admitted, token),) = step(borrower, 1.02).admitted
    assert admitted == ticket
    assert token.expires_s == pytest.approx(1.0 + LENDING.lease_s)


def test_a_token_can_not_be_spent_after_its_lease(borrower):
    """Guards against tokens that a window counts besides their successors.

    The lease counts from the question, since the grant came after it.
    """
    ask = cap_borrowing.Ask(0, NAME, 5)
    answer(borrower, ask, 5, 1.2, sent_s=1.0)
    token = borrower.take(NAME, 1.29)
    assert token is not None
    assert borrower.take(NAME, 1.31) is None
    assert not borrower.give_back(token, 1.31)
    answer(borrower, ask, 5, 2.4, sent_s=2.0)
    assert borrower.take(NAME, 2.4) is None


def test_a_token_that_comes_back_is_spent_by_the_next_request(borrower):
    """Guards against refused requests that use up the rate limit."""
    answer(borrower, cap_borrowing.Ask(0, NAME, 1), 1, 1.0)
    token = borrower.take(NAME, 1.0)
    assert borrower.give_back(token, 1.1)
    assert borrower.take(NAME, 1.1) == token


def test_far_holders_are_asked_when_near_ones_are_empty(borrower):
    """Guards against refusals while tokens lie in another region."""
    borrower.take(NAME, 1.0)
    borrower.wait(NAME, 1.0, 9.0)
    asked = []
    for _ in range(8):
        for ask in step(borrower, 1.0).asks:
            asked.append(ask.shard)
            answer(borrower, ask, 0, 1.0, next_s=5.0)
    assert len(asked) == len(set(asked)) == 8
    assert {DISTANCES[shard] for shard in asked[:4]} == {SITE}


def test_refused_requests_are_told_different_times(borrower):
    """Guards against callers that all come back for one token."""
    for _ in range(3):
        borrower.take(NAME, 1.0)
        borrower.wait(NAME, 1.0, 9.0)
    refused = []
    for _ in range(8):
        done = step(borrower, 1.0)
        refused += done.refused
        for ask in done.asks:
            answer(borrower, ask, 0, 1.0, next_s=0.5)
    times = [r.retry_after_s for r in refused]
    assert len(times) == len(set(times)) == 3
    assert min(times) == pytest.approx(0.5)


def test_no_request_waits_longer_than_its_bound(borrower):
    """Guards against callers that wait for holders which do not answer."""
    borrower.take(NAME, 1.0)
    ticket = borrower.wait(NAME, 1.0, 9.0)
    refused, now_s = [], 1.0
    while now_s < 1.0 + cap_borrowing.MAX_WAIT_S + 0.02:
        refused += step(borrower, now_s).refused
        now_s += 0.02
    assert [r.ticket for r in refused] == [ticket]


def test_without_holders_requests_are_refused_at_once(borrower):
    """Guards against late refusals while no shard is lent."""
    borrower.set_distances({})
    borrower.take(NAME, 1.0)
    borrower.wait(NAME, 1.0, 9.0)
    (refusal,) = step(borrower, 1.0).refused
    assert refusal.retry_after_s == cap_borrowing.NO_HOLDER_RETRY_S


def test_unspent_tokens_are_returned_before_they_expire(borrower):
    """Guards against tokens that lie with a daemon whose demand has ended."""
    answer(borrower, cap_borrowing.Ask(3, NAME, 5), 5, 1.0)
    assert step(borrower, 1.05).returns == []
    (unspent,) = step(borrower, 1.0 + LENDING.lease_s - 0.1).returns
    assert (unspent.shard, unspent.tokens) == (3, 5)
    assert borrower.take(NAME, 1.21) is None


def test_requests_that_wait_when_a_rate_limit_ends_are_released(borrower):
    """Guards against requests that wait for tokens nobody lends any more."""
    borrower.take(NAME, 1.0)
    ticket = borrower.wait(NAME, 1.0, 9.0)
    assert borrower.set_caps({}) == [ticket]
    assert not borrower.is_limited(NAME)
    assert step(borrower, 1.0).asks == []


@pytest.mark.parametrize(("next_s", "asked"), [(0.1, True), (0.3, False)])
def test_far_holders_in_demand_are_asked_less_often(borrower, next_s, asked):
    """Guards against bytes between regions for tokens that others get.

    A part of 10 tokens/s has its next token within 0.1 s for a lone borrower.
    """
    borrower.set_distances(dict.fromkeys(range(8), FAR))
    borrower.take(NAME, 1.0)
    borrower.wait(NAME, 1.0, 9.0)
    asks = step(borrower, 1.0).asks
    for ask in asks:
        answer(borrower, ask, 0, 1.0, next_s)
    step(borrower, 1.0)
    borrower.take(NAME, 1.35)
    borrower.wait(NAME, 1.35, 9.0)
    again = {ask.shard for ask in step(borrower, 1.35).asks}
    assert bool(again & {ask.shard for ask in asks}) is asked
