"""Distributes the log's records from daemon to daemon within a region."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import hashlib
import math
import random

import loguru

from buckthorn_adapters import compressors
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import feed_trees
from buckthorn_core import ids
from buckthorn_core import topic_tables
from buckthorn_sidecar import frames
from buckthorn_sidecar import links
from buckthorn_sidecar import settings
from buckthorn_sidecar import topic_followers

# How often the feed is checked, in seconds.
CHECK_INTERVAL_S = 0.1
# A daemon that lacks a version for this long, in seconds, while another daemon
# has it, switches to another feed or reloads the topics. Feeds of two regions
# differ by up to a second. The fraction applies to the configured convergence
# time; the longer of the two times counts.
VERSION_LAG_TIMEOUT_S = 1.6
VERSION_LAG_FRACTION = 0.5
# Minimum time between two attempts to resubscribe, in seconds. Records that
# don't fit are ignored meanwhile and don't make the daemon leave its feed.
RESUBSCRIBE_INTERVAL_S = 1.0
# Daemons that a new process asks for what the log has lost. Hosts that are gone
# for good may still be listed.
START_QUERIES = 3
_DIGEST_BYTES = 8

_logger = loguru.logger.bind(module=__name__)


class Feed:
    """Passes records on to other daemons.

    The records come from the parent in the feed tree or, without a parent,
    from the log.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        configurations: topic_followers.TopicFollower,
        members: topic_followers.TopicFollower,
        directory: directories.Directory,
        link_pool: links.LinkPool,
        server: links.LinkServer,
        in_force: Callable[[], int],
        newest_peer_version: Callable[[], tuple[int, ids.DaemonId | None]],
        boot_id: str,
    ):
        """Creates the feed.

        Args:
            cfg: The settings.
            configurations: Follower of the configuration topic.
            members: Follower of the member topic.
            directory: The members.
            link_pool: Connections to other daemons.
            server: Accepts the connections of other daemons.
            in_force: Returns the version that is in force in this process.
            newest_peer_version: Returns the newest version that another daemon
                reported, and which daemon.
            boot_id: Unique id of this process.
        """
        self._cfg = cfg
        # Only the configuration has a bound on how stale it may become.
        self._configuration_follower = configurations
        self._member_follower = members
        self._followers = {f.topic: f for f in (configurations, members)}
        self._directory = directory
        self._link_pool = link_pool
        self._in_force = in_force
        self._newest_peer_version = newest_peer_version
        self._codec = compressors.ZstdDeltaCodec()
        self._state = feed_trees.FeedState(boot_id, cfg.converge_s)
        self._version_lag_timeout_s = max(
            VERSION_LAG_TIMEOUT_S, VERSION_LAG_FRACTION * cfg.converge_s
        )
        self._last_resubscribe_s = -math.inf
        self._children: set[links.FrameConnection] = set()
        self._started_s = 0.0
        # A version that other daemons have and this one lacks, and since when.
        self._missing_version: tuple[int, float] | None = None
        self._cached_position_key: (
            tuple[int, frozenset[ids.DaemonId]] | None
        ) = None
        self._cached_position = feed_trees.ROOT
        self._subscribing: asyncio.Task[None] | None = None
        self._start_queries: list[asyncio.Task[None]] | None = None
        self._task: asyncio.Task[None] | None = None
        self._last_sent: dict[tuple[str, str], topic_tables.Record] = {}
        # The last transition of each topic, for children that come later.
        self._transitions: dict[str, topic_tables.Transition] = {}
        for follower in self._followers.values():
            follower.on_records = self._on_records
        configurations.on_confirmed = self._on_log_confirmed
        link_pool.on_feed_frame = self._on_feed_frame
        server.on_subscribe = self._on_subscribe
        server.on_unrecorded = self._on_unrecorded
        server.on_end = self._children.discard

    @property
    def is_root(self) -> bool:
        """Whether this daemon is the first of its region."""
        return self._member_follower.synced.is_set() and (
            self._state.parent is None
        )

    def start(self) -> None:
        """Starts the periodic checks.

        The configuration isn't read from the log at first, since most daemons
        get it from another daemon.
        """
        self._configuration_follower.set_read_mode(feed_trees.ReadMode.NONE)
        self._started_s = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stops the periodic checks."""
        tasks = (self._task, self._subscribing, *(self._start_queries or ()))
        for task in tasks:
            if task is not None:
                task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check_safely(loop.time())

    def _check_safely(self, now_s: float) -> None:
        try:
            self._check(now_s)
        except Exception:
            # Without the checks a lost feed would never be replaced.
            _logger.exception("feed_failed")

    def _check(self, now_s: float) -> None:
        state = self._state
        if state.is_stale(now_s):
            self._abandon_parent("stale", now_s)
        self._check_version_lag(now_s)
        if (
            self._start_queries is None
            and self._member_follower.synced.is_set()
        ):
            self._start_queries = self._query_at_start()
        known = self._configuration_follower.synced.is_set()
        if known and state.step_down(self._cfg.daemon, now_s):
            _logger.warning("log_left_to_others")
        old_parent = state.parent
        position = self._tree_position(now_s)
        if state.set_position(position, now_s):
            _logger.info(
                "feed_chosen", daemon=position.parent, depth=position.depth
            )
            self._switch_parent(old_parent)
        self._update_read_modes(now_s)

    def _update_read_modes(self, now_s: float) -> None:
        """Updates which topics are read from the log directly."""
        members, configurations = self._state.read_modes(
            now_s,
            feed_trees.SyncState(
                self._member_follower.synced.is_set(),
                self._configuration_follower.synced.is_set(),
                self._directory.get(self._cfg.daemon) is not None,
                self._started_s,
            ),
        )
        self._member_follower.set_read_mode(members)
        self._configuration_follower.set_read_mode(configurations)

    def _on_log_confirmed(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._state.on_log_read(self._configuration_follower.confirmed_s)
        self._confirm_children(now_s)
        self._update_read_modes(now_s)

    def _confirm_children(self, now_s: float) -> None:
        self._send_to_children(self._confirm(now_s))

    def _confirm(self, now_s: float) -> frames.Confirm:
        return frames.Confirm(
            self._state.confirmation(now_s),
            {
                topic: follower.table.place
                for topic, follower in self._followers.items()
                if follower.table.next_offset is not None
            },
        )

    def _send_to_children(
        self, frame: frames.Frame, source: links.FrameConnection | None = None
    ) -> None:
        """Sends a frame to all fed daemons but the one that it came from."""
        for conn in self._children:
            if conn is not source:
                conn.send(frame)

    def _check_version_lag(self, now_s: float) -> None:
        """Leaves the feed, or reloads, if a version is missing for too long."""
        newest_peer_version, peer = self._newest_peer_version()
        if newest_peer_version <= self._in_force():
            self._missing_version = None
        elif (
            self._missing_version is None
            or self._missing_version[0] <= self._in_force()
        ):
            self._missing_version = (newest_peer_version, now_s)
            self._query_unrecorded(peer)
        elif now_s - self._missing_version[1] >= self._version_lag_timeout_s:
            self._missing_version = None
            _logger.warning("log_read_again", version=newest_peer_version)
            self._query_unrecorded(peer)
            self._state.invalidate()
            if self._state.parent is not None:
                self._abandon_parent("behind", now_s)
            else:
                for follower in self._followers.values():
                    follower.reload()

    def _query_at_start(self) -> list[asyncio.Task[None]]:
        """Asks some daemons what the log has lost before this process began."""
        others = [d for d in self._directory.daemons if d != self._cfg.daemon]
        chosen = random.sample(others, min(START_QUERIES, len(others)))
        return [asyncio.create_task(self._query(daemon)) for daemon in chosen]

    async def _query(self, daemon: ids.DaemonId) -> None:
        registration = self._directory.get(daemon)
        if registration is not None:
            with contextlib.suppress(links.NotSentError):
                await self._link_pool.get_or_create(registration).send(
                    frames.UnrecordedQuery()
                )

    def _query_unrecorded(self, peer: ids.DaemonId | None) -> None:
        """Asks a daemon with a newer version whether the log has lost it."""
        registration = self._directory.get(peer) if peer is not None else None
        if registration is not None:
            self._link_pool.get_or_create(registration).send_if_connected(
                frames.UnrecordedQuery()
            )

    def _tree_position(self, now_s: float) -> feed_trees.TreePosition:
        """Returns this daemon's position in the feed tree."""
        if not self._member_follower.synced.is_set():
            return feed_trees.ROOT
        excluded = self._state.excluded(now_s)
        key = (self._directory.revision, excluded)
        if key != self._cached_position_key:
            self._cached_position_key = key
            feeders = self._directory.feeders_in(self._cfg.region)
            self._cached_position = feed_trees.tree_position_of(
                self._cfg.daemon,
                self._cfg.site,
                {d: f for d, f in feeders.items() if d not in excluded},
            )
        return self._cached_position

    def _abandon_parent(self, reason: str, now_s: float) -> None:
        old_parent = self._state.parent
        _logger.warning("feed_lost", daemon=old_parent, reason=reason)
        self._state.on_feed_failed(now_s)
        self._switch_parent(old_parent)

    def _switch_parent(self, old_parent: ids.DaemonId | None) -> None:
        registration = (
            self._directory.get(old_parent) if old_parent is not None else None
        )
        if registration is not None:
            link = self._link_pool.get_or_create(registration)
            link.unsubscribe()
            link.close_if_dead(asyncio.get_running_loop().time())
        self._subscribe_to(self._state.parent)

    def _subscribe_to(self, parent: ids.DaemonId | None) -> None:
        """Subscribes to a daemon, if any, and stops any other attempt."""
        if self._subscribing is not None:
            self._subscribing.cancel()
        if parent is not None:
            self._subscribing = asyncio.create_task(self._subscribe(parent))

    async def _subscribe(self, parent: ids.DaemonId) -> None:
        registration = self._directory.get(parent)
        if registration is None:
            return
        link = self._link_pool.get_or_create(registration)
        tables = {t: f.table for t, f in self._followers.items()}
        try:
            await link.send(
                frames.Subscribe(
                    {t: table.next_offset for t, table in tables.items()},
                    {t: table.epoch for t, table in tables.items()},
                )
            )
            # A parent that has started since the log was restored may only
            # know what the log has.
            for frame in self._unrecorded_frames():
                link.send_if_connected(frame)
        except links.NotSentError as exc:
            self._abandon_parent(str(exc), asyncio.get_running_loop().time())

    def _on_feed_frame(
        self, daemon: ids.DaemonId, frame: frames.FeedFrame
    ) -> None:
        if isinstance(frame, frames.Unrecorded):
            self._merge_unrecorded(frame, None)
        elif daemon != self._state.parent:
            return
        elif isinstance(frame, frames.Confirm):
            self._on_confirm(frame)
        else:
            self._on_records_frame(frame)

    def _on_confirm(self, frame: frames.Confirm) -> None:
        now_s = asyncio.get_running_loop().time()
        behind = [
            topic
            for topic, place in frame.places.items()
            if topic in self._followers
            and self._followers[topic].table.place < tuple(place)
        ]
        if behind:
            # Records that the confirmation covers did not fit.
            self._resubscribe(f"behind in {', '.join(behind)}", now_s)
        elif self._state.on_confirmation(frame.confirmation, now_s):
            self._confirm_children(now_s)
            self._update_read_modes(now_s)

    def _on_records_frame(self, frame: frames.Records) -> None:
        now_s = asyncio.get_running_loop().time()
        follower = self._followers.get(frame.topic)
        if follower is None:
            _logger.warning("bad_frame", error=f"topic {frame.topic}")
            return
        # Daemons of an earlier release state no epoch.
        epoch = ids.LogEpoch(frame.epoch or follower.table.epoch)
        try:
            records = [self._decode(follower, r, epoch) for r in frame.records]
        except errors.PeerError as exc:
            self._resubscribe(str(exc), now_s)
            return
        start = None if frame.start is None else ids.Offset(frame.start)
        transition = None
        if frame.move is not None:
            transition = topic_tables.Transition(
                ids.LogEpoch(frame.move.previous_epoch),
                ids.Offset(frame.move.previous_end),
                frame.move.lost_keys,
                records,
                ids.Offset(frame.end),
            )
        if not follower.apply(
            records, start, ids.Offset(frame.end), epoch, transition
        ):
            self._resubscribe("gap", now_s)

    def _on_unrecorded(
        self,
        conn: links.FrameConnection,
        frame: frames.Unrecorded | frames.UnrecordedQuery,
    ) -> None:
        if isinstance(frame, frames.Unrecorded):
            self._merge_unrecorded(frame, conn)
            return
        for answer in self._unrecorded_frames():
            conn.send(answer)

    def _merge_unrecorded(
        self, frame: frames.Unrecorded, source: links.FrameConnection | None
    ) -> None:
        """Applies changes that the log has lost, and passes on new ones."""
        follower = self._followers.get(frame.topic)
        if follower is None:
            _logger.warning("bad_frame", error=f"topic {frame.topic}")
            return
        try:
            changes = [
                topic_tables.UnrecordedChange(
                    change.key,
                    self._codec.decode(change.data, None)
                    if change.data
                    else b"",
                    change.revision,
                )
                for change in frame.changes
            ]
        except errors.PeerError as exc:
            _logger.warning("bad_frame", error=str(exc))
            return
        in_force = follower.merge_unrecorded(changes)
        if in_force:
            self._spread(self._encode_unrecorded(frame.topic, in_force), source)

    def _spread(
        self, frame: frames.Unrecorded, source: links.FrameConnection | None
    ) -> None:
        """Sends changes that the log has lost to the parent and children."""
        self._send_to_children(frame, source)
        parent = self._state.parent
        registration = self._directory.get(parent) if parent else None
        if registration is not None:
            self._link_pool.get_or_create(registration).send_if_connected(frame)

    def _unrecorded_frames(self) -> list[frames.Unrecorded]:
        """Returns what the log has lost, by topic."""
        return [
            self._encode_unrecorded(topic, follower.table.unrecorded.values())
            for topic, follower in self._followers.items()
            if follower.table.unrecorded
        ]

    def _encode_unrecorded(
        self, topic: str, changes: Iterable[topic_tables.UnrecordedChange]
    ) -> frames.Unrecorded:
        return frames.Unrecorded(
            topic,
            [
                frames.UnrecordedChange(
                    change.key,
                    self._codec.encode(change.value, None)
                    if change.value
                    else b"",
                    change.revision,
                )
                for change in changes
            ],
        )

    def _resubscribe(self, reason: str, now_s: float) -> None:
        """Subscribes to the parent again, from the current offsets on.

        This is needed if the daemon has read newer records from the log than
        the ones that the parent's next records are compressed against.
        """
        parent = self._state.parent
        if (
            parent is None
            or now_s - self._last_resubscribe_s < RESUBSCRIBE_INTERVAL_S
        ):
            return
        self._last_resubscribe_s = now_s
        _logger.info("feed_asked_again", daemon=parent, reason=reason)
        self._subscribe_to(parent)

    def _decode(
        self,
        follower: topic_followers.TopicFollower,
        feed_record: frames.FeedRecord,
        epoch: ids.LogEpoch,
    ) -> topic_tables.Record:
        """Returns the decoded record, or the current one if that isn't older.

        Raises:
            errors.PeerError: The record's delta base isn't known here.
        """
        current = follower.table.get(feed_record.key)
        if (
            current is not None
            and epoch == follower.table.epoch
            and current.offset >= feed_record.offset
        ):
            return current
        base = None
        if feed_record.base is not None:
            if (
                current is None
                or current.offset != feed_record.base
                or feed_record.base_digest not in (b"", _digest(current.value))
            ):
                raise errors.PeerError(
                    errors.Code.BAD_MESSAGE,
                    f"no record {feed_record.base} as a base",
                )
            base = current.value
        value = (
            self._codec.decode(feed_record.data, base)
            if feed_record.data
            else b""
        )
        return topic_tables.Record(
            feed_record.key, value, ids.Offset(feed_record.offset)
        )

    def _on_subscribe(
        self, conn: links.FrameConnection, frame: frames.Subscribe
    ) -> None:
        if not frame.positions:
            self._children.discard(conn)
            return
        # Later records go to all children as soon as they are applied.
        self._children.add(conn)
        for topic in self._followers:
            records_frame = self._missing_records(topic, frame)
            if records_frame is not None:
                conn.send(records_frame)
        for unrecorded in self._unrecorded_frames():
            conn.send(unrecorded)
        if self._configuration_follower.synced.is_set():
            conn.send(self._confirm(asyncio.get_running_loop().time()))

    def _missing_records(
        self, topic: str, frame: frames.Subscribe
    ) -> frames.Records | None:
        """Returns the records that a subscriber lacks, if any."""
        table = self._followers[topic].table
        end, offset = table.next_offset, frame.positions.get(topic)
        if end is None:
            return None
        epoch = frame.epochs.get(topic, table.epoch)
        transition = self._transitions.get(topic)
        if offset is not None and epoch == table.epoch:
            records = table.records_since(ids.Offset(offset))
            if not records and offset >= end:
                return None
            return self._records(topic, ids.Offset(offset), end, records, {})
        if transition is None or (epoch, offset) != (
            transition.previous_epoch,
            transition.previous_end,
        ):
            return self._records(
                topic, None, end, table.records_since(None), {}
            )
        keys = {r.key for r in transition.records}
        keys.update(r.key for r in table.records_since(transition.end))
        records = [r for key in keys if (r := table.get(key)) is not None]
        return self._move(topic, transition._replace(records=records, end=end))

    def _on_records(
        self,
        follower: topic_followers.TopicFollower,
        start: ids.Offset | None,
        transition: topic_tables.Transition | None,
    ) -> None:
        """Sends the records that a follower has applied to all children."""
        topic, table = follower.topic, follower.table
        end = table.next_offset
        if end is None:
            return
        if start is None:
            # The parent and the read modes are updated before the follower
            # begins its next read.
            self._check_safely(asyncio.get_running_loop().time())
        if transition is not None:
            self._transitions[topic] = transition
            self._forget_bases(topic)
            for other in self._followers.values():
                other.expect_epoch(table.epoch)
        records = table.records_since(start)
        bases = {
            r.key: self._last_sent[topic, r.key]
            for r in records
            if start is not None and (topic, r.key) in self._last_sent
        }
        if self._children:
            self._send_to_children(
                self._records(topic, start, end, records, bases)
                if transition is None
                else self._move(topic, transition)
            )
        for record in records:
            self._last_sent[topic, record.key] = record
        if transition is not None and table.unrecorded:
            self._spread(
                self._encode_unrecorded(topic, table.unrecorded.values()), None
            )

    def _forget_bases(self, topic: str) -> None:
        """Drops what was sent to children before the log was restored."""
        self._last_sent = {
            (of_topic, key): record
            for (of_topic, key), record in self._last_sent.items()
            if of_topic != topic
        }

    def _move(
        self, topic: str, transition: topic_tables.Transition
    ) -> frames.Records:
        """Returns a transition; one that has moved already needs nothing."""
        move = frames.Move(
            transition.previous_epoch,
            transition.previous_end,
            transition.lost_keys,
        )
        return self._records(
            topic, transition.end, transition.end, transition.records, {}, move
        )

    def _records(
        self,
        topic: str,
        start: ids.Offset | None,
        end: ids.Offset,
        records: Sequence[topic_tables.Record],
        bases: dict[str, topic_tables.Record],
        move: frames.Move | None = None,
    ) -> frames.Records:
        feed_records = []
        for record in records:
            base = bases.get(record.key)
            data = b""
            if record.value:
                base_value = base.value if base is not None else None
                data = self._codec.encode(record.value, base_value)
            feed_records.append(
                frames.FeedRecord(
                    record.key,
                    record.offset,
                    data,
                    base.offset if base is not None else None,
                    _digest(base.value) if base is not None else b"",
                )
            )
        return frames.Records(
            topic,
            start,
            end,
            feed_records,
            self._followers[topic].table.epoch,
            move,
        )


def _digest(value: bytes) -> bytes:
    return hashlib.blake2b(value, digest_size=_DIGEST_BYTES).digest()
