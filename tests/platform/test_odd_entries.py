"""Lists of replicas with single entries that cannot be decoded or used."""

import asyncio

import msgspec
import pytest
from adapter._list import ListReader, ListUnavailable

from wigeonspan.common import SystemClock
from wigeonspan.pool import ConnectionPool, Head
from wigeonspan.serving import RequestServer
from wigeonspan.sharing import ListRead
from wigeonspan.sharing._messages import Packet
from wigeonspan.sharing._wire import encode_packet

VALID_ENTRY = {
    "id": "i-1",
    "service": "s",
    "address": "10.9.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "born": 0,
    "stage": "decode",
    "models": [{"name": "m"}],
}
DEEP = b"[" * 5000 + b"]" * 5000
DEEP_OBJECT = b'{"a":' * 5000 + b"1" + b"}" * 5000


class FakePool:
    """Replacement for the connection pool that answers with pages of the list."""

    def __init__(self, *bodies):
        self.bodies = list(bodies)

    async def fetch(self, address, request, timeout_s, *, new_connection=False):
        return Head(200, []), self.bodies.pop(0)


class RecordingLog:
    def __init__(self):
        self.lines = []

    def write(self, part, event, **fields):
        self.lines.append((event, msgspec.json.encode(fields)))


def entry(name="i-1", **changes):
    return msgspec.json.encode(VALID_ENTRY | {"id": name} | changes)


def with_field(value):
    return entry()[:-1] + b',"note":' + value + b"}"


def page(*entries, rest=b""):
    return b'{"instances":[' + b",".join(entries) + b"]" + rest + b"}"


def read(*bodies):
    """Return the names of the targets that are read, and the lines of the log."""
    event_log = RecordingLog()
    reader = ListReader("10.0.0.1:1")
    listing = asyncio.run(reader.read(FakePool(*bodies), event_log))
    return [t.target for t in listing.targets], event_log.lines, listing


UNDECODABLE = {
    "deep_array": DEEP,
    "deep_object": DEEP_OBJECT,
    "large_float": b"1e999",
    "negative_large_float": b"-1e999",
    "many_digits": b"9" * 5000,
    "high_surrogate": b'"\\ud800"',
    "low_surrogate": b'"\\udc00"',
    "not_utf_8": b'"\xff"',
    "control_character": b'"\x01"',
    "not_a_number": b"NaN",
    "unknown_escape": b'"\\x"',
}


@pytest.mark.parametrize("odd", UNDECODABLE.values(), ids=UNDECODABLE.keys())
@pytest.mark.parametrize("place", ["entry", "field"])
def test_undecodable_entry_costs_only_itself(odd, place):
    """The list was lost, each time it was read, by one such entry."""
    wrong = odd if place == "entry" else with_field(odd)
    names, lines, _ = read(page(entry("i-2"), wrong, entry("i-3")))
    assert names == ["i-2", "i-3"]
    assert [event for event, _ in lines] == ["entry_skipped"]
    assert len(lines[0][1]) < 2000


UNUSABLE = [
    *({"address": f"10.9.0.1:{p}"} for p in ("99999", "0", "\u0663", "+80", "8080 ")),
    {"address": "a\r\nX: y:80"},
    {"id": "a\r\nX-Injected: y"},
    {"id": "i-\u0142"},
    {"id": "i" * 100_000},
    {"zone": "z" * 100_000},
    {"slots": -1},
    {"slots": 10**400},
    {"born": -1},
    {"born": 2**63},
    {"born": 10**400},
    {"state": ["ready"]},
    {"stage": ["decode"]},
]


@pytest.mark.parametrize("changes", UNUSABLE)
def test_unusable_entry_costs_only_itself(changes):
    """Entries passed whose use failed later.

    Sends to their addresses raised errors, and the list could not be encoded for the
    other entries.
    """
    wrong = entry(**changes)
    names, lines, listing = read(page(entry("i-2"), wrong, entry("i-3")))
    assert names == ["i-2", "i-3"]
    assert [event for event, _ in lines] == ["entry_skipped"]
    assert len(lines[0][1]) < 2000
    assert encode_packet(Packet("h", [ListRead(listing.digest, 0.0, listing)]))


