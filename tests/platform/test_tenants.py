"""Tests of keys and tenants between callers and scripted targets."""

import asyncio

import msgspec
import pytest
from adapter import read_config

from tests.platform import gateway_harness
from tests.platform.gateway_harness import (
    IDEMPOTENT,
    NET,
    NON_IDEMPOTENT,
    SIGNED,
    STREAM,
    answers,
    count_requests,
    echo,
    model_engines,
    not_run,
    plain_engines,
    prefills,
    resets,
    route,
    shared_state,
    start_gateway,
    status,
    streams,
)
from wigeonspan.common import TenantName, WigeonspanError, encode
from wigeonspan.fleetconfig import ApiKey, StoredConfig, TenantSpec
from wigeonspan.gateway import _serve
from wigeonspan.pool import ConnectionPool, ExchangeError, FailureKind
from wigeonspan.serving import ResponseWriter

KEY = "secret-key-a"
TENANTS = (
    TenantSpec(TenantName("a"), (ApiKey(KEY),), 1),
    TenantSpec(TenantName("b"), (ApiKey("secret-key-b"),)),
)


def set_tenants(context, tenants, version, **route_fields):
    """Put a configuration with other tenants in force."""
    config = context.config.config
    routes = tuple(msgspec.structs.replace(r, **route_fields) for r in config.routes)
    newer = msgspec.structs.replace(
        config, version=version, tenants=tenants, routes=routes
    )
    context.config._read = lambda document: newer
    assert context.config.offer(StoredConfig(version, b""), "test")


async def send(*fields, usage=None):
    """Send a request with header fields and return the whole answer."""
    reader, writer = await asyncio.open_connection(f"{NET}.1.1", 18081)
    head = "POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\nDeadline-Ms: 1900\r\n"
    head += f"Token-Usage: {usage}\r\n" if usage else ""
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    writer.write(f"{head}Connection: close\r\nContent-Length: 0\r\n\r\n".encode())
    answer = await asyncio.wait_for(reader.read(), 3.0)
    writer.close()
    return answer


def serve(kind, engines, *requests, tenants=TENANTS, usage=None, **route_fields):
    """Send requests one after the other through a gateway with tenants."""

    async def run():
        context, servers = start_gateway(route(kind, resumable=True), engines)
        shared_state["context"] = context
        set_tenants(context, tenants, 2, **route_fields)
        results = [await send(*fields, usage=usage) for fields in requests]
        await asyncio.sleep(0.05)
        for server in servers:
            await server.close()
        context.pool.close()
        return results

    return asyncio.run(run())


def bearer(key):
    return ("Authorization", f"Bearer {key}")


@pytest.mark.parametrize(
    "fields",
    [
        [],
        [bearer("other")],
        [bearer("")],
        [bearer(KEY + "x")],
        [("Authorization", KEY)],
        [("Authorization", f"Basic {KEY}")],
        [bearer(KEY), bearer("other")],
        [("Tenant", "a")],
    ],
)
def test_request_without_a_valid_key_is_refused(fields):
    """Without a check, anyone could run requests and name a tenant to pay for them."""
    engines = plain_engines([answers(200)])
    answer = serve(IDEMPOTENT, engines, fields)[0]
    assert status(answer) == 401 and not count_requests(engines)
    assert b'"kind":"unauthorized"' in answer and KEY.encode() not in answer
    assert b"Retry-After" not in answer


def test_target_gets_the_name_of_the_tenant_and_not_the_key():
    """The key was passed on to targets, and a caller could name another tenant."""
    engines = model_engines([prefills], [streams(2)])
    fields = [bearer(KEY), ("Tenant", "b"), ("tenant", "c"), ("X-Other", "1")]
    answer = serve(STREAM, engines, fields, usage="600,20")[0]
    assert status(answer) == 200
    seen = [fields for engine in engines for _, _, fields in engine.seen]
    assert len(seen) == 2
    for target_fields in seen:
        assert target_fields["tenant"] == "a" and target_fields["x-other"] == "1"
        assert "authorization" not in target_fields


