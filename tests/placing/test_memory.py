"""Tests of the room in the memory of engines."""

import random

import pytest

from tests.placing.test_placer import prompt, route
from wigeonspan.common import DomainName, HostId, ServiceName
from wigeonspan.placing import (
    Limit,
    Placer,
    Plan,
    Prompt,
    Refusal,
    Work,
    WorkKind,
    priority_band,
)
from wigeonspan.placing._ledger import EXPIRY_S
from wigeonspan.placing._memory import FREE_SHARE, EngineMemory, OutputForecast
from wigeonspan.placing._priority import SOLE_BAND
from wigeonspan.placing._refusals import TOO_LARGE_RETRY_S
from wigeonspan.placing._slots import SlotForecast
from wigeonspan.targets import Phase, Target, TargetId

CAPACITY = 100_000
ROOM = int(CAPACITY * (1.0 - FREE_SHARE))
URGENT, OTHER = (priority_band({0, 1}, priority) for priority in (0, 1))


def engine(name, phase=Phase.DECODE, slots=64):
    return Target(
        TargetId(name), ServiceName("s"), name, DomainName("a"), slots, phase=phase
    )


DECODE = [engine("d0"), engine("d1")]
FLEET = [engine("p0", Phase.PREFILL), engine("p1", Phase.PREFILL), *DECODE]


def work(name, at, urgency=9, kind=WorkKind.DECODE, host="e"):
    return Work(name, HostId(host), TargetId(at), kind, 0.0, urgency)


@pytest.fixture
def memory():
    memory = EngineMemory(SlotForecast(), enabled=True)
    memory.set_capacity(CAPACITY)
    return memory


def make_placer(enabled=True):
    placer = Placer(DomainName("a"), random.Random(1), limits_memory=enabled)
    placer.set_engines(CAPACITY, 0.0)
    return placer


def hold(placer, at, tokens, urgency=9, name=None):
    unit = work(name or f"{at}-{tokens}", at, urgency)
    placer.ledger.begin(unit, 0.0)
    placer.memory.begin(unit, tokens, 0.0)


def plan(placer, input_tokens=12_000, remaining_s=10.0, **options):
    return placer.plan(
        route(), prompt(input_tokens), FLEET, remaining_s, 0.0, **options
    )


@pytest.mark.parametrize("enabled", [True, False])
def test_engine_without_room_gets_no_request_while_another_has_room(enabled):
    """A long request at a full engine preempts streams, although another one is only
    busier."""
    placer = make_placer(enabled)
    hold(placer, "d0", ROOM - 5_000)
    for n in range(20):
        hold(placer, "d1", 100, name=f"small-{n}")
    chosen = plan(placer)
    assert chosen.decode.target == ("d1" if enabled else "d0")
    need = placer.memory.need("r", prompt(12_000))
    later = placer.choose_decode(FLEET, prompt(12_000), 0.0, need=need)
    assert later.target == ("d1" if enabled else "d0")


def test_memory_that_is_not_limited_leaves_decisions_and_draws_alone():
    """Deployments that do not ask for the rule would be placed differently."""
    with_work, without = make_placer(False), make_placer(False)
    for placer in (with_work, without):
        hold(placer, "d0", 0)
    with_work.memory.begin(work("x", "d1"), ROOM, 0.0)
    assert with_work.memory.need("r", prompt()) == 0
    for _ in range(20):
        assert plan(with_work) == plan(without)


def test_wait_for_memory_counts_as_wait_for_a_slot():
    """A request that waits for memory would be promised an early first event."""
    placer = make_placer()
    free = plan(placer).first_ms
    for target in DECODE:
        hold(placer, target.target, ROOM, urgency=0)
    full = plan(placer)
    assert isinstance(full, Plan)
    assert full.slot_wait_ms == full.memory_wait_ms > 0.0
    assert full.first_ms > free


def test_prompts_in_prefill_take_memory_of_the_decode_engines(memory):
    """Prompts that are still in prefill would all be promised the same room."""
    prefill = [engine("p0", Phase.PREFILL)]
    assert memory.wait_ms(prefill, DECODE, 12_000, 9) == 0.0
    for n in range(20):
        memory.begin(work(f"p{n}", "p0", kind=WorkKind.PREFILL), 12_000, 0.0)
    assert memory.held_tokens(TargetId("p0")) == 0
    assert memory.wait_ms(prefill, DECODE, 12_000, 9) > 0.0


