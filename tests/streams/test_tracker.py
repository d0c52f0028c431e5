"""Tests of the stream tracker: no token is lost, repeated or mixed up."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspan.streams import (
    ResumePoint,
    StreamFault,
    StreamLimits,
    StreamTracker,
    TokenFrame,
)

LIMITS = StreamLimits(progress_timeout_s=5, silence_timeout_s=2, buffer_bytes=100)


def token(attempt, position, text="x", size=1):
    return TokenFrame(attempt, position, text, size=size)


def last(attempt, position, count, text=""):
    return TokenFrame(attempt, position, text, "stop", count)


def feed(tracker, frames, source="a", now=0.0):
    """Feed frames and return the result of the last one."""
    result = None
    for frame in frames:
        result = tracker.on_frame(frame, source, now)
    return result


@pytest.mark.parametrize(
    ("frames", "fault"),
    [
        ([token("a", 1)], StreamFault.POSITION),
        ([token("a", 0), token("a", 0)], StreamFault.POSITION),
        ([token("a", 0), token("a", 2)], StreamFault.POSITION),
        ([token("a", 0), last("a", 1, 2)], StreamFault.COUNT),
        ([token("a", 0), last("a", 1, 0)], StreamFault.COUNT),
        ([token("a", 0), last("a", 1, None)], StreamFault.COUNT),
        ([last("a", 0, 0), token("a", 0)], StreamFault.POSITION),
        ([last("a", 0, 1, "x")], None),
        ([token("a", 0), token("b", 9), token("a", 1)], None),
    ],
)
def test_frames_with_wrong_position_or_count_end_the_attempt(frames, fault):
    """A chunk with a wrong position or count must not become part of a response."""
    tracker = StreamTracker(LIMITS)
    tracker.begin("a", 0.0)
    assert feed(tracker, frames).fault is fault
    assert (tracker.active is None) == (fault is not None)


def test_frames_of_an_abandoned_attempt_are_dropped():
    """Late chunks must not mix with those of the attempt that replaced theirs."""
    tracker = StreamTracker(LIMITS)
    tracker.begin("a", 0.0)
    feed(tracker, [token("a", 0, "one ")])
    assert tracker.begin("b", 0.0) == ResumePoint(1, "one ")
    assert feed(tracker, [token("a", 1, "late ")]).token is None
    assert tracker.on_ended("a", StreamFault.TRUNCATED).fault is None
    assert not tracker.on_end_marker("a", 0.0).complete
    assert feed(tracker, [token("b", 1, "two")], source="b").token is not None
    assert tracker.text == "one two"


@pytest.mark.parametrize(
    ("frames", "complete"),
    [([], False), ([token("a", 0)], False), ([token("a", 0), last("a", 1, 1)], True)],
)
def test_response_is_complete_only_with_end_marker_and_count(frames, complete):
    """A truncated response must not pass for a complete one."""
    tracker = StreamTracker(LIMITS)
    tracker.begin("a", 0.0)
    feed(tracker, frames)
    assert not tracker.complete
    result = tracker.on_end_marker("a", 0.0)
    assert (result.complete, tracker.complete) == (complete, complete)
    assert (result.fault is StreamFault.TRUNCATED) != complete


@pytest.mark.parametrize(
    ("events", "now", "fault"),
    [
        ([], 4.9, None),
        ([], 5.0, StreamFault.SILENT),
        (["comment@1"], 2.9, None),
        (["comment@1"], 3.0, StreamFault.SILENT),
        (["comment@1", "comment@2", "comment@3", "comment@4"], 5.0, "stalled"),
        (["comment@4", "token@4.5"], 6.4, None),
        (["comment@4", "token@4.5"], 6.5, StreamFault.SILENT),
        (["token@1", "comment@2", "comment@4", "comment@5.5"], 6.0, "stalled"),
    ],
)
def test_timers_distinguish_silence_from_missing_progress(events, now, fault):
    """Keep-alive comments from a stalled engine must not count as progress."""
    tracker = StreamTracker(LIMITS)
    tracker.begin("a", 0.0)
    for event in events:
        kind, at = event.split("@")
        if kind == "comment":
            tracker.on_comment("a", float(at))
        else:
            tracker.on_frame(token("a", tracker.position), "a", float(at))
    assert tracker.next_check >= now or fault
    expected = StreamFault.STALLED if fault == "stalled" else fault
    assert tracker.check(now).fault is expected


def test_first_token_may_take_its_expected_time():
    """An engine that prefills a long prompt must not be taken for silent."""
    tracker = StreamTracker(LIMITS)
    tracker.begin("a", 0.0, first_token_s=30.0)
    assert tracker.check(34.9).fault is None
    assert tracker.check(35.0).fault is StreamFault.SILENT


def test_silence_does_not_end_an_attempt():
    """The tokens of an engine that was only silent for a while must not be lost."""
    tracker = StreamTracker(LIMITS)
    tracker.begin("a", 0.0)
    feed(tracker, [token("a", 0)])
    assert tracker.check_silence(1.9) is None
    assert tracker.check_silence(2.0) is StreamFault.SILENT
    assert tracker.active == "a" and tracker.next_check == 4.0
    assert feed(tracker, [token("a", 1)], now=2.5).token is not None


@pytest.mark.parametrize("winner", ["a", "b"])
def test_first_new_token_decides_between_a_silent_attempt_and_its_successor(winner):
    """Tokens of two attempts from the same position must not be mixed."""
    tracker = StreamTracker(LIMITS)
    tracker.begin("a", 0.0)
    feed(tracker, [token("a", 0, "one ")])
    assert tracker.begin("b", 0.0, beside_silent=True) == ResumePoint(1, "one ")
    loser = "b" if winner == "a" else "a"
    tracker.on_comment(loser, 0.0)
    assert feed(tracker, [token(winner, 1, "two ")], winner).token is not None
    assert feed(tracker, [token(loser, 1, "again ")], loser).token is None
    assert tracker.on_ended(loser, StreamFault.TRUNCATED).fault is None
    assert tracker.active == winner
    assert feed(tracker, [last(winner, 2, 2)], winner).fault is None
    assert not tracker.on_end_marker(loser, 0.0).complete
    assert tracker.on_end_marker(winner, 0.0).complete
    assert tracker.text == "one two "


def test_finish_reason_of_a_silent_attempt_does_not_end_its_successor():
    """A successor may send the last chunk again; its end marker must be its own."""
    tracker = StreamTracker(LIMITS)
    tracker.begin("a", 0.0)
    feed(tracker, [token("a", 0), last("a", 1, 1)])
    tracker.begin("b", 0.0, beside_silent=True)
    assert tracker.on_end_marker("b", 0.0).fault is StreamFault.TRUNCATED
    assert tracker.on_end_marker("a", 0.0).complete
    assert tracker.finish_reason == "stop"


@pytest.mark.parametrize("faulty", ["a", "b"])
def test_fault_of_one_of_two_attempts_leaves_the_other_one(faulty):
    """A successor that is refused must not end the silent attempt."""
    tracker = StreamTracker(LIMITS)
    tracker.begin("a", 0.0)
    tracker.begin("b", 0.0, beside_silent=True)
    assert feed(tracker, [token(faulty, 5)], faulty).fault is StreamFault.POSITION
    other = "b" if faulty == "a" else "a"
    assert tracker.active == other
    assert feed(tracker, [token(other, 0)], other).token is not None


def test_full_buffer_pauses_until_half_is_read():
    """A slow reader must not cause a new attempt for each token it consumes."""
    tracker = StreamTracker(LIMITS)
    tracker.begin("a", 0.0)
    assert not feed(tracker, [token("a", 0, size=60)]).pause
    result = feed(tracker, [token("a", 1, size=60)])
    assert result.pause and result.token is not None
    assert tracker.paused and tracker.active is None
    tracker.record_consumed(60)
    assert not tracker.may_resume
    tracker.record_consumed(20)
    assert tracker.may_resume
    assert tracker.begin("b", 1.0).position == 2


TOKENS = [f"t{i} " for i in range(6)]

ACTION = st.one_of(
    st.just(("begin",)),
    st.just(("beside",)),
    st.tuples(st.just("serve"), st.integers(0, 5), st.integers(1, 4)),
    st.tuples(st.just("frame"), st.integers(0, 5), st.integers(0, 7)),
    st.tuples(st.just("misrouted"), st.integers(0, 5), st.integers(0, 5)),
    st.tuples(st.just("finish"), st.integers(0, 5), st.integers(0, 7)),
    st.tuples(st.just("end"), st.integers(0, 5)),
    st.tuples(st.just("close"), st.integers(0, 5)),
    st.tuples(st.just("read"), st.integers(1, 60)),
    st.tuples(st.just("wait"), st.floats(0, 6)),
)


class Harness:
    """Apply actions to a tracker as engines, timers and a reader would."""

    def __init__(self):
        self.tracker = StreamTracker(StreamLimits(5, 2, 40))
        self.now = 0.0
        self.attempts = []
        self.delivered = []
        self.unread = 0
        self.position_of = {}

    def apply(self, action):
        kind, *values = action
        if kind in ("begin", "beside"):
            self._begin(beside_silent=kind == "beside")
        elif kind == "read":
            size = min(values[0], self.unread)
            self.unread -= size
            self.tracker.record_consumed(size)
        elif kind == "wait":
            self.now += values[0]
            self.tracker.check(self.now)
        elif self.attempts:
            attempt = self.attempts[values[0] % len(self.attempts)]
            getattr(self, f"_{kind}")(attempt, *values[1:])

    def _begin(self, beside_silent):
        tracker = self.tracker
        if tracker.complete or (tracker.paused and not tracker.may_resume):
            return
        attempt = f"a{len(self.attempts)}"
        point = tracker.begin(attempt, self.now, beside_silent=beside_silent)
        assert point.text == "".join(TOKENS[: point.position])
        self.attempts.append(attempt)
        self.position_of[attempt] = point.position

    def _serve(self, attempt, count):
        """Send the next tokens that a correct engine would send."""
        for _ in range(count):
            position = self.position_of[attempt]
            if position >= len(TOKENS):
                return self._finish(attempt, len(TOKENS))
            self.position_of[attempt] += 1
            self._frame(attempt, position)
        return None

    def _frame(self, attempt, position):
        text = TOKENS[position] if position < len(TOKENS) else "beyond "
        self._feed(TokenFrame(attempt, position, text, size=10), attempt)

    def _misrouted(self, attempt, position):
        other = TokenFrame("another request", position, "misrouted ", size=10)
        self._feed(other, attempt)

    def _feed(self, frame, source):
        result = self.tracker.on_frame(frame, source, self.now)
        if result.token is not None:
            self.delivered.append(result.token)
            self.unread += result.token.size

    def _finish(self, attempt, count):
        # A count that is too low but matches the tokens sent so far would be accepted;
        # no engine sends it. The tracker must refuse any other wrong count.
        if count < len(TOKENS) and count == self.tracker.position:
            return
        frame = TokenFrame(attempt, self.tracker.position, "", "stop", count)
        self._feed(frame, attempt)

    def _end(self, attempt):
        self.tracker.on_end_marker(attempt, self.now)

    def _close(self, attempt):
        self.tracker.on_ended(attempt, StreamFault.TRUNCATED)


@settings(derandomize=True, deadline=None, max_examples=600)
@given(st.lists(ACTION, max_size=40))
def test_no_interleaving_loses_repeats_or_mixes_up_a_token(actions):
    """Frames may arrive late, twice, on a wrong connection or not at all."""
    harness = Harness()
    for action in actions:
        harness.apply(action)
        tokens = harness.delivered
        assert [t.position for t in tokens] == list(range(len(tokens)))
        beyond = [t.text for t in tokens[len(TOKENS) :]]
        assert set(beyond) <= {"beyond "}
        assert [t.text for t in tokens[: len(TOKENS)]] == TOKENS[: len(tokens)]
        assert harness.tracker.text == "".join(t.text for t in tokens)
        assert harness.tracker.buffered_bytes == harness.unread <= 40 + 10
        if harness.tracker.complete:
            assert len(tokens) >= len(TOKENS)
