"""Tests of prompts with a part that crashes the engines that write on it."""

import asyncio

import pytest

from tests.platform.crash_harness import BAD, CrashingEngine, Fleet, served_share

CONTACT_S = 3.0
"""Time within which entries hold back after the fifth crash, from the users' rules."""

MAX_LATER_REQUESTS = 3

RUN_S = 10.0


def middle(n):
    return ["first", BAD]


def first(n):
    return [BAD, f"shared{n % 5}"]


@pytest.mark.parametrize(
    "entries, resumable, bad_parts",
    [(1, False, middle), (8, False, middle), (8, True, middle), (8, True, first)],
)
def test_part_that_crashes_engines_is_held_back(entries, resumable, bad_parts):
    """Requests with one part crashed engine after engine, and sound ones with them.

    After five crashes, no more than three further requests with the part may reach
    targets later than ``CONTACT_S``; sound ones with the same first part are served.
    """

    async def run():
        async with Fleet(entries, resumable=resumable) as fleet:
            results = await fleet.run_traffic(
                RUN_S, 12, lambda n: ["first", f"shared{n % 5}"], 4, bad_parts
            )
        return fleet, results

    fleet, results = asyncio.run(run())
    crashes = fleet.crashes()
    fifth = crashes[4] if len(crashes) > 4 else crashes[-1]
    assert fleet.bad_arrivals_after(fifth + CONTACT_S) <= MAX_LATER_REQUESTS
    assert served_share(results, fifth + 2 * CONTACT_S) >= 0.9


def test_plain_crashes_hold_no_part_back():
    """Engines that end by themselves must not make sound prompts suspect."""

    async def end_by_turns(fleet):
        for n in range(12):
            await asyncio.sleep(0.7)
            await fleet.decode[n % 4].crash()

    async def run():
        async with Fleet(4, resumable=True, is_bad=lambda parts: False) as fleet:
            traffic = fleet.run_traffic(
                RUN_S, 12, lambda n: ["first", f"shared{n % 40}"], 0, None
            )
            results, _ = await asyncio.gather(traffic, end_by_turns(fleet))
        return results

    results = asyncio.run(run())
    assert served_share(results, 0.0) >= 0.95


def test_engine_of_the_harness_crashes_only_under_the_bad_part():
    """The part counts wherever it stands, but not as the last one."""
    engine = CrashingEngine("d")
    assert engine._is_bad([BAD, "x"]) and engine._is_bad(["x", BAD])
    assert not engine._is_bad(["x"])
