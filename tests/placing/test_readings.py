"""Tests of the choice between prefill and copy."""

import random

import pytest

from wigeonspan.common import DomainName, ServiceName
from wigeonspan.placing._readings import (
    COPY_FIXED_MS,
    MIN_COPY_TOKENS,
    plan_prefill_steps,
)
from wigeonspan.targets import Target, TargetId


def engine(name, domain="a"):
    return Target(
        TargetId(name), ServiceName("m"), "10.0.0.1:1", DomainName(domain), 64
    )


def plan(
    cached, ready=None, *, engines=("x",), sources=("x", "y"), total=10_000, copy_us=1.0
):
    far = {"z"}
    targets = {n: engine(n, "b" if n in far else "a") for n in (*engines, *sources)}
    return plan_prefill_steps(
        [targets[n] for n in engines],
        {TargetId(n): cached.get(n, 0) for n in targets},
        {TargetId(n): (cached if ready is None else ready).get(n, 0) for n in targets},
        [targets[n] for n in sources],
        total,
        copy_us,
        random.Random(1),
    )


@pytest.mark.parametrize(
    ("cached", "total", "expected"),
    [
        ({}, 10_000, (10_000, 0)),
        ({"y": 6000}, 10_000, (4000, 6000)),
        ({"x": 6000, "y": 6000}, 10_000, (4000, 0)),
        ({"x": 7000, "y": 6000}, 10_000, (3000, 0)),
        ({"x": 6000 - MIN_COPY_TOKENS + 1, "y": 6000}, 10_000, (4383, 0)),
        # At least one token is always prefilled.
        ({"y": 10_000}, 10_000, (1, 9999)),
        ({"x": 10_000, "y": 10_000}, 10_000, (1, 0)),
    ],
)
def test_longest_cached_prefix_is_copied(cached, total, expected):
    """Guards against repeating a prefill whose result another engine has cached."""
    prefill_steps = plan(cached, total=total)[TargetId("x")]
    assert (prefill_steps.prefilled_tokens, prefill_steps.copied_tokens) == expected
    assert (prefill_steps.source is not None) == (expected[1] > 0)


def test_prefix_that_is_still_in_prefill_is_not_copied():
    """Guards against a copy from a source in prefill, which has nothing to copy."""
    prefill_steps = plan({"y": 6000}, {})[TargetId("x")]
    assert (prefill_steps.prefilled_tokens, prefill_steps.source) == (10_000, None)
    prefill_steps = plan({"x": 6000, "y": 6000}, {})[TargetId("x")]
    assert (prefill_steps.prefilled_tokens, prefill_steps.source) == (4000, None)


def test_engines_that_cannot_copy_prefill_the_prompt():
    """A copy time of 0 in the configuration means that engines cannot copy."""
    prefill_steps = plan({"y": 6000}, copy_us=0.0)[TargetId("x")]
    assert prefill_steps.source is None and prefill_steps.new_tokens == 10_000


def test_source_in_the_same_failure_domain_is_preferred():
    """A copy between failure domains takes twice as long and uses an expensive link."""
    cached = {"y": 6000, "z": 6000}
    sources = {
        plan(cached, sources=("z", "y"))[TargetId("x")].source.target for _ in range(5)
    }
    assert sources == {"y"}
    near = plan({"y": 6000})[TargetId("x")].copy_ms
    far = plan({"z": 6000}, sources=("z",))[TargetId("x")].copy_ms
    assert near - COPY_FIXED_MS == pytest.approx(6.0)
    assert far - COPY_FIXED_MS == pytest.approx(12.0)


def test_new_tokens_include_copied_ones():
    """Copied parts displace other parts from memory just like prefilled ones."""
    assert plan({"y": 6000})[TargetId("x")].new_tokens == 10_000
