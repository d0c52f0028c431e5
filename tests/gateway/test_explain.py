"""Tests of explanations, which must change nothing in the gateway."""

import random
from collections import deque
from enum import Enum

import pytest
from msgspec import Struct, structs

from wigeonspan.common import (
    DomainName,
    HostId,
    ManualClock,
    ServiceName,
    TenantName,
    decode,
    encode,
)
from wigeonspan.explain import ExplainQuery, Explanation
from wigeonspan.fleetconfig import (
    ApiKey,
    CallKind,
    EngineTraits,
    FleetConfig,
    Route,
    ServiceSpec,
    StoredConfig,
    TenantSpec,
    WeightedService,
)
from wigeonspan.gateway._config import ConfigHolder
from wigeonspan.gateway._context import GatewayContext
from wigeonspan.gateway._explain import RequestExplainer
from wigeonspan.placing import Placer, Prompt, PromptPart, RetryBudget, Work, WorkKind
from wigeonspan.pool import ConnectionPool
from wigeonspan.targets import Listing, Phase, Target, TargetId, TargetTable
from wigeonspan.trail import ProcessMetrics

MODELS, APP = ServiceName("models"), ServiceName("app")
DOMAIN = DomainName("a")
KEY = "kn2ft-secret-of-hule"


def make_route(name, kind, service, public=False):
    return Route(
        name,
        "h",
        f"/{name}/",
        kind,
        (WeightedService(service, 1.0),),
        timeout_s=10.0,
        objective_s=0.8,
        pause_objective_s=0.25,
        priority=2,
        public=public,
    )


CHAT = make_route("chat", CallKind.STREAM, MODELS)
BOOK = make_route("book", CallKind.NON_IDEMPOTENT, APP)
OPEN = make_route("open", CallKind.STREAM, MODELS, public=True)
TENANTS = (TenantSpec(TenantName("hule"), (ApiKey(KEY),), 0),)


def make_target(name, service, phase, domain="a"):
    return Target(
        TargetId(name), service, "a:1", DomainName(domain), 8, phase=phase, born_ms=1
    )


TARGETS = [
    *(make_target(f"p{n}", MODELS, Phase.PREFILL, "ab"[n % 2]) for n in range(8)),
    *(make_target(f"d{n}", MODELS, Phase.DECODE) for n in range(4)),
    *(make_target(f"t{n}", APP, Phase.NONE) for n in range(3)),
]


class Recorder:
    """Replacement for the link and the log that counts what it is given."""

    def __init__(self):
        self.number = 0

    def publish(self, event):
        self.number += 1

    def write(self, part, event, **fields):
        self.number += 1


def make_context(tenants=None):
    """Return a context with some work, caches, failures, limits and a pace."""
    clock, recorder = ManualClock(100.0), Recorder()
    table = TargetTable()
    table.update(Listing(tuple(TARGETS)), 99.5)
    specs = (
        ServiceSpec(MODELS, "/health", 100, EngineTraits(8, 100_000, 5.0, 3.0, 5.0)),
        ServiceSpec(APP, "/health", 100),
    )
    fleet = FleetConfig(3, (CHAT, BOOK, OPEN), specs, tenants=tenants)
    config = ConfigHolder(lambda document: fleet, recorder)
    config.offer(StoredConfig(3, b""), "test")
    context = GatewayContext(
        host=HostId("e"),
        clock=clock,
        protocol=None,
        config=config,
        target_table=table,
        placer=Placer(DOMAIN, random.Random(7)),
        budget=RetryBudget(0.0, 1.0, 1.0),
        pool=ConnectionPool(clock),
        link=recorder,
        event_log=recorder,
        metrics=ProcessMetrics(),
        boot_clock=clock,
    )
    placer = context.placer
    # An ordinary request sets these, too.
    placer.set_engines(90_000, 4.0)
    placer.pace.update(TARGETS, 90.0)
    placer.pace.update(
        [structs.replace(t, born_ms=2 if t.target == "p3" else 1) for t in TARGETS],
        99.0,
    )
    for n in range(6):
        for target, kind in (("p0", WorkKind.PREFILL), ("d1", WorkKind.DECODE)):
            work = Work(f"{target}{n}", HostId("o"), TargetId(target), kind, 90.0, n)
            placer.ledger.begin(work, 99.8)
    part = PromptPart("sys", 5000)
    placer.prefixes.begin("x", TargetId("p1"), (part,), 5000)
    placer.prefixes.end("x", completed=True)
    placer.health.record_failure(TargetId("p2"), 99.9, unreachable=True)
    placer.health.pause(TargetId("t1"), 101.0)
    placer.limits.learn(TargetId("d2"), 5.0, 99.0)
    return context


