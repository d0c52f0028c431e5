"""Entry point of ``wigeonspan-ctl``."""

import sys

import msgspec

from wigeonspan.common import WigeonspanError
from wigeonspan.common.cli import run_commands
from wigeonspan.operators._client import ControlUnreachable
from wigeonspan.operators._ctl import EXIT_REFUSED, EXIT_UNKNOWN, EXIT_USAGE, Ctl
from wigeonspan.operators._fields import UsageError


def main() -> None:
    """Run the command on the command line; exit with the code of its result."""
    as_json = any(arg in ("--output=json", "json") for arg in sys.argv)
    try:
        run_commands(Ctl, "wigeonspan-ctl")
    except UsageError as error:
        _exit_with_error(EXIT_USAGE, "usage", str(error), as_json)
    except WigeonspanError as error:
        _exit_with_error(EXIT_REFUSED, error.kind.value, error.message, as_json)
    except ControlUnreachable as error:
        _exit_with_error(
            EXIT_UNKNOWN,
            "unreachable",
            _unreachable_message(error),
            as_json,
            error.op_id,
        )
    except KeyboardInterrupt:
        _exit_with_error(
            EXIT_UNKNOWN, "interrupted", "interrupted; the outcome is unknown", as_json
        )


def _unreachable_message(error: ControlUnreachable) -> str:
    """Describe a lost call and, for a change, how to resend it safely."""
    text = f"no control host answered in time; last error: {error.message}"
    if not error.op_id:
        return text
    return (
        f"{text}\nThe change may or may not have happened. "
        f"Run the command again with --op-id={error.op_id}"
    )


def _exit_with_error(
    code: int, kind: str, message: str, as_json: bool, op_id: str = ""
) -> None:
    """Print an error to standard error and exit with a code."""
    if as_json:
        detail = {"kind": kind, "message": message, "op_id": op_id}
        message = msgspec.json.encode({"error": detail}).decode("utf-8")
    else:
        message = f"{kind}: {message}"
    print(message, file=sys.stderr)
    raise SystemExit(code)


if __name__ == "__main__":
    main()
