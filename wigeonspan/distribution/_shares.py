"""Division of the tenants' limits among the entries."""

from collections.abc import Hashable, Mapping

from wigeonspan.common import TenantName

EQUAL_FRACTION = 0.25
"""Fraction of a tenant's limit that is divided equally, regardless of demand.

It gives an entry without demand a part of the limit, so that its first requests are
not refused before the next sync.
"""


class TenantShares:
    """Track the tenants' request rates by entry process, and their totals.

    The totals are updated with each report, because summing over all entries at each
    sync would cost time quadratic in their number.
    """

    def __init__(self) -> None:
        self._rates: dict[Hashable, Mapping[TenantName, float]] = {}
        self._totals: dict[TenantName, float] = {}

    def record_rates(
        self, process: Hashable, rates: Mapping[TenantName, float]
    ) -> None:
        """Record the request rates of a process in place of its earlier ones."""
        self.remove(process)
        self._rates[process] = rates
        for tenant, rate in rates.items():
            self._totals[tenant] = self._totals.get(tenant, 0.0) + rate

    def remove(self, process: Hashable) -> None:
        """Remove the rates of a process."""
        for tenant, rate in self._rates.pop(process, {}).items():
            self._totals[tenant] = max(0.0, self._totals[tenant] - rate)

    def compute_shares(
        self, process: Hashable, entries: int
    ) -> dict[TenantName, float]:
        """Return the share of each tenant's limit that a process may use.

        Parameters
        ----------
        process : Hashable
            Process that has reported.
        entries : int
            Number of live entries.
        """
        count = max(1, entries)
        shares = {}
        for tenant, rate in self._rates[process].items():
            total = max(rate, self._totals[tenant])
            demand_fraction = rate / total if total > 0 else 1.0 / count
            shares[tenant] = (
                EQUAL_FRACTION / count + (1.0 - EQUAL_FRACTION) * demand_fraction
            )
        return shares
