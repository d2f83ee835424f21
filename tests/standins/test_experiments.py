"""Parts of the experiments that turn raw data into figures."""

import http.server
import threading

import pytest

from buckthorn_standins import arrivals
from buckthorn_standins import fleet
from buckthorn_standins import footprint
from buckthorn_standins import herd
from buckthorn_standins import leaving
from buckthorn_standins import member_costs
from buckthorn_standins import overload
from buckthorn_standins import trials


@pytest.mark.parametrize("daemons", [2, 12, 48, 120, 121])
def test_resized_fleet_has_the_wanted_number_of_daemons(daemons):
    """Guards against slopes over sizes that were not run."""
    found = trials.resize(fleet.DEPLOYMENTS["kulhus"], daemons)
    assert sum(found.services.values()) == daemons
    assert min(found.services.values()) >= 1


def test_only_begins_after_the_start_count_as_late_work():
    """Guards against work of other upstreams or from before the start."""
    records = [
        {"event": "begin", "upstream": "a", "time_ms": 999},
        {"event": "begin", "upstream": "a", "time_ms": 1_200},
        {"event": "end", "upstream": "a", "time_ms": 1_400},
        {"event": "begin", "upstream": "b", "time_ms": 1_500},
    ]
    assert leaving.last_begin(records, {"a"}, 1_000) == (200.0, 1)
    assert leaving.last_begin(records, {"a"}, 1_300) == (0.0, 0)


def test_counters_are_summed_over_labels():
    """Guards against attempts that miss a label or take in another name."""
    text = (
        'x_total{a="1",b="y"} 2.0\n# HELP x_total x\nx_total 1.0\n'
        'x_totally_total{a="1"} 9.0\nx_created{a="1"} 7.0\n'
    )
    assert overload.parse_counter(text, "x") == 3


def test_peak_is_taken_over_a_sliding_second_after_the_start():
    """Guards against a peak that straddles two seconds and is halved."""
    counts = {90: 50, 105: 4, 109: 4, 113: 4, 130: 7}
    assert herd.peak_per_second(counts, 100) == 12
    assert herd.peak_per_second({}, 0) == 0


def test_process_figures_are_read_from_proc():
    """Guards against a shifted field when a name holds spaces."""
    stat = "7 (a b) c) S 1 1 1 0 -1 4194304 1 0 0 0 250 50 0 0 20 0 9 0 1 1"
    assert footprint.parse_cpu_ticks(stat) == 300
    text = "0-1 ---p 00 00:00 0 [rollup]\nRss:  2048 kB\nPss:  1024 kB\n"
    assert footprint.parse_rollup(text) == {"Rss": 2.0, "Pss": 1.0}


def test_member_costs_of_a_seed_are_those_of_the_same_region():
    """Guards against byte counts that can't be repeated."""
    first, second = (member_costs._Region(50, 3) for _ in range(2))
    assert first.members == second.members
    assert first.gossip_bytes(0.5) == second.gossip_bytes(0.5)


class _Refuser(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.send_response_only(100)
        self.end_headers()
        status = 503 if self.path == "/no" else 200
        self.send_response_only(status)
        if status == 503:
            self.send_header("Buckthorn-Not-Run", "slots_full")
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")


def test_open_loop_sees_answers_refusals_and_failures():
    """Guards against refusals, interim answers or errors taken as answers."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Refuser)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    address = f"127.0.0.1:{server.server_port}"
    streams = [
        arrivals.Stream([address], "/yes", 100.0),
        arrivals.Stream([address], "/no", 100.0),
        arrivals.Stream(["127.0.0.1:1"], "/yes", 100.0),
    ]
    load = arrivals.Load(streams, 0.3, "1")
    load.start()
    load.wait()
    server.shutdown()
    kinds = [
        {(a.status, a.not_run, bool(a.error)) for a in answers}
        for answers in load.answers
    ]
    assert kinds == [
        {(200, "", False)},
        {(503, "slots_full", False)},
        {(0, "", True)},
    ]