@pytest.mark.parametrize(
    "fields, tenant",
    [([], None), ([bearer(KEY)], "a"), ([bearer("other"), ("Tenant", "b")], None)],
)
def test_public_route_needs_no_key(fields, tenant):
    """A public route must not take the caller's word for the tenant."""
    engines = plain_engines([answers(200)])
    assert status(serve(IDEMPOTENT, engines, fields, public=True)[0]) == 200
    target_fields = engines[0].seen[0][2]
    assert target_fields.get("tenant") == tenant
    assert "authorization" not in target_fields


def test_configuration_without_tenants_passes_header_fields_on():
    """Deployments without tenants have header fields of their own by these names."""
    engines = plain_engines([answers(200)])
    fields = [bearer("anything"), ("Tenant", "x")]
    assert status(serve(IDEMPOTENT, engines, fields, tenants=None)[0]) == 200
    target_fields = engines[0].seen[0][2]
    assert target_fields["authorization"] == "Bearer anything"
    assert target_fields["tenant"] == "x"


def test_configuration_with_no_tenant_at_all_refuses_every_key():
    """An empty list of tenants must not open all routes."""
    engines = plain_engines([answers(200)])
    assert status(serve(IDEMPOTENT, engines, [bearer(KEY)], tenants=())[0]) == 401


def revokes(then):
    """Return a step of a target during which the key is revoked."""

    async def step(fields, caller):
        set_tenants(shared_state["context"], TENANTS[1:], 3)
        await then(fields, caller)

    return step


def test_key_that_is_revoked_during_a_refusal_is_not_sent_again():
    """A request that waits or is repeated must not run after its key was revoked."""
    engines = plain_engines([revokes(not_run)], [revokes(not_run)])
    answer = serve(NON_IDEMPOTENT, engines, [bearer(KEY)])[0]
    assert status(answer) == 401 and count_requests(engines) == 1


def test_key_that_is_revoked_during_a_prefill_gets_no_stream():
    """The prefill of a prompt may take seconds, in which the key may be revoked."""
    engines = model_engines([revokes(prefills)], [streams(2)])
    answer = serve(STREAM, engines, [bearer(KEY)], usage="600,20")[0]
    assert status(answer) == 401
    assert all(method == "DELETE" or "stage" in f for method, _, f in engines[0].seen)
    assert not engines[1].seen


def test_revocation_does_not_end_a_run_that_is_tried_elsewhere():
    """A silent call was dropped when its key was revoked before the second try."""

    async def step(fields, caller):
        set_tenants(shared_state["context"], TENANTS[1:], 3)
        await asyncio.sleep(1.0)
        await answers(200)(fields, caller)

    engines = plain_engines([step], [step])
    answer = serve(IDEMPOTENT, engines, [bearer(KEY)])[0]
    assert status(answer) == 200 and count_requests(engines) == 1


@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT, STREAM])
def test_key_that_is_revoked_while_connecting_runs_nothing(kind, monkeypatch):
    """A connection may take long, or this host may be paused, after the check."""
    connect = ConnectionPool._connect

    async def connect_late(pool, address):
        connection = await connect(pool, address)
        if shared_state["context"].config.version < 3:
            set_tenants(shared_state["context"], TENANTS[1:], 3)
        return connection

    monkeypatch.setattr(ConnectionPool, "_connect", connect_late)
    usage = "600,20" if kind is STREAM else None
    engines = (
        model_engines([prefills], [streams(2)])
        if kind is STREAM
        else plain_engines([answers(200)], [answers(200)])
    )
    answer = serve(kind, engines, [bearer(KEY)], usage=usage)[0]
    assert status(answer) == 401 and not count_requests(engines)
    context = shared_state["context"]
    assert all(
        not context.placer.health.suspended_since(t.target, 0.0)
        for t in context.target_table.all()
    )


