"""Question as the query of a URL. Errors never repeat a value: it may be a key."""

from urllib.parse import parse_qsl, urlencode

from wigeonspan.common import ErrorKind, TenantName, WigeonspanError, parse_count
from wigeonspan.explain._messages import ExplainQuery
from wigeonspan.placing import PromptPart

MAX_TOKENS = 10**9
"""Largest number in a question, the same as for prompts of callers."""

MAX_FIELDS = 300
"""Maximum number of fields, most of them parts of the prompt."""

_NUMBERS = ("input_tokens", "output_tokens", "body_bytes", "waits_ms", "output_hint")
_NAMES = ("host", "path", "tenant", *_NUMBERS, "part")


def format_query(query: ExplainQuery) -> str:
    """Return the query string of a question."""
    fields = [("host", query.host), ("path", query.path)]
    if query.tenant is not None:
        fields.append(("tenant", query.tenant))
    for name in _NUMBERS:
        if getattr(query, name):
            fields.append((name, str(getattr(query, name))))
    fields += [("part", f"{part.part}:{part.tokens}") for part in query.parts]
    return urlencode(fields)


def parse_query(text: str) -> ExplainQuery:
    """Read a question from a query string.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when it is not one.
    """
    try:
        fields = parse_qsl(text, keep_blank_values=True, max_num_fields=MAX_FIELDS)
    except ValueError as error:
        raise _bad("it has too many fields") from error
    single: dict[str, str] = {}
    parts = []
    for name, value in fields:
        if name not in _NAMES:
            raise _bad(f"only {', '.join(_NAMES)} are allowed")
        if name == "part":
            parts.append(parse_part(value))
        elif name in single:
            raise _bad(f"{name} is given twice")
        else:
            single[name] = value
    if not single.get("host") or not single.get("path", "").startswith("/"):
        raise _bad("it needs a host, and a path that begins with a slash")
    tenant = single.get("tenant")
    numbers = {n: _parse_number(n, single[n]) for n in _NUMBERS if n in single}
    return ExplainQuery(
        single["host"],
        single["path"],
        None if tenant is None else TenantName(tenant),
        parts=tuple(parts),
        **numbers,
    )


def parse_part(text: str) -> PromptPart:
    """Read a part of a prompt, ``ID:TOKENS``.

    Raises
    ------
    WigeonspanError
        ``BAD_REQUEST`` when it does not have this form.
    """
    part, _, tokens = text.rpartition(":")
    if not part:
        raise _bad("a part needs the form ID:TOKENS")
    return PromptPart(part, _parse_number("part", tokens))


def _parse_number(name: str, text: str) -> int:
    try:
        return parse_count(text, MAX_TOKENS)
    except ValueError:
        # Without the cause, whose message contains the value.
        raise _bad(f"{name} needs a number from 0 to {MAX_TOKENS}") from None


def _bad(reason: str) -> WigeonspanError:
    return WigeonspanError(
        ErrorKind.BAD_REQUEST, f"the question is not valid: {reason}"
    )
