"""Rate and concurrency limits of one tenant on one entry."""

from wigeonspan.catalog import Tenant


class TenantLimits:
    """Token bucket and concurrency limit of a tenant, scaled to the entry's share.

    Parameters
    ----------
    tenant : Tenant
        Tenant with its limits for the whole deployment.
    share : float
        Share of these limits that this entry may use, from 0 to 1.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, tenant: Tenant, share: float, now: float) -> None:
        self._tenant = tenant
        self._share = share
        self._tokens = self._capacity()
        self._refilled_at = now
        self.running = 0

    @property
    def weight(self) -> float:
        """Weight of the tenant in the fair queue; always positive."""
        return max(self._tenant.weight, 1e-6)

    @property
    def concurrency(self) -> int:
        """Number of requests that may run at once.

        An entry with a share above 0 may run at least one request. Otherwise a tenant
        whose limit is lower than the number of entries could not run any.
        """
        if self._share <= 0 or self._tenant.concurrency <= 0:
            return 0
        return max(1, int(self._tenant.concurrency * self._share + 1e-9))

    def update(self, tenant: Tenant, share: float, now: float) -> None:
        """Change the limits or the share; drop tokens above the new capacity."""
        self._refill(now)
        self._tenant = tenant
        self._share = share
        self._tokens = min(self._tokens, self._capacity())

    def take_token(self, now: float) -> float:
        """Take one token from the bucket if there is one.

        Returns
        -------
        float
            0 if a token was taken, otherwise the seconds until one is available, or
            60 if the bucket is never refilled.
        """
        self._refill(now)
        if self._tokens >= 1 - 1e-9:
            self._tokens -= 1
            return 0.0
        rate = self._tenant.rate_per_s * self._share
        return (1 - self._tokens) / rate if rate > 0 else 60.0

    def return_token(self) -> None:
        """Return the token of a request that was refused for another reason."""
        self._tokens = min(self._tokens + 1, self._capacity())

    def _capacity(self) -> float:
        """Return the bucket size; below one token no request could ever pass."""
        return max(1.0, self._tenant.burst * self._share)

    def _refill(self, now: float) -> None:
        """Add the tokens gained since the last refill."""
        elapsed = max(0.0, now - self._refilled_at)
        gained = elapsed * self._tenant.rate_per_s * self._share
        self._tokens = min(self._tokens + gained, self._capacity())
        self._refilled_at = now