def test_failure_after_a_run_does_not_say_that_nothing_ran():
    """After a run that was reset, a 401 would hide that the request may have run."""
    engines = plain_engines([revokes(resets)], [revokes(resets)])
    answer = serve(IDEMPOTENT, engines, [bearer(KEY)])[0]
    assert status(answer) == 502 and b'"ran":"unknown"' in answer
    assert count_requests(engines) == 1


def test_run_that_began_with_a_valid_key_is_delivered():
    """An answer that is already made must reach its caller."""

    async def step(fields, caller):
        await caller.send_head(200, [*SIGNED, echo(fields)])
        await caller.send(b"id: 1\ndata: 1\n\n")
        set_tenants(shared_state["context"], TENANTS[1:], 3)
        await caller.send(b"id: 2\ndata: 2\n\n")
        await caller.finish()

    engines = model_engines([prefills], [step])
    answer = serve(STREAM, engines, [bearer(KEY)], usage="600,20")[0]
    assert b"id: 2" in answer and answer.endswith(b"0\r\n\r\n")


def test_key_that_moves_to_another_tenant_names_that_tenant():
    """A key that changed hands must not be counted for its former tenant."""
    moved = (TenantSpec(TenantName("b"), (ApiKey(KEY),)),)

    async def step(fields, caller):
        set_tenants(shared_state["context"], moved, 3)
        await not_run(fields, caller)

    engines = plain_engines([step, answers(200)], [step, answers(200)])
    serve(NON_IDEMPOTENT, engines, [bearer(KEY)])
    names = [fields["tenant"] for engine in engines for _, _, fields in engine.seen]
    assert sorted(names) == ["a", "b"]


def test_requests_are_shown_by_tenant_up_to_a_bound(monkeypatch):
    """Without a bound, each name that ever existed stayed in the metrics."""
    monkeypatch.setattr(_serve, "MAX_TENANTS_SHOWN", 2)
    tenants = tuple(
        TenantSpec(TenantName(f"t{n}"), (ApiKey(f"secret-{n}"),)) for n in range(4)
    )
    requests = [[bearer(f"secret-{n}")] for n in (0, 1, 2, 3, 0)]
    engines = plain_engines([answers(200)] * 5)
    serve(IDEMPOTENT, engines, *requests, [bearer("x")], [], tenants=tenants)
    text = shared_state["context"].metrics.text().decode()
    lines = [x for x in text.splitlines() if x.startswith("tenant_requests")]
    names = {line.split('tenant="')[1].split('"')[0] for line in lines}
    assert names == {"t0", "t1", "other"} and "secret" not in text
    assert 'key_refusals_total{reason="missing"} 1' in text
    assert 'key_refusals_total{reason="unknown"} 1' in text


class Meter:
    """Records what is counted and withdrawn."""

    def __init__(self):
        self.counts = []

    def begin(self, tenant):
        self.counts.append(tenant)
        return len(self.counts)

    def withdraw(self, tenant, wall_ms):
        self.counts.remove(tenant)


@pytest.mark.parametrize("first", ["head", "body"])
def test_stream_counts_when_its_caller_has_left(first, monkeypatch):
    """A stream that ran was not counted when its caller left at the first event."""

    meter, engine_writers = Meter(), []
    engines = model_engines([prefills], [streams(2)])

    def watch(serve_engine):
        async def serve_one(*args):
            shared_state["context"].meter = meter
            engine_writers.append(args[-1])
            await serve_engine(*args)

        return serve_one

    for engine in engines:
        engine.serve = watch(engine.serve)
    name = {"head": "send_head", "body": "send"}[first]
    write = getattr(ResponseWriter, name)

    async def write_unless_left(writer, *args):
        if not any(writer is one for one in engine_writers):
            raise ConnectionResetError("the caller has left")
        await write(writer, *args)

    monkeypatch.setattr(ResponseWriter, name, write_unless_left)
    monkeypatch.setattr(gateway_harness, "unexpected", lambda error: None)
    serve(STREAM, engines, [bearer(KEY)], usage="600,20")
    assert meter.counts == ["a"]


