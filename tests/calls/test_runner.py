"""Tests of the entry side of calls: at most one execution, whichever process fails."""

import asyncio

import pytest

from wigeonspan.calls import CallOutcome, CallState, CallTable, ExpireCalls
from wigeonspan.calls.tasks import CallRunner, ExecutionResult, KeyedCall, SendResult
from wigeonspan.common import ErrorKind, ExecutionState, ManualClock, WigeonspanError

OUTCOME = CallOutcome(201, "application/json", b"{}")


class Killed(BaseException):
    """Simulates that the entry process is killed at this step."""


class Deployment:
    """Simulated call state, service that counts executions, and entries to kill."""

    def __init__(self, kill_at=""):
        self.table = CallTable()
        self.clock = ManualClock(100.0, 1_000_000)
        self.executions = 0
        self.kill_at = kill_at
        self.lease = True
        self.unreachable = ""

    def raise_if_killed_at(self, step):
        if step == self.kill_at:
            self.kill_at = ""
            raise Killed

    async def post(self, path, message, reply, deadline):
        name = path.rsplit("/", 1)[1]
        self.raise_if_killed_at(f"before {name}")
        await asyncio.sleep(0)
        if self.unreachable == f"before {name}":
            raise WigeonspanError(ErrorKind.NO_QUORUM, "no answer")
        result = self.table.apply(1, message)
        if self.unreachable == f"after {name}":
            raise WigeonspanError(ErrorKind.NO_QUORUM, "no answer")
        await asyncio.sleep(0)
        self.raise_if_killed_at(f"after {name}")
        return result

    async def send(self):
        self.raise_if_killed_at("before execution")
        await asyncio.sleep(0)
        self.executions += 1
        self.raise_if_killed_at("after execution")
        return ExecutionResult(SendResult.ANSWERED, OUTCOME)

    def runner(self, entry="entry-1"):
        return CallRunner(entry, self.post, lambda: self.lease, self.clock)

    def call(self, body="a"):
        return KeyedCall("archive", "loans", "k", body, self.clock.now() + 5)

    def expire(self):
        self.clock.advance(60)
        self.table.apply(1, ExpireCalls(self.clock.wall_ms()))


STEPS = {
    "before open": (0, "done"),
    "after open": (0, "outcome_unknown"),
    "before execution": (0, "outcome_unknown"),
    "after execution": (1, "outcome_unknown"),
    "before close": (1, "outcome_unknown"),
    "after close": (1, "done"),
}


async def _run(deployment, entry="entry-1", body="a", send=None):
    """Run a call and return ``done`` or the error kind that the caller receives."""
    runner = deployment.runner(entry)
    try:
        await runner.run(deployment.call(body), send or deployment.send)
    except WigeonspanError as error:
        return error.kind.value
    finally:
        await runner.wait_closed()
    return "done"


async def _run_killed(deployment):
    """Run a call on an entry that is killed, and cancel its close tasks as well."""
    runner = deployment.runner()
    try:
        await runner.run(deployment.call(), deployment.send)
        await asyncio.sleep(0)
    except Killed:
        return
    finally:
        for task in list(runner._close_tasks):
            task.cancel()


@pytest.mark.parametrize("step", STEPS)
def test_killed_entry_never_causes_a_second_execution(step):
    """A call must not run again after its entry was killed.

    A booking once ran again because its entry had not reported the outcome.
    """
    executed, answer = STEPS[step]

    async def work():
        deployment = Deployment(kill_at=step)
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        killed = asyncio.create_task(_run_killed(deployment))
        await asyncio.wait({killed})
        at_kill = deployment.executions
        immediate = await _run(deployment, "entry-2")
        deployment.expire()
        later = await _run(deployment, "entry-2")
        return at_kill, immediate, later, deployment.executions

    at_kill, immediate, later, executions = asyncio.run(work())
    assert at_kill == executed
    assert executions <= 1
    assert immediate in ("done", "call_in_progress")
    assert later == answer


@pytest.mark.parametrize("entries", [2, 5])
def test_same_key_in_parallel_runs_once(entries):
    """Only one of several parallel requests with the same key may run.

    Two entries once ran the same booking because each kept its own record of the call.
    """

    async def work():
        deployment = Deployment()
        runs = [_run(deployment, f"entry-{i}") for i in range(entries)]
        answers = await asyncio.gather(*runs)
        return answers, deployment.executions

    answers, executions = asyncio.run(work())
    assert executions == 1
    assert sorted(answers).count("done") >= 1
    assert set(answers) <= {"done", "call_in_progress"}


