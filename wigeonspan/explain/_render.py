"""Explanation as text for a terminal."""

from wigeonspan.explain._messages import Explanation, ServiceExplanation, Verdict
from wigeonspan.placing import TargetFigures

_COLUMNS = (
    "target phase domain state wait cost cached prefill copy slot_wait penalty "
    "cross slowness work streams slots pace chosen"
).split()


def render(explanation: Explanation) -> str:
    """Return an explanation as text: a line for each fact and a table of targets."""
    lines = [
        f"entry {explanation.entry}, configuration {explanation.config_version}, "
        f"list of targets {_show(explanation.list_age_ms)} ms old"
    ]
    route = explanation.route
    if route is not None:
        lines.append(
            f"route {route.name} {route.prefix} {route.kind}, objective "
            f"{route.objective_ms} ms, time-out {route.timeout_ms} ms"
            f"{', public' if route.public else ''}"
        )
        lines.append(
            f"tenant {_show(explanation.tenant)}, "
            f"priority {_show(explanation.priority)} (route {route.priority})"
        )
    if explanation.refusal is not None:
        lines.append(_render_verdict(explanation.refusal))
    for service in explanation.services:
        lines += ["", *_render_service(service)]
    return "\n".join(lines)


def _render_service(service: ServiceExplanation) -> list[str]:
    lines = [
        f"service {service.service} (share {service.share:.2f}): "
        f"{_render_verdict(service.verdict)}"
    ]
    chosen = {service.verdict.prefill, service.verdict.decode}
    rows = [list(_COLUMNS)]
    rows += [_row(t, "yes" if t.target in chosen else "") for t in service.targets]
    rooms = [_room(t) for t in service.targets]
    if any(room is not None for room in rooms):
        cells = ["room", *(_show(room) for room in rooms)]
        rows = [
            [*row[:-1], cell, row[-1]] for row, cell in zip(rows, cells, strict=True)
        ]
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  " + "  ".join(cells).rstrip())
    if service.not_for_new_work:
        lines.append(f"  not for new work: {', '.join(service.not_for_new_work)}")
    return lines


def _render_verdict(verdict: Verdict) -> str:
    if verdict.outcome == "refused":
        text = f"refused ({verdict.limit}): {verdict.reason}"
        if verdict.retry_after_s is not None:
            text += f", retry after {verdict.retry_after_s:.2f} s"
    elif verdict.prefill is None:
        text = f"{verdict.how} at {verdict.decode}"
    else:
        text = (
            f"{verdict.how}, prefill at {verdict.prefill}, decode at {verdict.decode}"
        )
    if verdict.rank is not None:
        text += f", rank {verdict.rank}"
    if verdict.first_ms is not None:
        text += (
            f", first event in {verdict.first_ms:.0f} ms (wait {verdict.wait_ms:.0f}, "
            f"cost {verdict.cost_ms:.0f}, slot wait {verdict.slot_wait_ms:.0f})"
        )
    return text


def _row(figures: TargetFigures, chosen: str) -> list[str]:
    generation = figures.generation
    prompt = (
        ["-"] * 6
        if generation is None
        else [
            _show(generation.wait_ms),
            _show(generation.cost_ms),
            _show(generation.cached_tokens),
            _show(generation.prefilled_tokens),
            _show(generation.copied_tokens),
            _show(generation.slot_wait_ms),
        ]
    )
    return [
        figures.target,
        figures.phase,
        figures.domain,
        _state(figures),
        *prompt,
        _show(figures.penalty_ms),
        "-" if generation is None else _show(generation.cross_domain_ms),
        f"{figures.slowness:.2f}",
        _show(figures.work),
        _show(figures.streams),
        _show(figures.slots),
        _show(figures.pace_limit),
        chosen,
    ]


def _room(figures: TargetFigures) -> int | None:
    """Return the free tokens of memory; None where these are not considered."""
    return None if figures.generation is None else figures.generation.room_tokens


def _state(figures: TargetFigures) -> str:
    if figures.pause_s > 0.0:
        return f"pauses {figures.pause_s:.1f}s"
    if figures.limited_s > 0.0:
        return f"limited {figures.limited_s:.1f}s"
    return "available" if figures.available else "suspended"


def _show(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.0f}" if isinstance(value, float) else str(value)
