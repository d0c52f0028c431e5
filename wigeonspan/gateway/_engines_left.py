"""Engines that one generation may still be sent to."""

from wigeonspan.gateway._job import Job
from wigeonspan.placing import Limit, Plan, Prompt, Refusal
from wigeonspan.pool import ExchangeFailed
from wigeonspan.targets import Target, TargetId


class EnginesLeft:
    """Engines of a service without those that have failed one request.

    An engine that took no connection is tried again, once, when no other one is left:
    a connection also fails when this process or a packet is held up for a moment.

    Parameters
    ----------
    job : Job
        The request.
    prompt : Prompt
        Its size.
    """

    def __init__(self, job: Job, prompt: Prompt) -> None:
        self._job = job
        self._prompt = prompt
        self._failed: set[TargetId] = set()
        self._unreached: set[TargetId] = set()
        self._tried_again = False

    def plan(self) -> Plan | Refusal:
        """Return where the request is to run, or why it is refused."""
        plan = self._plan()
        none_left = isinstance(plan, Refusal) and plan.limit is Limit.NO_ENGINE
        return self._plan() if none_left and self._may_try_again() else plan

    def choose(self, source: Target) -> Target | None:
        """Return the best engine to answer a prompt that another one has read."""
        engine = self._choose(source)
        if engine is None and self._may_try_again():
            engine = self._choose(source)
        return engine

    def exclude(self, engine: Target, event: str, **fields: object) -> None:
        """Leave an engine out for good, and log why."""
        self._failed.add(engine.target)
        self._job.note(
            "generation", event, failure=True, target=engine.target, **fields
        )

    def note_break(self, engine: Target, event: str, failure: ExchangeFailed) -> None:
        """Leave an engine out whose answer broke off or that took no connection."""
        if not failure.sent:
            self._unreached.add(engine.target)
        else:
            self._failed.add(engine.target)
        self._job.note(
            "generation", event, failure=True, target=engine.target, why=str(failure)
        )

    def _plan(self) -> Plan | Refusal:
        job, now = self._job, self._job.parts.clock.now()
        return job.parts.placer.plan(
            job.route,
            self._prompt,
            job.parts.board.usable(job.service),
            job.ends_at - now,
            now,
            self._failed | self._unreached,
            now - job.arrived,
        )

    def _choose(self, source: Target) -> Target | None:
        job = self._job
        return job.parts.placer.choose_decode(
            job.parts.board.usable(job.service),
            self._prompt,
            job.parts.clock.now(),
            self._failed | self._unreached,
            near=source.domain,
        )

    def _may_try_again(self) -> bool:
        if self._tried_again or not self._unreached:
            return False
        self._tried_again = True
        self._unreached.clear()
        return True
