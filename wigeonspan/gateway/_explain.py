"""Explanation of where a request would go; it changes nothing in the gateway."""

import copy
from collections.abc import Callable

from wigeonspan.common import ErrorKind, ServiceName, WigeonspanError
from wigeonspan.explain import (
    ExplainQuery,
    Explanation,
    MatchedRoute,
    ServiceExplanation,
    Verdict,
)
from wigeonspan.fleetconfig import CallKind, FleetConfig, Route, TenantSpec
from wigeonspan.gateway._active_request import UNCONFIRMED_RETRY_S
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._failures import failure_error
from wigeonspan.gateway._progress import unsized_prompt
from wigeonspan.placing import Limit, Plan, Prompt, Refusal, priority_band
from wigeonspan.tenants import effective_priority

NO_CONFIG_RETRY_S = 0.3
"""Seconds after which callers are told to return while there is no configuration."""


class _Refused(Exception):
    def __init__(self, verdict: Verdict) -> None:
        super().__init__(verdict.reason)
        self.verdict = verdict


class RequestExplainer:
    """Explain requests with copies of the state that serving them would change.

    Parameters
    ----------
    context : GatewayContext
        State of the gateway, which is only read.
    is_open : callable
        Whether the gateway serves requests.
    margin_s : float
        Seconds by which the internal deadline precedes the caller's.
    """

    def __init__(
        self, context: GatewayContext, is_open: Callable[[], bool], margin_s: float
    ) -> None:
        self._context = context
        self._is_open = is_open
        self._margin_s = margin_s

    def explain(self, query: ExplainQuery) -> Explanation:
        """Return where a request would go now, or why it would be refused."""
        context = self._context
        now = context.clock.now()
        route: Route | None = None
        tenant: TenantSpec | None = None
        refusal, services = None, []
        try:
            config = self._config()
            route = self._route(query)
            tenant = self._find_tenant(config, query, route)
            self._check_size(config, query)
            waits_s = self._waits_s(query, route)
            self._check_stop(waits_s, now)
            services = self._explain_services(
                config, route, tenant, query, waits_s, now
            )
        except _Refused as refused:
            refusal = refused.verdict
        return Explanation(
            context.host,
            context.config.version,
            context.target_table.age_ms(now),
            None if route is None else _matched(route),
            None if tenant is None else tenant.name,
            None if route is None else _priority(route, tenant),
            refusal,
            services,
        )

    def _config(self) -> FleetConfig:
        config = self._context.config.config
        if config is None or not self._is_open():
            reason = "no configuration yet"
            raise _refused(ErrorKind.NO_TARGET, reason, NO_CONFIG_RETRY_S)
        return config

    def _route(self, query: ExplainQuery) -> Route:
        table = self._context.config.table
        route = (
            None
            if table is None
            else table.match(query.host, query.path.partition("?")[0])
        )
        if route is None:
            raise _refused(ErrorKind.UNKNOWN_ROUTE, "no route for this host and path")
        return route

    def _find_tenant(
        self, config: FleetConfig, query: ExplainQuery, route: Route
    ) -> TenantSpec | None:
        """Return the tenant of the request; None when it has none and needs none."""
        if config.tenants is None:
            return None
        context = self._context
        # The check itself records a turn of the event loop.
        freshness = copy.copy(context.freshness)
        if not route.public and not freshness.is_fresh(
            context.boot_clock.now(), context.max_key_age_s
        ):
            reason = "the keys are not confirmed yet"
            raise _refused(ErrorKind.NO_TARGET, reason, UNCONFIRMED_RETRY_S)
        found = [t for t in config.tenants if t.name == query.tenant]
        if found:
            if not found[0].api_keys and not route.public:
                raise _refused(ErrorKind.UNAUTHORIZED, "the tenant has no key")
            return found[0]
        if route.public:
            return None
        # The given name is not repeated: it may be a key by mistake.
        named = query.tenant is not None
        reason = "no tenant has this name" if named else "the key is missing"
        raise _refused(ErrorKind.UNAUTHORIZED, reason)

    def _check_size(self, config: FleetConfig, query: ExplainQuery) -> None:
        if query.body_bytes > config.limits.body_bytes:
            raise _refused(ErrorKind.TOO_LARGE, "the body is too large")

    def _waits_s(self, query: ExplainQuery, route: Route) -> float:
        """Return the seconds until the internal deadline."""
        waits_s = (query.waits_ms or 0) / 1000.0 or route.timeout_s
        return min(waits_s, route.timeout_s) - self._margin_s

    def _check_stop(self, waits_s: float, now: float) -> None:
        """Refuse what the head of a request decides; see ``Server.check_head``."""
        if self._context.stop.may_forecast(now):
            return
        verdict = self._stop_verdict(waits_s, waits_s, now)
        if verdict is not None:
            raise _Refused(verdict)

    def _stop_verdict(
        self, waits_s: float, expected_s: float, now: float
    ) -> Verdict | None:
        """Return the refusal of a request that may outlast a stopping entry, if any."""
        try:
            self._context.stop.check(waits_s, expected_s, now)
        except WigeonspanError as error:
            return _error_verdict(error)
        return None

    def _explain_services(
        self,
        config: FleetConfig,
        route: Route,
        tenant: TenantSpec | None,
        query: ExplainQuery,
        waits_s: float,
        now: float,
    ) -> list[ServiceExplanation]:
        total = sum(share.weight for share in route.services)
        return [
            self._explain_service(
                config,
                route,
                tenant,
                query,
                share.service,
                share.weight / total,
                waits_s,
                now,
            )
            for share in route.services
        ]

    def _explain_service(
        self,
        config: FleetConfig,
        route: Route,
        tenant: TenantSpec | None,
        query: ExplainQuery,
        service: ServiceName,
        share: float,
        waits_s: float,
        now: float,
    ) -> ServiceExplanation:
        context = self._context
        placer = context.placer.trial_copy()
        targets = context.target_table.usable(service)
        listed = [t for t in context.target_table.all() if t.service == service]
        rest = sorted({t.target for t in listed} - {t.target for t in targets})
        spec = config.service(service)
        engine = None if spec is None else spec.engine
        prompt = _prompt(query)
        quarantined = self._check_quarantine(prompt, now)
        if engine is None or route.kind is not CallKind.STREAM:
            target = placer.choose_call(targets, now)
            expected_s = context.durations.call_s(service, now)
            stopping = self._stop_verdict(waits_s, expected_s, now)
            verdict = (
                quarantined
                or stopping
                or (
                    Verdict("placed", how="call", decode=target.target)
                    if target is not None
                    else _error_verdict(
                        failure_error(
                            "no target is available",
                            ran=False,
                            deadline_passed=False,
                            pause_s=placer.return_after_s(targets, now),
                        )
                    )
                )
            )
            figures = placer.figures.of_calls(targets, now)
            return ServiceExplanation(service, share, verdict, figures, rest)
        placer.set_engines(engine.kv_tokens, engine.copy_us, engine.handle_ttl_s)
        priorities = context.config.priorities(service)
        band = priority_band(priorities, _priority(route, tenant))
        outcome = placer.plan(
            route,
            prompt,
            targets,
            waits_s,
            now,
            band=band,
            tenant=None if tenant is None else tenant.name,
        )
        rank, figures = placer.figures.of_generation(
            targets,
            prompt,
            route,
            outcome.urgency if isinstance(outcome, Plan) else None,
            band,
            now,
        )
        stopping = None
        if isinstance(outcome, Plan):
            expected_s = context.durations.stream_s(
                service, outcome.first_ms / 1000.0, prompt.output_tokens, now
            )
            stopping = self._stop_verdict(waits_s, expected_s, now)
        verdict = quarantined or stopping or _verdict(outcome, rank)
        return ServiceExplanation(service, share, verdict, figures, rest)

    def _check_quarantine(self, prompt: Prompt, now: float) -> Verdict | None:
        parts = [part.part for part in prompt.shared_parts]
        found = self._context.quarantine.find(parts, now)
        if found is None:
            return None
        return Verdict(
            "refused",
            "targets crashed on a part of the prompt, unless it is let through as a "
            "trial",
            Limit.QUARANTINE.value,
            found.retry_after_s,
        )