def test_same_key_with_another_body_is_refused():
    """A key that is reused for a different call must be refused.

    The stored response of one booking was once returned for a different one.
    """

    async def work():
        deployment = Deployment()
        return [await _run(deployment, body=b) for b in ("a", "b", "a")], deployment

    answers, deployment = asyncio.run(work())
    assert answers == ["done", "key_conflict", "done"]
    assert deployment.executions == 1


def _sender(results):
    """Return a send function that returns or raises the given results in order."""
    remaining_results = list(results)

    async def send():
        result = remaining_results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    return send


NOTHING = ExecutionResult(SendResult.NOTHING_SENT, message="refused")
NO_TARGET = WigeonspanError(ErrorKind.NO_TARGET, "no target")


@pytest.mark.parametrize(
    ("results", "answer", "state"),
    [
        ([ExecutionResult(SendResult.ANSWERED, OUTCOME)], "done", CallState.DONE),
        (
            [NOTHING, ExecutionResult(SendResult.ANSWERED, OUTCOME)],
            "done",
            CallState.DONE,
        ),
        ([NOTHING, NO_TARGET], "no_target", CallState.NOT_RUN),
        ([ExecutionResult(SendResult.UNKNOWN)], "outcome_unknown", CallState.UNKNOWN),
    ],
)
def test_call_is_closed_with_the_known_outcome(results, answer, state):
    """A call must be closed with the state that its attempts show.

    A call that may have run was once closed as not run, and its key was granted again.
    """

    async def work():
        deployment = Deployment()
        caller_result = await _run(deployment, send=_sender(results))
        return caller_result, deployment.table.get("archive", "loans", "k").state

    assert asyncio.run(work()) == (answer, state)


def test_grant_without_a_lease_is_not_executed():
    """An entry without a routing lease must not execute a call that it was granted.

    A lease once ended while the grant was committed, and the call ran nevertheless.
    """

    async def work():
        deployment = Deployment()
        deployment.lease = False
        first = await _run(deployment)
        deployment.lease = True
        return first, await _run(deployment), deployment.executions

    assert asyncio.run(work()) == ("lease_expired", "done", 1)


@pytest.mark.parametrize(
    ("unreachable", "caller_result", "executions"),
    [
        ("before open", "no_quorum", 0),
        ("after open", "no_quorum", 0),
        ("before close", "done", 1),
        ("after close", "done", 1),
    ],
)
def test_lost_leader_never_causes_a_second_execution(
    unreachable, caller_result, executions
):
    """A call must not be executed if the reply to its ``OpenCall`` was lost.

    Another entry may have been granted the key meanwhile.
    """

    async def work():
        deployment = Deployment()
        deployment.unreachable = unreachable
        first = await _run(deployment)
        deployment.unreachable = ""
        second = await _run(deployment, "entry-2")
        return first, second, deployment.executions

    first, second, ran = asyncio.run(work())
    assert first == caller_result and ran <= 1
    assert second in ("done", "call_in_progress")


def test_error_says_not_run_only_when_nothing_was_sent():
    """An error must report a call as not run only if nothing was sent.

    A call was once reported as not run although a service had executed it.
    """

    async def work():
        runner = Deployment().runner()
        with pytest.raises(WigeonspanError) as caught:
            await runner.run(
                Deployment().call(), _sender([ExecutionResult(SendResult.UNKNOWN)])
            )
        return caught.value.ran

    assert asyncio.run(work()) is ExecutionState.UNKNOWN


def test_opening_a_call_times_out_long_before_its_deadline():
    """Opening a call must fail soon if there is no quorum.

    The caller once had to wait for the error until its deadline.
    """

    async def work():
        deployment = Deployment()
        deadlines = []

        async def post(path, message, reply, deadline):
            deadlines.append(deadline - deployment.clock.now())
            raise WigeonspanError(ErrorKind.NO_QUORUM, "no leader")

        runner = CallRunner("entry-1", post, lambda: True, deployment.clock)
        call = KeyedCall("archive", "loans", "k", "a", deployment.clock.now() + 600)
        with pytest.raises(WigeonspanError) as caught:
            await runner.run(call, deployment.send)
        await runner.wait_closed()
        return caught.value, deadlines[0], deployment.executions

    error, waited_s, executions = asyncio.run(work())
    assert (error.kind, executions) == (ErrorKind.NO_QUORUM, 0)
    assert waited_s <= 10 and error.body.error.retry_after_s > 0
