"""Decisions of one entry on parts of prompts that crash engines.

A part of a prompt may crash each engine that begins to write an answer on it. When an
engine breaks off its streams, those without an event are the suspects, and with them
all shared parts of their prompts. An answer on a part clears it. A part that is
suspected at several crashes in a row is quarantined: requests with it are refused.

Entries tell each other of crashes, cleared parts and verdicts in datagrams that may be
late or lost, so each of them decides on its own and passes its verdicts on.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence

from msgspec.structs import replace

from wigeonspan.quarantine._cleared import ClearedParts
from wigeonspan.quarantine._evidence import (
    BLAME_S,
    REPORT_DELAY_S,
    Crash,
    Evidence,
)
from wigeonspan.quarantine._judgement import SETTLE_S, find_culprits, is_suspect
from wigeonspan.quarantine._keys import WrittenParts, part_key
from wigeonspan.quarantine._messages import (
    PartQuarantined,
    PartsCleared,
    QuarantineMessage,
    StreamCrashed,
    TargetAlive,
    Verdict,
)
from wigeonspan.quarantine._trials import ANNOUNCE_INTERVAL_S, Quarantine, Turns
from wigeonspan.targets import TargetId

REPEAT_S = 0.3
"""Seconds after which an entry repeats its own reports and verdicts, since datagrams
are lost."""

VERDICT_REPEATS = 2
"""Number of times that an entry repeats news of a quarantine."""

CLOCK_ERROR_S = 0.2
"""Maximum error in seconds of times that are reported as ages."""

MAX_QUARANTINED = 250
"""Maximum number of quarantined parts; those without requests for the longest time are
removed first."""

MAX_REPORTS = 256
"""Maximum number of own reports that wait to be repeated."""

MAX_MESSAGE_PARTS = 64
"""Maximum number of parts in a message. A datagram holds up to 24 messages and has a
limit of 60,000 bytes."""

MAX_REQUEST_PARTS = 256
"""Maximum number of parts of a request that are considered."""

FORGET_S = 86400.0
"""Seconds without a request after which a quarantine ends."""

ANSWER_STEP_S = 0.1
"""Seconds by which the answer of each further entry to an outdated verdict is later."""

MAX_ANSWER_S = 1.0
"""Maximum seconds until an entry answers an outdated verdict."""


class PromptQuarantine:
    """Suspected and quarantined parts, as one entry knows them.

    Parts are passed as the ids of all parts of a prompt but the last one, which is
    always new. All methods that return messages expect them to be sent to all other
    entries.
    """

    def __init__(self) -> None:
        self._quarantined: OrderedDict[str, Quarantine] = OrderedDict()
        self._evidence = Evidence(self._quarantined.keys())
        self._written = WrittenParts()
        self._cleared = ClearedParts()
        self._turns = Turns()
        # Time at which to judge each crash of which there is news.
        self._judge_at: dict[Crash, float] = {}
        # Own reports with the crash and the time to repeat them.
        self._reports: deque[tuple[float, Crash, StreamCrashed]] = deque(
            maxlen=MAX_REPORTS
        )

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Keys of the quarantined parts."""
        return tuple(self._quarantined)

    @property
    def suspects(self) -> int:
        """Number of suspected parts."""
        return len(self._evidence)

    def set_entries(self, rank: int, count: int, now: float) -> None:
        """Set the number of entries and the rank of this one among them.

        Until the first call, this entry lets no trial through.

        Parameters
        ----------
        rank : int
            Number of entries whose turns come before those of this one.
        count : int
            Number of entries, this one included.
        """
        self._turns.set_entries(rank, count, now)

    def check(
        self, parts: Iterable[str], now: float, *, may_try: bool = True
    ) -> Verdict | None:
        """Return the verdict on a request with quarantined parts, to be asked per send.

        A verdict that lets the request through as a trial counts as used. It is given
        once, so there is no second check for the same request.

        Parameters
        ----------
        may_try : bool
            Whether the request can be a trial.
        """
        if not self._quarantined:
            return None
        found = [key for key in map(part_key, parts) if key in self._quarantined]
        if not found:
            return None
        for key in found:
            self._quarantined[key].requested_at = now
        key = max(found, key=lambda key: self._quarantined[key].return_s(now))
        quarantine = self._quarantined[key]
        if (
            may_try
            and len(set(found)) == 1
            and self._turns.may_try(key, quarantine, now)
            and not self._evidence.has_flapping_targets(now)
        ):
            quarantine.trials += 1
            quarantine.trial_at = now
            quarantine.repeats = VERDICT_REPEATS
            message = self._announce(key, quarantine, now)
            return Verdict(key, quarantine.return_s(now), True, (message,))
        return Verdict(key, quarantine.return_s(now))

    def find(self, parts: Iterable[str], now: float) -> Verdict | None:
        """Return the verdict that refuses a request, without recording the request."""
        keys = [key for key in map(part_key, parts) if key in self._quarantined]
        if not keys:
            return None
        key = max(keys, key=lambda key: self._quarantined[key].return_s(now))
        return Verdict(key, self._quarantined[key].return_s(now))

    def may_repeat(self, parts: Iterable[str], now: float, breaks: int = 2) -> bool:
        """Return whether a broken request may be sent to another engine.

        Parameters
        ----------
        breaks : int
            Number of times that the request was broken without an event.
        """
        for key in map(part_key, parts):
            if key in self._quarantined:
                return False
            if is_suspect(
                self._evidence,
                key,
                self._has_written(key),
                first_break=breaks < 2,
                now=now,
            ):
                return False
        return True

    def record_break(
        self,
        target: TargetId,
        parts: Sequence[str],
        now: float,
        born_ms: int = 0,
        sent_s: float = 60.0,
    ) -> list[QuarantineMessage]:
        """Record that a target broke off a stream; return what to publish.

        Parameters
        ----------
        parts : sequence of str
            Parts of the prompt; empty when the stream had had an event. Such a break
            shows a crash without a suspect.
        born_ms : int
            Start of the target as in the list; 0 if unknown.
        sent_s : float
            Seconds since the request was sent.
        """
        keys = list(dict.fromkeys(map(part_key, parts[:MAX_REQUEST_PARTS])))
        messages: list[QuarantineMessage] = []
        for start in range(0, max(1, len(keys)), MAX_MESSAGE_PARTS):
            chunk = keys[start : start + MAX_MESSAGE_PARTS]
            written = [i for i, key in enumerate(chunk) if key in self._written]
            report = StreamCrashed(
                target, tuple(chunk), tuple(written), 0.0, born_ms, sent_s
            )
            crash = self._record_crash(report, now, now)
            if crash is None:
                continue
            messages.append(report)
            if chunk:
                self._reports.append((now + REPEAT_S, crash, report))
        return messages

    def _record_crash(
        self, report: StreamCrashed, at: float, now: float
    ) -> Crash | None:
        """Record a report of a crash; return the crash if there is anything new."""
        crash = self._evidence.find_crash(report.target, at, report.born_ms)
        is_new = crash is None
        if crash is None:
            crash = self._evidence.record_crash(report.target, at, report.born_ms)
        elif at - crash.at > BLAME_S or at - report.sent_s > crash.at + REPORT_DELAY_S:
            return None
        parts = report.parts[:MAX_REQUEST_PARTS]
        written = [parts[i] for i in report.written if 0 <= i < len(parts)]
        cleared = {k for k in parts if self._cleared.is_cleared_since(k, crash.at)}
        if self._evidence.blame(crash, parts, written, cleared):
            self._judge_at.setdefault(crash, now + SETTLE_S)
            return crash
        return crash if is_new else None

    def record_alive(
        self, target: TargetId, sent_at: float, now: float, born_ms: int = 0
    ) -> list[QuarantineMessage]:
        """Record an event of a target; return what to publish, usually nothing.

        An event of a request that was sent after a break shows that only a single
        stream had broken off. Verdicts hold on: they rest on several crashes.

        Parameters
        ----------
        sent_at : float
            Time at which the request was sent.
        born_ms : int
            Start of the target as in the list; 0 if unknown.
        """
        if not self._refute(target, sent_at, now, born_ms):
            return []
        return [TargetAlive(target, born_ms=born_ms, sent_s=now - sent_at)]

    def _refute(
        self, target: TargetId, sent_at: float, alive_at: float, born_ms: int
    ) -> bool:
        """Remove the blames for a crash that did not happen, if there is one."""
        crash = self._evidence.find_refuted(target, sent_at, alive_at, born_ms)
        if crash is None:
            return False
        self._evidence.refute(crash)
        self._judge_at.pop(crash, None)
        return True

    def record_written(
        self, parts: Iterable[str], now: float
    ) -> list[QuarantineMessage]:
        """Record the first event of a stream; return what to publish, usually nothing.

        Suspected and quarantined parts of its prompt are cleared.
        """
        cleared = []
        for part in parts:
            key = part_key(part)
            self._written.add(key, now)
            if key in self._evidence or key in self._quarantined:
                cleared.append(key)
                self._clear(key, now, 0.0)
        return [
            PartsCleared(tuple(cleared[start : start + MAX_MESSAGE_PARTS]))
            for start in range(0, len(cleared), MAX_MESSAGE_PARTS)
        ]

    def _clear(self, key: str, written_at: float, error_s: float) -> None:
        """Remove what was known against a part up to a time.

        Parameters
        ----------
        error_s : float
            Maximum error of the time in seconds.
        """
        self._evidence.clear(key, written_at + error_s)
        quarantine = self._quarantined.get(key)
        if quarantine is not None and quarantine.began_at <= written_at + error_s:
            del self._quarantined[key]
        self._cleared.record(key, written_at)

    def apply(self, message: QuarantineMessage, now: float) -> None:
        """Apply a message of another entry."""
        if isinstance(message, StreamCrashed):
            self._record_crash(message, now - max(0.0, message.age_s), now)
        elif isinstance(message, TargetAlive):
            alive_at = now - max(0.0, message.age_s)
            sent_at = alive_at - max(0.0, message.sent_s)
            self._refute(message.target, sent_at, alive_at, message.born_ms)
        elif isinstance(message, PartsCleared):
            for key in message.parts:
                self._clear(key, now - max(0.0, message.age_s), CLOCK_ERROR_S)
        else:
            self._learn(message, now)

    def verdicts(self, now: float) -> list[PartQuarantined]:
        """Return the verdicts that this entry holds, for a control host to keep."""
        return [q.verdict(key, now) for key, q in self._quarantined.items()]

    def restore(self, verdicts: Iterable[PartQuarantined], now: float) -> None:
        """Apply verdicts that a control host has kept.

        The host may not know yet that a part was cleared, so such verdicts are ignored
        and, unlike those of entries, not answered.
        """
        for verdict in verdicts:
            if not self._cleared.is_cleared_since(verdict.part, now - verdict.age_s):
                self._learn(verdict, now)

    def _learn(self, message: PartQuarantined, now: float) -> None:
        """Apply the verdict of another entry unless the part was cleared later."""
        key, began_at = message.part, now - max(0.0, message.age_s)
        if self._cleared.is_cleared_since(key, began_at):
            wait_s = min(ANSWER_STEP_S * self._turns.position(key), MAX_ANSWER_S)
            self._cleared.schedule_answer(key, now + wait_s)
            return
        quarantine = self._quarantined.get(key)
        if quarantine is None:
            quarantine = self._begin(key, began_at)
        quarantine.began_at = min(quarantine.began_at, began_at)
        requested_at = now - max(0.0, message.idle_s)
        quarantine.requested_at = max(quarantine.requested_at, requested_at)
        if message.trials > quarantine.trials:
            quarantine.trials, quarantine.trial_at = message.trials, now
        if message.trials >= quarantine.trials:
            # An announcement with fewer trials must be corrected.
            quarantine.announced_at = now
        self._remove_surplus()

    def _begin(self, key: str, began_at: float) -> Quarantine:
        self._evidence.discard_quarantined(key)
        quarantine = Quarantine(began_at)
        self._quarantined[key] = quarantine
        return quarantine

    def _remove_surplus(self) -> None:
        """Remove the quarantines without requests for the longest time."""
        kept = self._quarantined
        while len(kept) > MAX_QUARANTINED:
            del kept[min(kept, key=lambda key: kept[key].requested_at)]

    def tick(self, now: float) -> list[QuarantineMessage]:
        """Judge recent crashes and return what to publish; to be called every 0.1 s."""
        for crash in [c for c, at in self._judge_at.items() if at <= now]:
            del self._judge_at[crash]
            self._judge(crash, now)
        messages: list[QuarantineMessage] = []
        while self._reports and self._reports[0][0] <= now:
            _, crash, report = self._reports.popleft()
            messages.append(replace(report, age_s=max(0.0, now - crash.at)))
        for key, quarantine in list(self._quarantined.items()):
            if now - quarantine.requested_at > FORGET_S:
                del self._quarantined[key]
            elif self._turns.announcement_due(key, quarantine, now) or (
                quarantine.repeats and now - quarantine.announced_at >= REPEAT_S
            ):
                messages.append(self._announce(key, quarantine, now))
        for key, age_s in self._cleared.due_answers(now):
            messages.append(PartsCleared((key,), age_s))
        return messages

    def _announce(
        self, key: str, quarantine: Quarantine, now: float
    ) -> PartQuarantined:
        quarantine.announced_at = now
        quarantine.repeats = max(0, quarantine.repeats - 1)
        return quarantine.verdict(key, now)

    def _has_written(self, key: str) -> bool:
        """Return whether an answer on a part was written before its crashes."""
        suspect = self._evidence.get(key)
        return (
            (suspect is not None and suspect.has_written)
            or key in self._written
            or key in self._cleared
        )

    def _judge(self, crash: Crash, now: float) -> None:
        """Quarantine the parts that are the cause of a crash."""
        found = find_culprits(self._evidence, crash, self._has_written, now)
        if not found:
            return
        is_own = any(crash is own for _, own, _ in self._reports)
        for key in found:
            # It began with the crash, so that a later answer on the part ends it even
            # when the message about the answer is late.
            quarantine = self._begin(key, crash.at)
            quarantine.requested_at = now
            if is_own:
                quarantine.repeats = VERDICT_REPEATS
            else:
                # The first of the other entries announces it at once as well.
                quarantine.announced_at = now - ANNOUNCE_INTERVAL_S
        self._remove_surplus()