def _prompt(query: ExplainQuery) -> Prompt:
    """Return the prompt as which a request is placed."""
    if not (query.parts or query.input_tokens or query.output_tokens):
        return unsized_prompt(query.body_bytes)
    return Prompt(
        query.parts,
        query.input_tokens,
        query.output_tokens,
        query.body_bytes,
        query.output_hint or None,
    )


def _refused(
    kind: ErrorKind, reason: str, retry_after_s: float | None = None
) -> _Refused:
    return _Refused(
        _error_verdict(WigeonspanError(kind, reason, retry_after_s=retry_after_s))
    )


def _error_verdict(error: WigeonspanError) -> Verdict:
    """Return the verdict for an error, with the retry time that a caller gets."""
    detail = error.body.error
    retry_after_s = detail.retry_after_s if detail.retry else None
    return Verdict("refused", detail.message, detail.kind.value, retry_after_s)


def _verdict(outcome: Plan | Refusal, rank: int) -> Verdict:
    if isinstance(outcome, Refusal):
        return Verdict(
            "refused",
            outcome.reason,
            outcome.limit.value,
            outcome.retry_after_s,
            rank=rank,
        )
    return Verdict(
        "placed",
        how=outcome.decision.value,
        prefill=None if outcome.prefill is None else outcome.prefill.target,
        decode=outcome.decode.target,
        rank=rank,
        wait_ms=outcome.wait_ms,
        cost_ms=outcome.cost_ms,
        slot_wait_ms=outcome.slot_wait_ms,
        first_ms=outcome.first_ms,
    )


def _matched(route: Route) -> MatchedRoute:
    return MatchedRoute(
        route.name,
        route.prefix,
        route.kind.value,
        route.priority,
        round(route.objective_s * 1000),
        round(route.timeout_s * 1000),
        route.public,
    )


def _priority(route: Route, tenant: TenantSpec | None) -> int:
    return effective_priority(route, None if tenant is None else tenant.priority)
