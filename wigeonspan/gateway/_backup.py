"""Second try of a step that begins while the first one is silent."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

T = TypeVar("T")


class Backup(Generic[T]):
    """A step that is tried elsewhere at most once, beside the first try.

    Parameters
    ----------
    start : callable
        Tries the step elsewhere.
    """

    def __init__(self, start: Callable[[], Coroutine[Any, Any, T]]) -> None:
        self._start = start
        self._task: asyncio.Task[T] | None = None

    @property
    def begun(self) -> bool:
        """Whether the step was tried elsewhere."""
        return self._task is not None

    @property
    def succeeded(self) -> bool:
        """Whether the step has succeeded elsewhere."""
        task = self._task
        return (
            task is not None
            and task.done()
            and not task.cancelled()
            and task.exception() is None
        )

    def begin(self) -> None:
        """Try the step elsewhere."""
        if self._task is None:
            self._task = asyncio.create_task(self._start())

    async def result(self) -> T | None:
        """Return the result, waiting for it; None when the step was not tried.

        Raises
        ------
        Exception
            The error of the try.
        """
        return None if self._task is None else await self._task

    def drop(self) -> None:
        """Cancel the try, whose result is not needed any more."""
        if self._task is not None:
            self._task.cancel()