def explainer(context, is_open=True):
    return RequestExplainer(context, lambda: is_open, 0.01)


PARTS = (PromptPart("sys", 5000), PromptPart("own", 1000))
QUERIES = [
    ExplainQuery("h", "/chat/x", input_tokens=6000, output_tokens=40, parts=PARTS),
    ExplainQuery("h", "/chat/x", input_tokens=900_000, output_tokens=40),
    ExplainQuery("h", "/book/x"),
    ExplainQuery("h", "/none/x"),
]


def snapshot(value, seen):
    """Return the complete state of an object as plain values."""
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, (str, bytes, int, float, bool, type(None), Enum, type)):
        return value
    if id(value) in seen:
        return "seen"
    seen.add(id(value))
    if isinstance(value, dict):
        return [(snapshot(k, seen), snapshot(v, seen)) for k, v in value.items()]
    if isinstance(value, (list, tuple, deque)):
        return [snapshot(v, seen) for v in value]
    if isinstance(value, (set, frozenset)):
        return sorted(map(repr, value))
    if isinstance(value, Struct):
        fields = value.__struct_fields__
        return [(f, snapshot(getattr(value, f), seen)) for f in fields]
    state = dict(getattr(value, "__dict__", {}))
    # What the ledger keeps between calls at one time follows from the rest.
    state.pop("_slowness_at", None)
    state.pop("_slowness_by_target", None)
    state.pop("_median_slowness", None)
    return [(name, snapshot(v, seen)) for name, v in state.items()]


def state_of(context):
    parts = [
        context.placer,
        context.target_table,
        context.budget,
        context.quarantine,
        context.durations,
        context.stop,
        context.freshness,
        context.read_ms,
        context.stream_s,
    ]
    return [snapshot(part, set()) for part in parts]


def place(context):
    """Return what the placer decides for a series of requests."""
    placer, results = context.placer, []
    models = context.target_table.usable(MODELS)
    apps = context.target_table.usable(APP)
    for n in range(30):
        now = 100.0 + n / 50
        for query in QUERIES[:2]:
            prompt = Prompt(query.parts, query.input_tokens, query.output_tokens)
            results.append(placer.plan(CHAT, prompt, models, 9.99, now))
        results.append(placer.choose_call(apps, now))
        results.append(placer.return_after_s(models, now))
    return results


def test_plan_after_an_explanation_is_the_same():
    """Guards against random draws, statistics and turns that a question uses up."""
    asked, other = make_context(), make_context()
    for query in QUERIES * 5:
        explainer(asked).explain(query)
    assert place(asked) == place(other)


@pytest.mark.parametrize("tenants", [None, TENANTS])
def test_explanation_changes_no_state(tenants):
    """Guards against a question that is counted, logged or published."""
    context = make_context(tenants)
    before, metrics = state_of(context), context.metrics.text()
    recorded = context.event_log.number
    for query in QUERIES:
        for tenant in (None, TenantName("hule")):
            explainer(context).explain(structs.replace(query, tenant=tenant))
    assert state_of(context) == before
    assert context.metrics.text() == metrics
    assert context.event_log.number == recorded
    # The comparison sees what a decision changes.
    place(context)
    assert state_of(context) != before