def test_call_that_no_target_took_is_not_counted(monkeypatch):
    """A refused call stayed counted when a second try was still connecting."""
    connect, connections = ConnectionPool._connect, []

    async def connect_or_fail(pool, address):
        shared_state["context"].meter = meter
        connections.append(address)
        if len(connections) == 1:
            return await connect(pool, address)
        await asyncio.sleep(0.5)
        raise ExchangeError(FailureKind.CONNECT, sent=False)

    async def refuses_late(fields, caller):
        await asyncio.sleep(1.0)
        await not_run(fields, caller)

    meter = Meter()
    monkeypatch.setattr(ConnectionPool, "_connect", connect_or_fail)
    engines = plain_engines([refuses_late], [refuses_late])
    serve(IDEMPOTENT, engines, [bearer(KEY)])
    assert len(connections) >= 2 and meter.counts == []


ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/r/",
    "kind": "idempotent",
    "timeout_ms": 1000,
    "service": "s",
}


@pytest.mark.parametrize(
    "tenants, why",
    [
        (
            [{"name": "a", "api_keys": ["k1"]}, {"name": "b", "api_keys": ["k1"]}],
            "share a key",
        ),
        ([{"name": "a", "api_keys": ["k1"]}, {"name": "a", "api_keys": []}], "twice"),
        ([{"name": "", "api_keys": ["k1"]}], "no name"),
        ([{"name": "a", "api_keys": [""]}], "empty key"),
        ([{"name": "a\r\nTenant: b", "api_keys": ["k1"]}], "header field"),
        ([{"name": " a", "api_keys": ["k1"]}], "header field"),
        ([{"name": "a ", "api_keys": ["k1"]}], "header field"),
        ([{"name": "a", "api_keys": ["k1 x"]}], "no caller can send"),
        ([{"name": "a", "api_keys": ["k1\u00e9"]}], "no caller can send"),
    ],
)
def test_ambiguous_tenants_are_refused(tenants, why):
    """With a shared key, a request's tenant would depend on the order of the list."""
    document = {
        "version": 1,
        "routes": [ROUTE],
        "services": [{"name": "s"}],
        "tenants": tenants,
    }
    with pytest.raises(WigeonspanError, match=why) as caught:
        read_config(encode(document))
    assert "k1" not in str(caught.value)


def test_one_tenant_may_list_a_key_twice():
    """A key that is listed twice for one tenant is not ambiguous."""
    tenants = [{"name": "a", "api_keys": ["k1", "k1"], "priority": 0}]
    document = {
        "version": 1,
        "routes": [{**ROUTE, "public": True}],
        "services": [{"name": "s"}],
        "tenants": tenants,
    }
    config = read_config(encode(document))
    assert config.tenants[0].priority == 0 and config.routes[0].public


@pytest.mark.parametrize(
    ("host", "fields", "kind"),
    [
        ("h", [bearer(KEY)], "too_large"),
        ("h", [bearer("other")], "unauthorized"),
        ("h", [], "unauthorized"),
        ("elsewhere", [bearer(KEY)], "unknown_route"),
    ],
)
def test_size_is_checked_after_route_and_key(host, fields, kind):
    """A caller without a key learned the limits of the deployment."""

    async def run():
        context, servers = start_gateway(route(IDEMPOTENT), plain_engines())
        set_tenants(context, TENANTS, 2)
        headers = [("Host", host), ("Request-Id", "q1"), *fields]
        error = shared_state["server"].check_oversized("POST", "/r/x", headers)
        for server in servers:
            await server.close()
        context.pool.close()
        return error

    error = asyncio.run(run())
    assert error.kind.value == kind and error.ran.value == "no"