PLAIN_ENTRY = {n: v for n, v in VALID_ENTRY.items() if n not in ("stage", "models")}
TEXTS = ("id", "service", "address", "zone", "version", "state")
NUMBERS = ("slots", "cold_remaining_ms", "born", "leaves_ms")
NO_TEXTS = [None, True, 1, "", "x" * 300, [], {}]
NO_NUMBERS = [True, "", "1", [], {}, -1]
WRONG_FIELDS = [
    *({name: value} for name in TEXTS for value in NO_TEXTS),
    *({name: value} for name in NUMBERS for value in NO_NUMBERS),
    *({name: None} for name in NUMBERS if name != "leaves_ms"),
    *({"spot": value} for value in (None, 0, "true", [], {})),
    *({"stage": value, "models": []} for value in NO_TEXTS),
    *({"stage": "decode", "models": value} for value in (None, True, 1, "m", {})),
]


def read_beside(changed):
    """Return the events of the log when an entry of its id follows a sound one."""
    names, lines, listing = read(page(entry(), msgspec.json.encode(changed)))
    assert names == ["i-1"] and listing.targets[0].service == "s"
    return [event for event, _ in lines]


@pytest.mark.parametrize("field", VALID_ENTRY)
def test_entry_without_a_field_names_no_target(field):
    """An entry of another writer replaced the sound one with its id.

    Requests for its service were sent to a target of another one.
    """
    changed = VALID_ENTRY | {"service": "t"}
    del changed[field]
    assert read_beside(changed) == ["entry_skipped"]


@pytest.mark.parametrize("sound", [VALID_ENTRY, PLAIN_ENTRY], ids=["model", "plain"])
@pytest.mark.parametrize("wrong", WRONG_FIELDS)
def test_entry_with_a_field_of_another_type_names_no_target(wrong, sound):
    """The fields that no target takes a value from were not looked at."""
    assert read_beside(sound | {"service": "t"} | wrong) == ["entry_skipped"]


@pytest.mark.parametrize(
    "more",
    [
        {},
        {"spot": True, "leaves_ms": 2500.5, "state": "draining"},
        {"spot": False, "leaves_ms": None, "cold_remaining_ms": 12.5},
        {"note": "of a later version of the platform"},
    ],
)
@pytest.mark.parametrize("sound", [VALID_ENTRY, PLAIN_ENTRY], ids=["model", "plain"])
def test_entry_of_the_platform_names_a_target(sound, more):
    """The checks must refuse no entry that the platform writes."""
    names, lines, _ = read(page(msgspec.json.encode(sound | more)))
    assert names == ["i-1"] and not lines


NEXT = b',"next":null'
UNREADABLE = {
    "bytes": b"\xc3\x28\xa0\xa1\xff\xfe",
    "zeros": b"\0\0\0",
    "text": b"down",
    "two texts": b"a,b",
    "number": b"1.2.3",
    "open string": b'"abc',
    "quote": b'"',
    "open object": b"{",
    "open member": b'{"id"',
    "open value": b'{"id":',
    "open text": b'{"id":"i-9',
    "half an entry": entry("i-9")[:40],
    "entry without its end": entry("i-9")[:-1],
    "open array": b"[",
    "array of one": b"[1",
    "open array in an object": b'{"a":[1',
    "open object in an array": b'[{"a":1',
    "open objects": b'{"a":{"b":1',
    "closed array": b"]",
    "closed object": b"}",
    "closed twice": b"]}",
    "comma in a broken entry": b'{"id":,{"a":1},{"b":2}',
    "half of a code point": entry("i-9")[:-1] + b',"a":\xc3}',
    "escape": b"\\",
    "entry and text": entry("i-9") + b"x",
    "two entries without a comma": entry("i-9") + entry("i-8"),
    "end of a page": b'],"next":"p9"',
    "page": b'{"instances":[',
    "deep and open": b"[" * 5000,
    "deep objects and open": b'{"a":' * 5000,
    "deep and text": DEEP + b"x",
    "text of many": b"\xff" * 100_000,
}


