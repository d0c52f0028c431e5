"""Asynchronous interface of admission, where requests wait until they may run."""

import asyncio

from wigeonspan.admission import Admission, AdmissionRequest, Admitted, Queued, Refused
from wigeonspan.common import Clock, RequestId, WigeonspanError


class AsyncAdmission:
    """Makes requests wait until :class:`Admission` admits or refuses them.

    Parameters
    ----------
    admission : Admission
        Decides on the requests.
    clock : Clock
        Source of time.
    """

    def __init__(self, admission: Admission, clock: Clock) -> None:
        self._admission = admission
        self._clock = clock
        self._waiting: dict[RequestId, asyncio.Future[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    async def acquire(self, request: AdmissionRequest) -> None:
        """Wait until the request may run; :meth:`release` must be called at its end.

        Raises
        ------
        WigeonspanError
            When the request is refused, immediately or while it waits.
        """
        verdict = self._admission.offer(request, self._clock.now())
        if isinstance(verdict, Admitted):
            return
        if isinstance(verdict, Refused):
            raise _refusal_error(verdict)
        await self._wait(verdict)

    def release(self, request: RequestId) -> None:
        """Record the end of a request."""
        self._admission.record_end(request, self._clock.now())
        self.poll()

    def poll(self) -> None:
        """Deliver new verdicts to the waiting requests."""
        while verdicts := self._admission.poll(self._clock.now()):
            for verdict in verdicts:
                self._deliver(verdict)
        self._set_timer()

    def _deliver(self, verdict: Admitted | Refused) -> None:
        future = self._waiting.pop(verdict.request, None)
        if future is None or future.done():
            # The caller closed its connection while the request waited.
            self._admission.record_end(verdict.request, self._clock.now())
        elif isinstance(verdict, Refused):
            future.set_exception(_refusal_error(verdict))
        else:
            future.set_result(None)

    async def _wait(self, verdict: Queued) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[verdict.request] = future
        self._set_timer()
        try:
            await future
        except asyncio.CancelledError:
            self._waiting.pop(verdict.request, None)
            self.release(verdict.request)
            raise

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._clock.now()
        due = self._admission.next_wakeup(now)
        if due is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.001, due - now), self.poll)


def _refusal_error(verdict: Refused) -> WigeonspanError:
    return WigeonspanError(
        verdict.kind, verdict.message, retry_after_s=verdict.retry_after_s
    )