def test_explained_plan_is_the_one_that_follows():
    """Guards against an explanation by other rules than those that place requests."""
    context = make_context()
    for query in [*QUERIES[:1] * 3, ExplainQuery("h", "/chat/", input_tokens=300)]:
        [service] = explainer(context).explain(query).services
        prompt = Prompt(query.parts, query.input_tokens, query.output_tokens)
        context.placer.set_engines(100_000, 5.0)
        targets = context.target_table.usable(MODELS)
        plan = context.placer.plan(CHAT, prompt, targets, 9.99, 100.0)
        verdict = service.verdict
        assert verdict.outcome == "placed" and verdict.how == plan.decision.value
        assert verdict.prefill == (plan.prefill and plan.prefill.target)
        assert verdict.decode == plan.decode.target
        assert (verdict.rank, verdict.first_ms) == (plan.urgency, plan.first_ms)
    context = make_context()
    [service] = explainer(context).explain(QUERIES[2]).services
    targets = context.target_table.usable(APP)
    chosen = context.placer.choose_call(targets, 100.0)
    assert (service.verdict.how, service.verdict.decode) == ("call", chosen.target)


def test_request_without_token_counts_is_explained_by_its_body():
    """A request whose tokens are not known was explained as an empty prompt, and is
    placed as one with a token for each byte."""
    context = make_context()
    query = ExplainQuery("h", "/chat/x", body_bytes=20_000)
    [service] = explainer(context).explain(query).services
    context.placer.set_engines(100_000, 5.0)
    targets = context.target_table.usable(MODELS)
    prompt = Prompt((), 20_000, 1)
    plan = context.placer.plan(CHAT, prompt, targets, 9.99, 100.0)
    assert service.verdict.first_ms == plan.first_ms
    assert service.verdict.prefill == plan.prefill.target


def test_rank_follows_the_priority_of_the_tenant():
    """The explained rank left out the priorities, by which requests are placed."""
    tenants = (
        TenantSpec(TenantName("hule"), (ApiKey(KEY),), 0),
        TenantSpec(TenantName("fida"), (ApiKey("k2"),), 5),
    )
    ranks = {}
    for name in ("hule", "fida"):
        query = structs.replace(QUERIES[0], tenant=name)
        told = explainer(make_context(tenants)).explain(query)
        ranks[name] = told.services[0].verdict.rank
    assert ranks["hule"] < ranks["fida"]


def test_figures_tell_what_was_weighed():
    """Guards against figures that do not show why an engine is avoided."""
    context = make_context()
    explanation = explainer(context).explain(QUERIES[0])
    assert explanation.route.name == "chat" and explanation.priority == 2
    assert explanation.list_age_ms == 500 and explanation.config_version == 3
    [service] = explanation.services
    figures = {t.target: t for t in service.targets}
    assert set(figures) == {t.target for t in TARGETS if t.service == MODELS}
    assert figures["p0"].work == 6 and figures["p0"].generation.wait_ms > 0.0
    assert figures["p1"].generation.cached_tokens == 5000
    assert figures["p1"].generation.prefilled_tokens == 1000
    assert figures["p1"].generation.cross_domain_ms > 0.0
    assert not figures["p2"].available and figures["p2"].penalty_ms > 0.0
    assert figures["p3"].pace_limit == 1
    assert figures["d1"].streams == 6 and figures["d1"].slots == 8
    [calls] = explainer(context).explain(QUERIES[2]).services
    pauses = {t.target: t.pause_s for t in calls.targets}
    assert pauses == {"t0": 0.0, "t1": pytest.approx(1.0), "t2": 0.0}


def test_refusal_has_its_reason_and_retry_time():
    """Guards against a refused request that looks placed."""
    context = make_context()
    verdict = explainer(context).explain(QUERIES[1]).services[0].verdict
    assert (verdict.outcome, verdict.limit) == ("refused", "time")
    assert verdict.retry_after_s > 1.0 and "first event expected" in verdict.reason
    for target in TARGETS:
        context.target_table.record_leaving(target.target, target.born_ms)
    [service] = explainer(context).explain(QUERIES[0]).services
    assert service.verdict.limit == "no_engine" and service.targets == []
    assert "p0" in service.not_for_new_work
    [service] = explainer(context).explain(QUERIES[2]).services
    assert (service.verdict.limit, service.verdict.outcome) == ("no_target", "refused")


