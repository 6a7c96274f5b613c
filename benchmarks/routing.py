"""Time to first token and prefix cache hits of routing policies.

The simulated engines prefill one request at a time and cache the prefixes
that were used last. The load reports to the four entries arrive late, and some
are lost.
"""

import collections
import collections.abc
import heapq
import itertools
import random
import statistics
import typing

from benchmarks import report
from benchmarks import seeded_runs
from nutmegtrail.routing import candidates
from nutmegtrail.routing import load as load_estimate
from nutmegtrail.routing import models

_ENGINE_COUNT: typing.Final = 16
_ENTRY_COUNT: typing.Final = 4
_PREFIX_COUNT: typing.Final = 400
_CACHE_CAPACITY: typing.Final = 60
_REQUEST_COUNT: typing.Final = 4_000
_REQUESTS_PER_SECOND: typing.Final = 45.0
_CACHE_MISS_PREFILL_SECONDS: typing.Final = 0.45
_CACHE_HIT_PREFILL_SECONDS: typing.Final = 0.12
_DECODE_SECONDS: typing.Final = 2.0
_REPORT_INTERVAL_SECONDS: typing.Final = 0.5
_REPORT_LAG_SECONDS: typing.Final = 0.5
_REPORT_LOSS_RATIO: typing.Final = 0.2
_HOT_PREFIX_RATIO: typing.Final = 0.3
_STRAGGLER_SLOWNESS: typing.Final = 2.0
TRACES: typing.Final = ('steady', 'hot-prefix', 'straggler', 'vanishing')
POLICIES: typing.Final = (
    'random',
    'round-robin',
    'least-reported',
    'prefix-hash',
    'product',
)


class Outcome(typing.NamedTuple):
    """95th percentile of the time to first token in seconds, and hit ratio."""

    first_token_seconds: float
    hit_ratio: float


class _Event(typing.NamedTuple):
    """Handler to call at a time.

    The sequence number orders events of the same time.
    """

    at_seconds: float
    sequence_number: int
    handler: collections.abc.Callable[..., None]
    arguments: tuple[typing.Any, ...]


class _Engine:
    """Simulated engine with a prefill queue and a prefix cache (LRU)."""

    def __init__(self, slowness: float) -> None:
        """Initialize an idle engine with an empty cache.

        `slowness` multiplies the prefill times.
        """
        self.in_flight = 0
        self._slowness = slowness
        self._available_at = 0.0
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def prefill(self, prefix: int, now_seconds: float) -> tuple[float, bool]:
        """Queue a request.

        Return the time of its first token and whether its prefix was cached.
        """
        is_hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > _CACHE_CAPACITY:
            self._cache.popitem(last=False)
        seconds = (
            _CACHE_HIT_PREFILL_SECONDS
            if is_hit
            else _CACHE_MISS_PREFILL_SECONDS
        )
        started_at = max(now_seconds, self._available_at)
        self._available_at = started_at + seconds * self._slowness
        return self._available_at, is_hit