def test_request_whose_wait_for_memory_exceeds_its_time_is_refused():
    """It would wait at an engine for nothing, and preempt others there."""
    placer = make_placer()
    for target in DECODE:
        for n in range(10):
            hold(placer, target.target, ROOM, 0, f"{target.target}-{n}")
    refusal = plan(placer, remaining_s=2.0)
    assert isinstance(refusal, Refusal)
    assert refusal.limit is Limit.MEMORY and refusal.lacks_decode
    assert refusal.retry_after_s > 1.0


def test_request_larger_than_an_engine_is_refused_at_once():
    """No engine could ever hold it, and it would preempt all streams of one."""
    refusal = plan(make_placer(), CAPACITY + 1)
    assert isinstance(refusal, Refusal)
    assert (refusal.limit, refusal.retry_after_s) == (Limit.MEMORY, TOO_LARGE_RETRY_S)
    assert plan(make_placer(), CAPACITY - 100).limit is Limit.TIME


def test_request_preempts_the_fewest_tokens_of_less_urgent_ones(memory):
    """An urgent request would wait behind less urgent streams, or preempt more of them
    than it has to."""
    memory.begin(work("a", "d0", OTHER.first_rank), ROOM, 0.0)
    memory.begin(work("b", "d1", OTHER.first_rank), ROOM - 900, 0.0)
    assert memory.select(DECODE, 1_000, URGENT) == [DECODE[1]]
    assert memory.wait_ms([], DECODE, 1_000, URGENT.late_rank) == 0.0
    assert memory.wait_ms([], DECODE, 1_000, OTHER.late_rank) > 0.0
    # The streams of d1 are as urgent as the request, so it would have to wait there.
    memory.forget(TargetId("d1"))
    memory.begin(work("c", "d1", URGENT.first_rank), ROOM - 900, 0.0)
    assert memory.select(DECODE, 1_000, URGENT) == [DECODE[0]]


def test_stream_without_room_does_not_preempt_its_own_priority(memory):
    """Streams of one priority would preempt each other for their different laxity."""
    target, urgency = TargetId("d0"), OTHER.first_rank
    assert memory.rank(target, 1_000, urgency, OTHER) == urgency
    memory.begin(work("a", "d0", OTHER.late_rank), ROOM, 0.0)
    assert memory.rank(target, 1_000, urgency, OTHER) == OTHER.late_rank
    assert memory.rank(target, 1_000, URGENT.first_rank, URGENT) == URGENT.first_rank


def test_empty_engine_has_room_for_whatever_fits(memory):
    """The free share would keep the largest requests waiting for ever."""
    assert memory.wait_ms([], DECODE, CAPACITY, 9) == 0.0
    assert memory.rank(TargetId("d0"), CAPACITY, 0, SOLE_BAND) == 0
    memory.begin(work("a", "d1"), 10, 0.0)
    assert memory.select(DECODE, CAPACITY, SOLE_BAND) == [DECODE[0]]


@pytest.mark.parametrize("how", ["end", "expire", "host", "restart", "replaced"])
def test_memory_is_free_after_the_work(how):
    """Memory that is never freed would keep requests away from an engine for ever."""
    placer, target = make_placer(), TargetId("d0")
    hold(placer, "d0", 5_000, name="w")
    assert placer.memory.held_tokens(target) == 5_000
    if how == "end":
        placer.end_work("w", 1.0, completed=False)
    elif how == "expire":
        placer.expire(EXPIRY_S + 0.1)
    elif how == "host":
        placer.drop_host(HostId("e"), 1.0)
    elif how == "restart":
        placer.forget(target)
    else:
        hold(placer, "d1", 5_000, name="w")
    assert placer.memory.held_tokens(target) == 0
    assert placer.ledger.open_streams(target).total() == 0 or how == "replaced"


