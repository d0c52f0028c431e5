"""Messages to control hosts with values that cannot be used."""

import pytest

from wigeonspan.common import ErrorKind, ManualClock, WigeonspanError, decode
from wigeonspan.coordinator._group import GroupMembership
from wigeonspan.coordinator._membership import Candidate
from wigeonspan.presence import Beat

BEAT = (
    b'{"entry":{"host":"h","domain":"d","caller_address":"10.0.0.1:80",'
    b'"peer_address":"10.0.0.1:81","state":"ready"},'
    b'"config_version":0,"entries_digest":""'
)


class LeadingLog:
    members = ()

    def check_leader(self):
        pass


@pytest.mark.parametrize("value", [b"-1", b"1e300", b"1e999", b"9" * 400, b"NaN"])
@pytest.mark.parametrize("name", [b"read_ms", b"stream_s"])
def test_total_out_of_range_is_refused(name, value):
    """The sum of such totals is infinite, and the phases are planned with it."""
    with pytest.raises(WigeonspanError) as caught:
        decode(BEAT + b',"' + name + b'":{"s":' + value + b"}}", Beat)
    assert caught.value.kind is ErrorKind.BAD_REQUEST


def test_sound_totals_are_read():
    """The limits must not refuse the totals of an entry that runs for years."""
    beat: Beat = decode(BEAT + b',"read_ms":{"s":1e14},"stream_s":{"s":0}}', Beat)
    assert (beat.read_ms, beat.stream_s) == ({"s": 1e14}, {"s": 0.0})


def test_nested_heartbeat_is_a_bad_request():
    """It got status 500, and the error was logged with its traceback."""
    nested = b"[" * 5000 + b"]" * 5000
    with pytest.raises(WigeonspanError) as caught:
        decode(BEAT + b',"note":' + nested + b"}", Beat)
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("address", ["", "x", "10.0.0.1:99999", "10.0.0.1:0", "a b:1"])
def test_candidate_without_a_usable_address_is_refused(address):
    """It became a member of the group that no other one can reach."""
    group = GroupMembership(
        Candidate("c1", "10.0.0.9:1", "d", ""),
        LeadingLog(),
        ManualClock(),
        None,
        None,
        3,
    )
    with pytest.raises(WigeonspanError) as caught:
        group.receive_join_request(Candidate("c2", address, "d", "disk"))
    assert caught.value.kind is ErrorKind.BAD_REQUEST
    group.receive_join_request(Candidate("c2", "10.0.0.1:1", "d", "disk"))
