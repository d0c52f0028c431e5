"""Explanations of where a request would go, without sending it."""

from wigeonspan.explain._messages import (
    EXPLAIN_PATH,
    ExplainQuery,
    Explanation,
    MatchedRoute,
    ServiceExplanation,
    Verdict,
)
from wigeonspan.explain._query import format_query, parse_query
from wigeonspan.explain._render import render

__all__ = [
    "EXPLAIN_PATH",
    "ExplainQuery",
    "Explanation",
    "MatchedRoute",
    "ServiceExplanation",
    "Verdict",
    "format_query",
    "parse_query",
    "render",
]
