"""The configuration that the duties of a control host use."""

from tests.platform.gateway_harness import NullRecorder
from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.coordinator._decoded import DecodedConfig
from wigeonspan.fleetconfig import FleetConfig, StoredConfig


def test_unreadable_configuration_is_read_once_and_changes_nothing():
    """Each round of the duties decoded it again and ended with its error."""
    reads = []

    def read(document):
        reads.append(document)
        if document == b"odd":
            raise WigeonspanError(ErrorKind.BAD_REQUEST, "two tenants share a key")
        return FleetConfig(len(reads), (), ())

    decoded = DecodedConfig(read, NullRecorder())
    assert decoded.update(StoredConfig()) is None
    first = decoded.update(StoredConfig(1, b"sound"))
    assert first is not None
    for _ in range(3):
        assert decoded.update(StoredConfig(2, b"odd")) is first
    assert reads == [b"sound", b"odd"]
    assert decoded.update(StoredConfig(3, b"sound")) is not first
