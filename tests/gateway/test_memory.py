"""Tests that entries tell each other the memory that their requests hold."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from tests.gateway import test_explain
from tests.gateway.test_tenant_use import make_context
from wigeonspan.common import DomainName, HostId, ManualClock, ServiceName
from wigeonspan.explain import render
from wigeonspan.gateway import Gateway, GatewaySettings
from wigeonspan.gateway._messages import PromptHandle
from wigeonspan.gateway._release import release_prompt
from wigeonspan.placing import Placer, Work, WorkKind
from wigeonspan.pool import ExchangeError, FailureKind
from wigeonspan.targets import Listing, Phase, Target, TargetId

TARGET = TargetId("d0")


def limited(context, capacity=100_000):
    context.placer = Placer(DomainName("a"), random.Random(7), limits_memory=True)
    context.placer.set_engines(capacity, 0.0)
    return context


def work(number=0):
    return Work(f"a/{number}", HostId("a"), TARGET, WorkKind.DECODE, 0.0, 3)


@pytest.mark.parametrize("tokens", [0, 12_040])
def test_memory_of_a_request_is_known_at_all_entries_until_its_end(tokens):
    """An entry sees few requests and cannot tell by itself that an engine is full."""
    sender, receiver = limited(make_context("a")), limited(make_context("b"))
    sender.begin_work(work(), memory_tokens=tokens)
    for event in sender.link.events:
        receiver.apply_event(event)
    for context in (sender, receiver):
        assert context.placer.memory.held_tokens(TARGET) == tokens
    sender.end_work(work(), completed=True)
    receiver.apply_event(sender.link.events[-1])
    for context in (sender, receiver):
        assert context.placer.memory.held_tokens(TARGET) == 0


def test_entry_without_the_rule_keeps_no_memory_of_others():
    """Deployments that do not ask for the rule would keep state that they do not
    use."""
    sender, receiver = limited(make_context("a")), make_context("b")
    sender.begin_work(work(), memory_tokens=12_040)
    receiver.apply_event(sender.link.events[0])
    assert receiver.placer.memory.held_tokens(TARGET) == 0


def test_explanation_shows_the_room_and_avoids_full_engines():
    """An operator must see why a request goes to another engine."""
    context = limited(test_explain.make_context())
    for number, name in enumerate(("d0", "d1", "d3")):
        unit = Work(f"b/{number}", HostId("b"), TargetId(name), WorkKind.DECODE, 0.0, 9)
        context.placer.memory.begin(unit, 94_000, 99.0)
    explanation = test_explain.explainer(context).explain(test_explain.QUERIES[0])
    (service,) = explanation.services
    assert service.verdict.decode == "d2"
    rooms = {t.target: t.generation.room_tokens for t in service.targets}
    assert (rooms["d0"], rooms["d2"], rooms["p0"]) == (1_000, 95_000, None)
    rows = {
        line.split()[0]: line.split() for line in render(explanation).splitlines()[4:]
    }
    assert rows["target"][-2:] == ["room", "chosen"]
    assert rows["d2"][-2:] == ["95000", "yes"]


def test_explanation_without_the_rule_shows_no_room():
    """Deployments that do not ask for the rule keep their explanations."""
    explanation = test_explain.explainer(test_explain.make_context()).explain(
        test_explain.QUERIES[0]
    )
    assert "room" not in render(explanation)


@pytest.mark.parametrize("limits", [True, False])
def test_setting_switches_the_rule_and_its_gauges_on(limits):
    """The setting would be read and have no effect, or others would be affected."""
    settings = GatewaySettings(
        HostId("e"),
        DomainName("a"),
        front="127.0.0.1:1",
        ready="127.0.0.1:2",
        peer="127.0.0.1:3",
        metrics="127.0.0.1:4",
        controls=[],
        retry_ratio=0.2,
        retry_minimum=5.0,
        retry_window_s=10.0,
        limits_engine_memory=limits,
    )

    async def gauges():
        gateway = Gateway(
            settings, None, None, None, ManualClock(1.0), random.Random(1)
        )
        context = gateway._context
        context.target_table.update(Listing(tuple(test_explain.TARGETS)), 1.0)
        context.placer.set_engines(100_000, 0.0)
        context.placer.memory.begin(work(), 50_000, 1.0)
        gateway._monitoring._record_slots(test_explain.MODELS)
        return context.metrics.text().decode()

    text = asyncio.run(gauges())
    assert ('fullest_memory_share{service="models"} 0.5' in text) is limits
    assert ('held_memory_tokens{service="models"} 50000.0' in text) is limits


def test_entries_agree_on_stored_prompts_and_long_streams():
    """A prompt that one entry had prefilled would take no room at the others, and they
    would forget a long stream."""
    sender, receiver = limited(make_context("a")), limited(make_context("b"))
    source = TargetId("p0")
    prompt = Work("a/1", HostId("a"), source, WorkKind.PREFILL, 0.0, 3)
    sender.begin_work(prompt, memory_tokens=12_040)
    sender.end_work(prompt, completed=True)
    sender.begin_work(work(2), memory_tokens=12_040, prompt_work="a/1")
    sender.clock.advance(3.0)
    receiver.clock.advance(3.0)
    sender.renew_work()
    for event in sender.link.events:
        receiver.apply_event(event)
    for context in (sender, receiver):
        assert context.placer.memory.prompt_tokens(source) == 12_040
        assert context.placer.memory.held_tokens(TARGET) == 12_040
    sender.end_work(work(2), completed=True)
    receiver.apply_event(sender.link.events[-1])
    for context in (sender, receiver):
        assert context.placer.memory.prompt_tokens(source) == 0


def test_prompts_are_named_only_where_memory_is_limited():
    """Datagrams of other deployments must stay as they were."""
    sender = make_context("a")
    sender.begin_work(work(), memory_tokens=0, prompt_work="a/1")
    assert sender.link.events[0].prompt_work == ""
    sender.clock.advance(3.0)
    sender.renew_work()
    assert len(sender.link.events) == 1


@pytest.mark.parametrize(("is_received", "kept"), [(True, 0), (False, 12_000)])
def test_prompt_counts_until_its_engine_has_received_the_release(is_received, kept):
    """An engine that the release did not reach keeps the prompt but seemed empty."""
    placer = limited(make_context("a")).placer
    source = Target(
        TargetId("p0"), ServiceName("s"), "p0", DomainName("a"), 4, phase=Phase.PREFILL
    )
    placer.memory.stored.add("a/1", source.target, 12_000, 0.0)
    released = []

    async def fetch(*_args, **_options):
        if not is_received:
            raise ExchangeError(FailureKind.TIMEOUT, sent=False)
        return None, b""

    context = SimpleNamespace(
        clock=ManualClock(0.1),
        placer=placer,
        pool=SimpleNamespace(fetch=fetch),
        protocol=SimpleNamespace(
            encode_release=lambda handle: b"", read_notice=lambda head: None
        ),
        handle_notice=lambda *_: None,
        run_in_background=released.append,
    )
    progress = SimpleNamespace(context=context, log_event=lambda *_, **__: None)
    release_prompt(progress, PromptHandle(source, "h", "a/1"))
    asyncio.run(released[0])
    assert placer.memory.prompt_tokens(source.target) == kept
