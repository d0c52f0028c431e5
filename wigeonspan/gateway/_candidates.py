"""Engines to which one generation may still be sent."""

from wigeonspan.gateway._job import Job
from wigeonspan.placing import Limit, Plan, Prompt, Refusal
from wigeonspan.pool import ExchangeError
from wigeonspan.targets import Target, TargetId


class CandidateEngines:
    """Engines of a service, except for those that have failed one request.

    Engines that accepted no connection are tried again, once, when no other engine
    remains: a connection attempt also fails when this process or a packet is delayed
    for a moment.

    Parameters
    ----------
    job : Job
        The request.
    prompt : Prompt
        Size of the request's prompt.
    """

    def __init__(self, job: Job, prompt: Prompt) -> None:
        self._job = job
        self._prompt = prompt
        self._failed: set[TargetId] = set()
        self._unreachable: set[TargetId] = set()
        self._retried = False

    def plan(self) -> Plan | Refusal:
        """Return the engines on which the request is to run, or why it is refused."""
        plan = self._plan()
        none_left = isinstance(plan, Refusal) and plan.limit is Limit.NO_ENGINE
        return self._plan() if none_left and self._readmit_unreachable() else plan

    def choose(self, source: Target) -> Target | None:
        """Return the best engine to produce the answer to a prompt.

        Parameters
        ----------
        source : Target
            Engine that has prefilled the prompt.
        """
        engine = self._choose(source)
        if engine is None and self._readmit_unreachable():
            engine = self._choose(source)
        return engine

    def exclude(self, engine: Target, event: str, **fields: object) -> None:
        """Exclude an engine for the rest of the request, and log why."""
        self._failed.add(engine.target)
        self._job.log_event(
            "generation", event, failure=True, target=engine.target, **fields
        )

    def exclude_after_error(
        self, engine: Target, event: str, failure: ExchangeError
    ) -> None:
        """Exclude an engine whose answer was cut off or that accepted no connection."""
        if not failure.sent:
            self._unreachable.add(engine.target)
        else:
            self._failed.add(engine.target)
        self._job.log_event(
            "generation", event, failure=True, target=engine.target, why=str(failure)
        )

    def _plan(self) -> Plan | Refusal:
        job, now = self._job, self._job.context.clock.now()
        return job.context.placer.plan(
            job.route,
            self._prompt,
            job.context.target_table.usable(job.service),
            job.deadline - now,
            now,
            self._failed | self._unreachable,
            now - job.arrived_at,
        )

    def _choose(self, source: Target) -> Target | None:
        job = self._job
        return job.context.placer.choose_decode(
            job.context.target_table.usable(job.service),
            self._prompt,
            job.context.clock.now(),
            self._failed | self._unreachable,
            near=source.domain,
        )

    def _readmit_unreachable(self) -> bool:
        """Allow the unreachable engines again, at most once; return whether it did."""
        if self._retried or not self._unreachable:
            return False
        self._retried = True
        self._unreachable.clear()
        return True