def test_need_is_in_blocks_and_follows_the_hint():
    """Engines allocate whole blocks; the maximum output is far above the usual one."""
    memory = EngineMemory(SlotForecast(), enabled=True)
    assert memory.need("r", Prompt((), 17, 1_000)) == 32 + 1_000
    assert memory.need("r", Prompt((), 16, 1_000, output_hint=50)) == 16 + 50
    assert memory.need("r", Prompt((), 16, 1_000, output_hint=5_000)) == 16 + 1_000


def test_expected_output_follows_the_real_one_of_the_route():
    """Hints that are off by the same factor would always give the wrong need."""
    outputs = OutputForecast()
    hinted, plain = Prompt((), 9, 1_000, output_hint=100), Prompt((), 9, 1_000)
    for _ in range(200):
        outputs.record("r", hinted, 300)
        outputs.record("r", plain, 100)
    assert outputs.expected_tokens("r", hinted) == pytest.approx(300, abs=2)
    assert outputs.expected_tokens("r", plain) == pytest.approx(100, abs=2)
    assert outputs.expected_tokens("other", hinted) == 100
    assert outputs.expected_tokens("r", Prompt((), 9, 200, output_hint=100)) == 200


def test_trial_copy_sees_the_memory_and_changes_nothing():
    """An explanation would differ from the placement, or change it."""
    placer = make_placer()
    hold(placer, "d0", ROOM)
    copied = placer.trial_copy()
    assert plan(copied).decode.target == "d1"
    copied.set_engines(5.0, 0.0)
    assert placer.memory.capacity == CAPACITY


def prefill(memory, name, tokens, now=0.0, completed=True):
    memory.begin(work(name, "p0", kind=WorkKind.PREFILL), tokens, now)
    memory.end(name, now, completed=completed)


def test_stored_prompts_take_the_memory_of_their_engine():
    """A prefill engine whose prompts nobody fetches would get prompts without end."""
    placer = make_placer()
    for n in range(8):
        prefill(placer.memory, f"stored-{n}", 12_000)
    assert placer.memory.prompt_tokens(TargetId("p0")) == 96_000
    assert {plan(placer).prefill.target for _ in range(20)} == {"p1"}


def test_figures_show_the_wait_for_the_memory_of_a_prefill_engine():
    """An explanation showed no wait at an engine that placements avoid as full."""
    placer = make_placer()
    prefill(placer.memory, "stored", ROOM)
    _, figures = placer.figures.of_generation(
        FLEET, prompt(12_000), route(), None, SOLE_BAND, 0.0
    )
    waits = {f.target: f.generation.wait_ms for f in figures}
    assert waits["p0"] > 0.0
    assert waits["p1"] == waits["d0"] == 0.0


def test_prompt_waits_where_no_prefill_engine_has_room():
    """Its first event would be promised as if the memory were free."""
    placer = make_placer()
    free = plan(placer)
    for target in ("p0", "p1"):
        unit = work(f"prompt-{target}", target, kind=WorkKind.PREFILL)
        placer.memory.begin(unit, ROOM, 0.0)
        placer.memory.end(unit.work, 0.0, completed=True)
    full = plan(placer)
    assert full.wait_ms > free.wait_ms
    assert full.first_ms > free.first_ms
    placer.expire(EXPIRY_S + 0.1)
    assert plan(placer).wait_ms == free.wait_ms


@pytest.mark.parametrize(
    ("completed", "kept"), [(True, 0), (False, 12_000)], ids=["taken", "refused"]
)
def test_prompt_is_stored_until_its_stream_has_ended(memory, completed, kept):
    """A prompt that another engine refused still takes memory; one that was fetched
    does not."""
    prefill(memory, "prompt", 12_000)
    memory.begin(work("stream", "d0"), 12_000, 0.1, "prompt")
    assert memory.prompt_tokens(TargetId("p0")) == 12_000
    memory.end("stream", 0.5, completed=completed)
    assert memory.prompt_tokens(TargetId("p0")) == kept
    assert memory.held_tokens(TargetId("d0")) == 0


def test_prefill_that_failed_stores_nothing(memory):
    """An engine that broke off would seem full although it is empty."""
    prefill(memory, "prompt", 12_000, completed=False)
    assert memory.prompt_tokens(TargetId("p0")) == 0


