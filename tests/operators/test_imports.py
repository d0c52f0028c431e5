import subprocess
import sys

import pytest


@pytest.mark.parametrize(
    ("module", "absent"),
    [
        ("wigeonspan.entryd.main", "grpc"),
        ("wigeonspan.record.main", "grpc"),
        ("wigeonspan.record.main", "tornado"),
        ("wigeonspan.catalog", "tornado"),
        ("wigeonspan.operators", "grpc"),
        ("wigeonspan.operators.main", "tornado"),
        ("wigeonspan.operators.main", "pycurl"),
    ],
)
def test_program_does_not_load_what_it_does_not_use(module, absent):
    """Guard against loading unused libraries.

    gRPC in an entry daemon used part of the 64 MB of memory allowed per node.
    """
    code = f"import sys, {module}; sys.exit({absent!r} in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0
