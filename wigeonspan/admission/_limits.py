"""Limits of one tenant on one entry."""

from wigeonspan.catalog import Tenant


class TenantLimits:
    """Token bucket and concurrency of a tenant, scaled to the entry's share.

    Parameters
    ----------
    tenant : Tenant
        Limits over the whole deployment.
    share : float
        Part of them that this entry may use, from 0 to 1.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, tenant: Tenant, share: float, now: float) -> None:
        self._tenant = tenant
        self._share = share
        self._tokens = self._capacity()
        self._filled_at = now
        self.running = 0

    @property
    def weight(self) -> float:
        """Weight in the fair queue."""
        return max(self._tenant.weight, 1e-6)

    @property
    def concurrency(self) -> int:
        """Requests that may run at once.

        An entry with any share may run one request, so that a limit below the number
        of entries does not stop the tenant.
        """
        if self._share <= 0 or self._tenant.concurrency <= 0:
            return 0
        return max(1, int(self._tenant.concurrency * self._share + 1e-9))

    def update(self, tenant: Tenant, share: float, now: float) -> None:
        """Change limits or share; tokens that no longer fit are dropped."""
        self._fill(now)
        self._tenant = tenant
        self._share = share
        self._tokens = min(self._tokens, self._capacity())

    def take_token(self, now: float) -> float:
        """Take one token.

        Returns
        -------
        float
            0 when one was taken, otherwise the seconds until there is one.
        """
        self._fill(now)
        if self._tokens >= 1 - 1e-9:
            self._tokens -= 1
            return 0.0
        rate = self._tenant.rate_per_s * self._share
        return (1 - self._tokens) / rate if rate > 0 else 60.0

    def return_token(self) -> None:
        """Give back the token of a request that was refused."""
        self._tokens = min(self._tokens + 1, self._capacity())

    def _capacity(self) -> float:
        """Return the bucket's size; below one token nothing could ever pass."""
        return max(1.0, self._tenant.burst * self._share)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        gained = elapsed * self._tenant.rate_per_s * self._share
        self._tokens = min(self._tokens + gained, self._capacity())
        self._filled_at = now