def test_stored_prompts_end_with_their_engine_or_their_time(memory):
    """Lost reports and lost entries would leave an engine full for good."""
    memory.set_capacity(CAPACITY, handle_ttl_s=5.0)
    prefill(memory, "a", 12_000)
    memory.drop_host(HostId("e"))
    assert memory.prompt_tokens(TargetId("p0")) == 12_000
    memory.expire(5.1)
    assert memory.prompt_tokens(TargetId("p0")) == 0
    prefill(memory, "b", 12_000, now=6.0)
    memory.forget(TargetId("p0"))
    assert memory.prompt_tokens(TargetId("p0")) == 0
    # A fetch of a prompt that is not known is no error.
    memory.begin(work("stream", "d0"), 12_000, 7.0, "b")
    memory.end("stream", 7.5, completed=True)


@pytest.mark.parametrize("lost_by", ["time", "host", "engine"])
def test_lost_streams_leave_no_record_of_their_fetch(memory, lost_by):
    """The records of streams whose end was not reported stayed for as long as the
    entry ran when their prompts had been removed before."""
    prefill(memory, "prompt", 12_000)
    memory.begin(work("stream", "d0"), 12_000, 0.1, "prompt")
    memory.stored.discard("prompt")
    if lost_by == "host":
        memory.drop_host(HostId("e"))
    elif lost_by == "engine":
        memory.forget(TargetId("d0"))
    memory.expire(EXPIRY_S + 0.2)
    assert memory.stored.open_fetches == 0


def test_long_stream_keeps_its_memory_at_all_entries():
    """Streams of more than ``EXPIRY_S`` were forgotten while they held their memory,
    so other streams were preempted for requests that seemed to have room."""
    own, other = (EngineMemory(SlotForecast(), enabled=True) for _ in range(2))
    stream = work("stream", "d0")
    for memory in (own, other):
        memory.begin(stream, 12_000, 0.0)
    now = 0.0
    while now < 2 * EXPIRY_S:
        now += 0.1
        for unit, tokens in own.take_renewals(HostId("e"), now):
            other.begin(unit, tokens, now)
        assert not other.take_renewals(HostId("f"), now)
        for memory in (own, other):
            memory.expire(now)
            assert memory.held_tokens(TargetId("d0")) == 12_000
    assert own.take_renewals(HostId("e"), now) == []


def test_renewed_stream_counts_from_its_first_start():
    """A stream of 5 s at a slow engine counted as one of 0.2 s after it was reported
    again, and as sent after a suspension that it had begun before."""
    placer = make_placer()
    unit = work("stream", "d0")
    for now in (1.0, 3.4, 5.8):
        placer.ledger.begin(unit, now)
        placer.expire(now)
    placer.expire(5.8 + EXPIRY_S - 0.1)
    assert placer.ledger.end("stream", 6.0, completed=True) == (unit, 1.0)
    assert placer.ledger.end("stream", 6.0, completed=True) is None
    placer.ledger.begin(unit, 7.0)
    assert placer.ledger.end("stream", 8.0, completed=True) == (unit, 7.0)


@pytest.mark.parametrize("lost_by", ["time", "host", "engine"])
def test_first_start_ends_with_the_work(lost_by):
    """The starts of lost streams would take memory without limit."""
    ledger, unit = make_placer().ledger, work("stream", "d0")
    ledger.begin(unit, 1.0)
    ledger.begin(unit, 3.4)
    if lost_by == "host":
        ledger.drop_host(HostId("e"), 3.5)
    elif lost_by == "engine":
        ledger.forget(TargetId("d0"))
    ledger.expire(3.4 + EXPIRY_S + 0.1)
    ledger.begin(unit, 20.0)
    assert ledger.end("stream", 21.0) == (unit, 20.0)


def test_renewal_that_is_lost_once_keeps_the_memory(memory):
    """Datagrams are lost, and one of them must not free an engine."""
    memory.begin(work("stream", "d0"), 12_000, 0.0)
    renewals = [at / 10 for at in range(60) if memory.take_renewals("e", at / 10)]
    assert len(renewals) >= 2
