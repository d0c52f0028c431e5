"""Command line ``wigeonspan-explain``, which asks an entry where a request would go."""

import http.client
import sys

import fire

from wigeonspan.common import WigeonspanError, decode, split_address
from wigeonspan.explain import (
    EXPLAIN_PATH,
    ExplainQuery,
    Explanation,
    format_query,
    render,
)
from wigeonspan.explain._query import parse_part

TIMEOUT_S = 3.0
"""Seconds to wait for the entry; it answers in milliseconds unless it is stuck."""


def explain(
    address: str,
    host: str,
    path: str,
    tenant: str | None = None,
    input_tokens: int = 0,
    output_tokens: int = 0,
    parts: str = "",
    body_bytes: int = 0,
    waits_ms: int | None = None,
    output_hint: int = 0,
    json: bool = False,
) -> str:
    """Show where a request would go now and why, without sending it.

    Parameters
    ----------
    address : str
        Metrics address of an entry, HOST:PORT.
    host : str
        Host name in the request.
    path : str
        Path of the request.
    tenant : str
        Name of the tenant that would send it; never a key.
    input_tokens : int
        Tokens of the prompt.
    output_tokens : int
        Maximum number of tokens of the answer.
    parts : str
        Parts of the prompt in order, ID:TOKENS, separated by commas.
    body_bytes : int
        Size of the body.
    waits_ms : int
        Milliseconds for which the caller waits.
    output_hint : int
        The caller's estimate of the tokens of the answer.
    json : bool
        Whether to print the answer of the entry as it is.
    """
    # The command line reads "a:1,b:2" as a tuple and "5" as a number.
    listed = parts if isinstance(parts, tuple) else str(parts).split(",")
    query = ExplainQuery(
        str(host),
        str(path),
        None if tenant is None else str(tenant),
        input_tokens,
        output_tokens,
        tuple(parse_part(str(part).strip()) for part in listed if str(part).strip()),
        body_bytes,
        waits_ms,
        output_hint,
    )
    body = ask(str(address), query)
    return body.decode() if json else render(decode(body, Explanation))


def ask(address: str, query: ExplainQuery) -> bytes:
    """Return the answer of an entry.

    Raises
    ------
    OSError
        When the entry cannot be reached or does not explain the request.
    """
    try:
        host, port = split_address(address)
    except ValueError as error:
        raise OSError("the address needs the form HOST:PORT") from error
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", f"{EXPLAIN_PATH}?{format_query(query)}")
        response = connection.getresponse()
        body = response.read()
    except http.client.HTTPException as error:
        raise OSError(f"the answer cannot be read: {type(error).__name__}") from error
    finally:
        connection.close()
    if response.status != 200:
        raise OSError(
            f"status {response.status}: {body[:500].decode(errors='replace')}"
        )
    return body


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(explain, name="wigeonspan-explain")
    except (OSError, WigeonspanError) as error:
        sys.exit(f"wigeonspan-explain: {error}")


if __name__ == "__main__":
    main()
