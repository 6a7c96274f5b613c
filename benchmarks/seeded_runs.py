"""Runs of cases with several seeds each, on several processes."""

import collections.abc
import concurrent.futures
import typing

_WORKERS: typing.Final = 6
Arguments: typing.TypeAlias = tuple[typing.Any, ...]
Outcome = typing.TypeVar('Outcome')


def outcomes_by_case(
    run_one: collections.abc.Callable[..., Outcome],
    cases: collections.abc.Sequence[Arguments],
    arguments_of: collections.abc.Callable[[Arguments, int], Arguments],
    seeds: collections.abc.Sequence[int],
) -> list[tuple[Arguments, list[Outcome]]]:
    """Return each case with its outcomes, one a seed."""
    jobs = [arguments_of(case, seed) for case in cases for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        outcomes = list(pool.map(run_one, *zip(*jobs, strict=True)))
    count = len(seeds)
    return [
        (case, outcomes[place * count : (place + 1) * count])
        for place, case in enumerate(cases)
    ]
