"""Question about a request, and the answer of an entry."""

from msgspec import Struct

from wigeonspan.common import HostId, ServiceName, TenantName
from wigeonspan.placing import PromptPart, TargetFigures

EXPLAIN_PATH = "/explain"
"""Path at the metrics address of an entry."""


class ExplainQuery(Struct, frozen=True):
    """Request to explain. It has no field for a key.

    Parameters
    ----------
    tenant : TenantName or None
        Tenant that would send it; None for a request without a key.
    input_tokens, output_tokens : int
        Sizes that the request states; both 0 when it states none.
    parts : tuple of PromptPart
        Parts of the prompt; the last one is specific to the request.
    waits_ms : int or None
        Milliseconds for which the caller waits; None for the route's time-out.
    output_hint : int
        The caller's estimate of the tokens of the answer; 0 when there is none.
    """

    host: str
    path: str
    tenant: TenantName | None = None
    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    body_bytes: int = 0
    waits_ms: int | None = None
    output_hint: int = 0


class MatchedRoute(Struct, frozen=True):
    """Route of a request, with the figures that decide about it."""

    name: str
    prefix: str
    kind: str
    priority: int
    objective_ms: int
    timeout_ms: int
    public: bool


class Verdict(Struct, frozen=True, omit_defaults=True):
    """What would become of a request.

    Parameters
    ----------
    outcome : str
        ``placed`` or ``refused``.
    reason : str
        Why it is refused.
    limit : str
        Limit or kind of error that causes the refusal.
    retry_after_s : float or None
        Seconds after which a retry is expected to be served; None without such a time.
    how : str
        Whether prefill and decode are separate; ``call`` for a plain call.
    prefill, decode : str or None
        Chosen engines; ``decode`` is the target of a plain call.
    rank : int or None
        Rank at the engines; 0 goes first.
    wait_ms, cost_ms, slot_wait_ms, first_ms : float or None
        Expected times in milliseconds of the plan.
    """

    outcome: str
    reason: str = ""
    limit: str = ""
    retry_after_s: float | None = None
    how: str = ""
    prefill: str | None = None
    decode: str | None = None
    rank: int | None = None
    wait_ms: float | None = None
    cost_ms: float | None = None
    slot_wait_ms: float | None = None
    first_ms: float | None = None


class ServiceExplanation(Struct, frozen=True):
    """Decision for one service of a route.

    Parameters
    ----------
    share : float
        Share of the route's requests that go to the service.
    targets : list of TargetFigures
        Targets that may get new work.
    not_for_new_work : list of str
        Listed targets that are leaving or change their phase.
    """

    service: ServiceName
    share: float
    verdict: Verdict
    targets: list[TargetFigures]
    not_for_new_work: list[str]


class Explanation(Struct, frozen=True):
    """Answer of an entry.

    Parameters
    ----------
    list_age_ms : int or None
        Age of the list of targets; None before the first.
    tenant : TenantName or None
        Tenant in the configuration in force.
    priority : int or None
        Effective priority level: the tenant's, else the route's.
    refusal : Verdict or None
        Refusal before the request would be placed.
    """

    entry: HostId
    config_version: int
    list_age_ms: int | None
    route: MatchedRoute | None = None
    tenant: TenantName | None = None
    priority: int | None = None
    refusal: Verdict | None = None
    services: list[ServiceExplanation] = []
