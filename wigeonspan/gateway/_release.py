"""Release of prefilled prompts that no engine will fetch."""

from wigeonspan.gateway._messages import PromptHandle
from wigeonspan.gateway._progress import GenerationProgress
from wigeonspan.pool import ExchangeError

RELEASE_TIMEOUT_S = 1.0
"""Seconds within which an engine must respond to the release of a prompt."""


def release_prompt(progress: GenerationProgress, handle: PromptHandle) -> None:
    """Release a prompt that no engine will fetch, in the background."""
    context, sent_at = progress.context, progress.context.clock.now()
    limits = context.placer.limits
    if limits.wait_s(handle.source.target, sent_at):
        # The engine discards the prompt when its time to live ends.
        progress.log_event("release_skipped", target=handle.source.target)
        return
    limits.take(handle.source.target, sent_at)

    async def send_release() -> None:
        try:
            head, _ = await context.pool.fetch(
                handle.source.address,
                context.protocol.encode_release(handle),
                RELEASE_TIMEOUT_S,
                new_connection=True,
            )
            context.placer.memory.stored.discard(handle.work)
            notice = context.protocol.read_notice(head)
            context.handle_notice(handle.source, notice, sent_at)
        except ExchangeError as failure:
            # The engine discards the prompt when its time to live ends.
            progress.log_event("release_failed", why=str(failure))

    context.run_in_background(send_release())
