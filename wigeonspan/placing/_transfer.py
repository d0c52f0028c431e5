"""Time of the transfer of a prompt's key-value cache to a decode engine.

Load: long prompts over links for which a transfer between failure domains takes longer
than several streams delay a decode step. With 163.84 KB per token and 850 Gbit/s,
12,000 tokens take 18.5 ms within a domain and 37 ms between domains.
"""

from wigeonspan.placing._readings import CROSS_DOMAIN_FACTOR


def transfer_ms(tokens: int, copy_us: float, *, crosses_domains: bool) -> float:
    """Return the milliseconds that the transfer of a prompt takes; 0 when unknown.

    Parameters
    ----------
    copy_us : float
        Microseconds per token within a failure domain; 0 when they are not known.
    """
    factor = CROSS_DOMAIN_FACTOR if crosses_domains else 1.0
    return tokens * copy_us * factor / 1000.0


def domain_crossing_ms(tokens: int, copy_us: float, default_ms: float) -> float:
    """Return the milliseconds that a transfer between domains takes beyond a near one.

    Parameters
    ----------
    default_ms : float
        Lower bound, which applies also where the speed of the links is not known.
    """
    across_ms = transfer_ms(tokens, copy_us, crosses_domains=True)
    within_ms = transfer_ms(tokens, copy_us, crosses_domains=False)
    return max(default_ms, across_ms - within_ms)
