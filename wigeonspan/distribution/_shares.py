"""Split of the tenants' limits over the entries."""

from collections.abc import Hashable, Mapping

from wigeonspan.common import TenantName

EQUAL_PART = 0.25
"""Part of a tenant's limit that is spread evenly whatever the demand.

An entry without demand keeps some of the limit, so that its first requests are not
refused before the next sync.
"""


class TenantShares:
    """Request rates of tenants by entry process, with running totals.

    The totals are kept up to date with each report, because adding all entries up for
    each sync costs the square of their number.
    """

    def __init__(self) -> None:
        self._rates: dict[Hashable, Mapping[TenantName, float]] = {}
        self._totals: dict[TenantName, float] = {}

    def note(self, process: Hashable, rates: Mapping[TenantName, float]) -> None:
        """Replace the rates of a process."""
        self.drop(process)
        self._rates[process] = rates
        for tenant, rate in rates.items():
            self._totals[tenant] = self._totals.get(tenant, 0.0) + rate

    def drop(self, process: Hashable) -> None:
        """Forget the rates of a process."""
        for tenant, rate in self._rates.pop(process, {}).items():
            self._totals[tenant] = max(0.0, self._totals[tenant] - rate)

    def split(self, process: Hashable, entries: int) -> dict[TenantName, float]:
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
            part = rate / total if total > 0 else 1.0 / count
            shares[tenant] = EQUAL_PART / count + (1.0 - EQUAL_PART) * part
        return shares