@pytest.mark.parametrize(
    ("query", "is_open", "limit"),
    [
        (QUERIES[3], True, "unknown_route"),
        (QUERIES[0], False, "no_target"),
        (structs.replace(QUERIES[0], body_bytes=10**8), True, "too_large"),
    ],
)
def test_refusal_before_placement(query, is_open, limit):
    """Guards against figures for a request that would not get that far."""
    explanation = explainer(make_context(), is_open).explain(query)
    assert explanation.refusal.limit == limit and explanation.services == []


def test_stopping_entry_tells_so():
    """Guards against a place at an entry that refuses new requests."""
    context = make_context()
    context.stop.begin(99.0, 101.0)
    assert explainer(context).explain(QUERIES[0]).refusal.limit == "draining"


@pytest.mark.parametrize("query", [QUERIES[0], QUERIES[2]])
@pytest.mark.parametrize("end_at", [100.3, 108.0])
def test_entry_that_stops_without_a_ready_peer_explains_by_forecast(query, end_at):
    """Such an entry still accepts what will probably be complete in time, and was
    explained as refusing everything."""
    context = make_context()
    context.stop.set_ready_peer(False)
    context.stop.begin(99.0, end_at)
    record_durations(context)
    before = state_of(context)
    explanation = explainer(context).explain(query)
    assert explanation.refusal is None
    [service] = explanation.services
    limit = "" if end_at == 108.0 else "draining"
    assert service.verdict.limit == limit
    assert state_of(context) == before


def record_durations(context):
    """Record streams and calls of half a second."""
    for service, tokens in ((MODELS, 40), (APP, 0)):
        for _ in range(40):
            timer = context.durations.begin(service, tokens, 90.0)
            timer.planned_s = 0.1
            if tokens:
                timer.record_event(90.1)
            context.durations.end(timer, 90.5, completed=True)


def test_quarantined_part_is_told_and_not_recorded():
    """Guards against a question that uses up the trial of a part."""
    context = make_context()
    part = PARTS[0].part
    for n in range(6):
        # Each of these crashes is at another target.
        context.record_break(make_target(f"p{n}", MODELS, Phase.PREFILL), (part,), 99.9)
        context.clock.advance(3.0)
        context.update_quarantine()
    assert context.quarantine.quarantined
    before = state_of(context)
    query = QUERIES[0]
    verdict = explainer(context).explain(query).services[0].verdict
    assert verdict.limit == "quarantine" and verdict.retry_after_s > 0.0
    assert state_of(context) == before


def test_tenant_and_priority():
    """Guards against the level of the route for a tenant with a level of its own."""
    context = make_context(TENANTS)
    query = structs.replace(QUERIES[0], tenant=TenantName("hule"))
    explanation = explainer(context).explain(query)
    assert (explanation.tenant, explanation.priority) == ("hule", 0)
    assert explanation.refusal is None and explanation.services
    missing = explainer(context).explain(QUERIES[0])
    assert missing.refusal.limit == "unauthorized"
    public = explainer(context).explain(structs.replace(QUERIES[0], path="/open/x"))
    assert public.refusal is None and public.tenant is None


def test_keys_are_not_shown():
    """Guards against a key in an answer, also when it is given as a tenant's name."""
    context = make_context(TENANTS)
    for tenant in (TenantName("hule"), TenantName(KEY), None):
        for path in ("/chat/x", "/open/x"):
            query = structs.replace(QUERIES[0], tenant=tenant, path=path)
            answer = encode(explainer(context).explain(query))
            assert KEY.encode() not in answer
            decode(answer, Explanation)


def test_unconfirmed_keys_are_told_and_the_pause_stays_known():
    """Guards against a question that hides a pause from the check of the process."""
    context = make_context(TENANTS)
    context.freshness.record_turn(100.0)
    context.clock.advance(5.0)
    query = structs.replace(QUERIES[0], tenant=TenantName("hule"))
    assert explainer(context).explain(query).refusal.limit == "no_target"
    assert context.freshness.record_turn(context.boot_clock.now())
