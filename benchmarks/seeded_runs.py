"""Runs each case of an experiment with several seeds in worker processes."""

import collections.abc
import concurrent.futures
import typing

_WORKER_PROCESSES: typing.Final = 6
Arguments: typing.TypeAlias = tuple[typing.Any, ...]
Outcome = typing.TypeVar('Outcome')


def outcomes_by_case(
    run_case: collections.abc.Callable[..., Outcome],
    cases: collections.abc.Sequence[Arguments],
    build_arguments: collections.abc.Callable[[Arguments, int], Arguments],
    seeds: collections.abc.Sequence[int],
) -> list[tuple[Arguments, list[Outcome]]]:
    """Return each case with its outcomes, in the order of the seeds."""
    arguments_by_run = [
        build_arguments(case, seed) for case in cases for seed in seeds
    ]
    with concurrent.futures.ProcessPoolExecutor(_WORKER_PROCESSES) as executor:
        outcomes = list(
            executor.map(run_case, *zip(*arguments_by_run, strict=True))
        )
    seed_count = len(seeds)
    return [
        (case, outcomes[index * seed_count : (index + 1) * seed_count])
        for index, case in enumerate(cases)
    ]
