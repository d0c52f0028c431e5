"""Tests of the transfer time in the choice of a decode engine."""

import random

import pytest

from tests.placing.test_placer import engine, prompt
from wigeonspan.common import DomainName, HostId
from wigeonspan.placing import Placer, Work, WorkKind
from wigeonspan.placing._transfer import domain_crossing_ms, transfer_ms
from wigeonspan.targets import Phase, TargetId

COPY_US = 163_840 * 8 / 850_000
"""Microseconds per token at 850 Gbit/s."""


@pytest.mark.parametrize(
    ("copy_us", "tokens", "streams", "chosen"),
    [
        (COPY_US, 12_000, 10, "d0"),
        (COPY_US, 12_000, 25, "d1"),
        (0.0, 12_000, 10, "d1"),
        (COPY_US, 800, 10, "d1"),
        (COPY_US, 800, 2, "d0"),
    ],
)
def test_transfer_between_domains_counts_its_real_time(
    copy_us, tokens, streams, chosen
):
    """Guards against long prompts that are sent to another failure domain because of a
    few streams, and against a change for short ones or without known links."""
    placer = Placer(DomainName("c"), random.Random(1))
    placer.set_engines(400_000.0, copy_us)
    for n in range(streams):
        work = Work(f"w{n}", HostId("e"), TargetId("d0"), WorkKind.DECODE, 0.0, 1)
        placer.ledger.begin(work, 0.0)
    engines = [engine("d0", Phase.DECODE), engine("d1", Phase.DECODE, "b")]
    near = DomainName("a")
    best = placer.choose_decode(engines, prompt(tokens), 0.0, near=near)
    assert best.target == chosen


def test_transfer_time_follows_tokens_and_link():
    """Guards against an error in the units of the link's figures."""
    assert transfer_ms(12_000, COPY_US, crosses_domains=False) == pytest.approx(
        18.5, abs=0.1
    )
    assert transfer_ms(12_000, COPY_US, crosses_domains=True) == pytest.approx(
        37.0, abs=0.1
    )
    assert domain_crossing_ms(800, COPY_US, 4.0) == 4.0