@pytest.mark.parametrize("place", [0, 1, 2])
@pytest.mark.parametrize("odd", UNREADABLE.values(), ids=UNREADABLE)
def test_entry_that_cannot_be_read_costs_only_itself(odd, place):
    """The whole list could not be read, and after a restart nothing was served."""
    entries = [entry("i-2"), entry("i-3")]
    entries.insert(place, odd)
    names, lines, _ = read(page(*entries, rest=NEXT))
    assert names == ["i-2", "i-3"]
    assert {event for event, _ in lines} == {"entry_skipped"}
    assert max(len(line) for _, line in lines) < 2000


@pytest.mark.parametrize("odd", UNREADABLE.values(), ids=UNREADABLE)
def test_several_entries_that_cannot_be_read(odd):
    """Two of them looked like one string or array around the sound entries."""
    entries = [odd, entry("i-2"), odd, with_field(DEEP), entry("i-3"), odd, odd]
    names, _, _ = read(page(*entries, rest=b',"note":' + DEEP + NEXT))
    assert names == ["i-2", "i-3"]


def test_pages_after_an_entry_that_cannot_be_read_are_read():
    """The token of the next page must be found behind it."""
    first = page(entry("i-2"), b"\xc3\x28", rest=b',"next":"p2"')
    names, _, _ = read(first, page(entry("i-3")))
    assert names == ["i-2", "i-3"]


def test_list_of_entries_that_cannot_be_read_is_empty():
    """Such a list names no target, but it is a list."""
    assert read(page(b"\xff", b'"', rest=NEXT))[0] == []


@pytest.mark.parametrize("share", [n / 40 for n in range(40)])
@pytest.mark.parametrize("odd", [b"\xff", b'"', b"[", b"{", b'{"a":[1'])
def test_cut_page_with_an_entry_that_cannot_be_read_is_no_list(odd, share):
    """A cut page must not look like a shorter list beside such an entry, either."""
    model = msgspec.json.encode(VALID_ENTRY | {"models": [{"name": "m"}, {"a": [1]}]})
    body = page(model, odd, model, model, rest=NEXT)
    with pytest.raises(ListUnavailable):
        read(body[: int(len(body) * share)])


def test_cut_page_that_ends_with_an_array_is_no_list():
    """The array of the last entry looked like the end of the list."""
    last = entry()[:-1] + b',"note":[{"a":1},{"b":2}]'
    for end in (b"}", b',"born":5}', b"", b"]}"):
        with pytest.raises(ListUnavailable):
            read(page(entry("i-2"), b"\xff", last)[:-2] + end)


def test_odd_member_of_a_page_does_not_hide_its_entries():
    """Members that the reader ignores made a whole page unreadable."""
    for odd in UNDECODABLE.values():
        names, _, _ = read(page(entry("i-2"), rest=b',"note":' + odd))
        assert names == ["i-2"]


def test_pages_after_an_odd_entry_are_read():
    """The token of the next page must be found on a page with an odd entry, too."""
    first = page(with_field(DEEP), entry("i-2"), rest=b',"next":"p2"')
    names, _, _ = read(first, page(entry("i-3")))
    assert names == ["i-2", "i-3"]


@pytest.mark.parametrize(
    "body",
    [
        page(entry("i-2"), with_field(DEEP))[:-2],
        page(entry("i-2"), with_field(DEEP)[:-1]),
        page(entry("i-2"), rest=b',"next":7'),
        b'{"instances":{}}',
        b"{}",
        DEEP,
        b"",
    ],
)
def test_page_that_is_cut_is_no_list(body):
    """A page that is cut must not look like a shorter list."""
    with pytest.raises(ListUnavailable):
        read(body)


def test_list_with_odd_entries_is_read_over_a_connection():
    """The tasks that read the list ended with ``RecursionError`` at each read."""
    body = page(entry("i-2"), *map(with_field, UNDECODABLE.values()), entry("i-3"))

    async def serve(method, target, headers, body_, caller):
        await caller.send_response(200, [("Content-Type", "application/json")], body)

    async def run():
        server = RequestServer(serve, lambda error: None)
        server.listen("127.0.0.1:0")
        address = f"127.0.0.1:{server._sockets[0].getsockname()[1]}"
        pool = ConnectionPool(SystemClock())
        listing = await ListReader(address).read(pool, RecordingLog())
        pool.close()
        await server.close()
        return [t.target for t in listing.targets]

    assert asyncio.run(run()) == ["i-2", "i-3"]