class _Simulation:
    """Discrete-event simulation of engines and entries."""

    def __init__(self, policy: str, trace: str, seed: int) -> None:
        """Initialize the simulation with idle engines."""
        self.first_token_delays: list[float] = []
        self.hit_count = 0
        self._policy = policy
        self._trace = trace
        self._generator = random.Random(seed)
        self._names = [f'engine-{number}' for number in range(_ENGINE_COUNT)]
        self._engines_by_name = {
            name: _Engine(_slowness(trace, index))
            for index, name in enumerate(self._names)
        }
        self._loads = [models.Load() for _ in range(_ENTRY_COUNT)]
        self._round_robin_indexes = itertools.cycle(range(_ENGINE_COUNT))
        self._sequence_numbers = itertools.count()
        self._events: list[_Event] = []

    def run(self) -> Outcome:
        """Run the simulation to its end and return the outcome."""
        now_seconds = 0.0
        for _ in range(_REQUEST_COUNT):
            now_seconds += self._generator.expovariate(_REQUESTS_PER_SECOND)
            self._schedule(now_seconds, self._handle_arrival, ())
        self._schedule(0, self._send_reports, ())
        if self._trace == 'vanishing':
            self._schedule(now_seconds / 2, self._remove_engines, ())
        while self._events:
            event = heapq.heappop(self._events)
            event.handler(event.at_seconds, *event.arguments)
        percentiles = statistics.quantiles(self.first_token_delays, n=20)
        return Outcome(
            percentiles[-1], self.hit_count / len(self.first_token_delays)
        )

    def _schedule(
        self,
        at_seconds: float,
        handler: collections.abc.Callable[..., None],
        arguments: tuple[typing.Any, ...],
    ) -> None:
        """Schedule a call of a handler."""
        event = _Event(
            at_seconds, next(self._sequence_numbers), handler, arguments
        )
        heapq.heappush(self._events, event)

    def _handle_arrival(self, now_seconds: float) -> None:
        """Route a request and schedule its completion."""
        entry = self._generator.randrange(_ENTRY_COUNT)
        prefix = self._draw_prefix()
        name = self._choose_engine(entry, prefix, now_seconds)
        engine = self._engines_by_name[name]
        first_token_at, is_hit = engine.prefill(prefix, now_seconds)
        engine.in_flight += 1
        self.first_token_delays.append(first_token_at - now_seconds)
        self.hit_count += is_hit
        self._loads[entry] = load_estimate.add_request(self._loads[entry], name)
        self._schedule(
            first_token_at + _DECODE_SECONDS,
            self._handle_completion,
            (entry, name),
        )

    def _draw_prefix(self) -> int:
        """Draw a prefix from a Zipf-like distribution.

        In the trace `hot-prefix` a fixed ratio of the requests has prefix 0.
        """
        if (
            self._trace == 'hot-prefix'
            and self._generator.random() < _HOT_PREFIX_RATIO
        ):
            return 0
        return int(_PREFIX_COUNT ** self._generator.random())

    def _handle_completion(
        self, now_seconds: float, entry: int, name: str
    ) -> None:
        """Remove a completed request from the load of entry and engine."""
        self._loads[entry] = load_estimate.remove_request(
            self._loads[entry], name
        )
        engine = self._engines_by_name.get(name)
        if engine is not None:
            engine.in_flight -= 1

    def _send_reports(self, now_seconds: float) -> None:
        """Send a load report of each engine to each entry.

        Reports arrive late, and some are lost.
        """
        if len(self.first_token_delays) == _REQUEST_COUNT:
            return
        for name, engine in self._engines_by_name.items():
            for entry in range(_ENTRY_COUNT):
                if self._generator.random() >= _REPORT_LOSS_RATIO:
                    arguments = (entry, name, engine.in_flight)
                    arrives_at = now_seconds + _REPORT_LAG_SECONDS
                    self._schedule(arrives_at, self._receive_report, arguments)
        self._schedule(
            now_seconds + _REPORT_INTERVAL_SECONDS, self._send_reports, ()
        )

    def _receive_report(
        self, now_seconds: float, entry: int, name: str, in_flight: int
    ) -> None:
        """Apply a load report at an entry."""
        self._loads[entry] = load_estimate.apply_report(
            self._loads[entry],
            name,
            in_flight,
            now_seconds,
        )

    def _remove_engines(self, now_seconds: float) -> None:
        """Remove the last two engines."""
        for name in self._names[-2:]:
            self._engines_by_name.pop(name)
        self._names = self._names[:-2]
        self._round_robin_indexes = itertools.cycle(range(len(self._names)))

    def _choose_engine(
        self, entry: int, prefix: int, now_seconds: float
    ) -> str:
        """Return the name of the engine that the policy chooses."""
        if self._policy == 'random':
            return self._generator.choice(self._names)
        if self._policy == 'round-robin':
            return self._names[next(self._round_robin_indexes)]
        if self._policy == 'prefix-hash':
            return candidates.rank(str(prefix), self._names)[0]
        load = self._loads[entry]
        if self._policy == 'least-reported':
            return min(
                self._names,
                key=lambda name: _last_reported_in_flight(load, name),
            )
        choice = candidates.choose(str(prefix), self._names, load, now_seconds)
        return self._names[0] if choice is None else choice.upstream


def run(seed: int, seeds: int = 10) -> report.Table:
    """Return a table with a row for each trace and policy.

    `seeds` is the number of seeds for each row.
    """
    cases = list(itertools.product(TRACES, POLICIES))
    outcomes = seeded_runs.outcomes_by_case(
        _run_case,
        cases,
        _build_arguments,
        range(seed, seed + seeds),
    )
    rows = []
    for (trace, policy), case_outcomes in outcomes:
        delays = [outcome.first_token_seconds for outcome in case_outcomes]
        hit_ratios = [outcome.hit_ratio for outcome in case_outcomes]
        rows.append(
            (
                trace,
                policy,
                f'{statistics.mean(delays):.2f} s',
                f'{min(delays):.2f}-{max(delays):.2f}',
                f'{statistics.mean(hit_ratios):.1%}',
            ),
        )
    headers = ('trace', 'policy', '95th of the first token', 'spread', 'hits')
    return report.Table('routing', headers, tuple(rows))


def _build_arguments(case: tuple[str, str], seed: int) -> tuple[str, str, int]:
    """Return the arguments of `_run_case` for a case and a seed."""
    trace, policy = case
    return policy, trace, seed


def _run_case(policy: str, trace: str, seed: int) -> Outcome:
    """Return the outcome of one simulation."""
    return _Simulation(policy, trace, seed).run()


def _slowness(trace: str, index: int) -> float:
    """Return the factor by which an engine is slower than nominal."""
    return _STRAGGLER_SLOWNESS if trace == 'straggler' and index == 0 else 1


def _last_reported_in_flight(load: models.Load, name: str) -> int:
    """Return the number of requests in flight by the last report."""
    last_report = load.reports_by_upstream.get(name)
    return 0 if last_report is None else last_report.in_flight
