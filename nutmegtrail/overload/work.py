"""Work that a request needs of its upstream, relative to the usual one."""

from nutmegtrail.overload import const


def relative(
    tokens: tuple[float, float],
    usual_tokens: tuple[float, float],
    prompt_tokens_per_second: float,
    token_seconds: float,
) -> float:
    """Return the work of a request with some prompt and output tokens.

    It is 1 for the usual numbers of tokens, and if any of them is not known.
    """
    if not all(tokens) or not all(usual_tokens):
        return 1.0
    seconds, usual_seconds = (
        prompt / prompt_tokens_per_second + output * token_seconds
        for prompt, output in (tokens, usual_tokens)
    )
    return min(max(seconds / usual_seconds, const.MIN_WORK), const.MAX_WORK)
