"""Decision whether the known keys may still be used.

It answers an entry that stands still while keys are revoked: when it goes on, its
callers' requests are read before any news of the control hosts.
"""

MAX_GAP_S = 1.0
"""Seconds between two turns of the event loop beyond which the process counts as having
been paused. A busy entry stays well below; revocations have 2.5 s or more."""


class ConfigFreshness:
    """Track whether the configuration was confirmed since the last pause.

    All times are in seconds on a clock that also advances while the host is suspended.
    """

    def __init__(self) -> None:
        self._turn_at: float | None = None
        self._paused_until: float | None = None
        self._confirmed_at: float | None = None
        self._has_news = False

    def record_turn(self, now: float) -> bool:
        """Record a turn of the event loop.

        Returns
        -------
        bool
            Whether a pause has ended since the last call, whoever noticed it.
        """
        self._notice_pause(now)
        was_paused, self._has_news = self._has_news, False
        return was_paused

    def record_confirmation(self, sent_at: float) -> None:
        """Record that a control host has confirmed the configuration as the newest.

        Parameters
        ----------
        sent_at : float
            Time at which the heartbeat was sent. A reply to an earlier one may have
            waited while this process was paused.
        """
        self._confirmed_at = max(self._confirmed_at or sent_at, sent_at)
        if self._paused_until is not None and sent_at >= self._paused_until:
            self._paused_until = None

    def is_fresh(self, now: float, max_age_s: float | None) -> bool:
        """Return whether keys may be checked against the known configuration.

        Parameters
        ----------
        max_age_s : float or None
            Longest time in seconds since the last confirmation; None for no limit.
        """
        self._notice_pause(now)
        if self._paused_until is not None:
            return False
        if max_age_s is None:
            return True
        return self._confirmed_at is not None and now - self._confirmed_at <= max_age_s

    def _notice_pause(self, now: float) -> None:
        if self._turn_at is not None and now - self._turn_at > MAX_GAP_S:
            self._paused_until = now
            self._has_news = True
        self._turn_at = now
