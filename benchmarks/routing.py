"""Routing policies on seeded requests: first token and prefix hits.

Engines prefill one request at a time and keep the prefixes used last.
Four entries know reports that lag and get lost.
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

_ENGINES: typing.Final = 16
_ENTRIES: typing.Final = 4
_PREFIXES: typing.Final = 400
_CACHED_PREFIXES: typing.Final = 60
_REQUESTS: typing.Final = 4_000
_RATE_PER_SECOND: typing.Final = 45.0
_MISS_SECONDS: typing.Final = 0.45
_HIT_SECONDS: typing.Final = 0.12
_DECODE_SECONDS: typing.Final = 2.0
_REPORT_SECONDS: typing.Final = 0.5
_REPORT_LAG_SECONDS: typing.Final = 0.5
_LOST_REPORTS: typing.Final = 0.2
_HOT_SHARE: typing.Final = 0.3
_SLOWNESS: typing.Final = 2.0
TRACES: typing.Final = ('steady', 'hot-prefix', 'straggler', 'vanishing')
POLICIES: typing.Final = (
    'random',
    'round-robin',
    'least-reported',
    'prefix-hash',
    'product',
)


class Outcome(typing.NamedTuple):
    """Percentile of the first token in seconds, and the share of hits."""

    first_token: float
    hits: float


class _Event(typing.NamedTuple):
    """Work to be done at a time; the number keeps the order."""

    time: float
    number: int
    work: collections.abc.Callable[..., None]
    arguments: tuple[typing.Any, ...]


class _Engine:
    """An engine's prefill queue and its cached prefixes."""

    def __init__(self, slowness: float) -> None:
        """Start idle with an empty cache."""
        self.in_flight = 0
        self._slowness = slowness
        self._free_at = 0.0
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def prefill(self, prefix: int, now: float) -> tuple[float, bool]:
        """Return when a request's first token comes, and whether it hit."""
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > _CACHED_PREFIXES:
            self._cache.popitem(last=False)
        seconds = _HIT_SECONDS if hit else _MISS_SECONDS
        began = max(now, self._free_at)
        self._free_at = began + seconds * self._slowness
        return self._free_at, hit


class _World:
    """Engines, entries and the events to come."""

    def __init__(self, policy: str, trace: str, seed: int) -> None:
        """Start with idle engines."""
        self.first_tokens: list[float] = []
        self.hits = 0
        self._policy = policy
        self._trace = trace
        self._generator = random.Random(seed)
        self._names = [f'engine-{number}' for number in range(_ENGINES)]
        self._engines_by_name = {
            name: _Engine(_slowness(trace, place))
            for place, name in enumerate(self._names)
        }
        self._loads = [models.Load() for _ in range(_ENTRIES)]
        self._turns = itertools.cycle(range(_ENGINES))
        self._numbers = itertools.count()
        self._events: list[_Event] = []

    def run(self) -> Outcome:
        """Run all requests."""
        now = 0.0
        for _ in range(_REQUESTS):
            now += self._generator.expovariate(_RATE_PER_SECOND)
            self._at(now, self._arrive, ())
        self._at(0, self._report, ())
        if self._trace == 'vanishing':
            self._at(now / 2, self._vanish, ())
        while self._events:
            event = heapq.heappop(self._events)
            event.work(event.time, *event.arguments)
        cuts = statistics.quantiles(self.first_tokens, n=20)
        return Outcome(cuts[-1], self.hits / len(self.first_tokens))

    def _at(
        self,
        time: float,
        work: collections.abc.Callable[..., None],
        arguments: tuple[typing.Any, ...],
    ) -> None:
        """Plan an event."""
        event = _Event(time, next(self._numbers), work, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self, now: float) -> None:
        """Route a request and plan its end."""
        entry = self._generator.randrange(_ENTRIES)
        prefix = self._prefix()
        name = self._choose(entry, prefix, now)
        engine = self._engines_by_name[name]
        first_token, hit = engine.prefill(prefix, now)
        engine.in_flight += 1
        self.first_tokens.append(first_token - now)
        self.hits += hit
        self._loads[entry] = load_estimate.add_request(self._loads[entry], name)
        self._at(first_token + _DECODE_SECONDS, self._end, (entry, name))

    def _prefix(self) -> int:
        """Return a prefix, Zipf-like; one may be hot."""
        if (
            self._trace == 'hot-prefix'
            and self._generator.random() < _HOT_SHARE
        ):
            return 0
        return int(_PREFIXES ** self._generator.random())

    def _end(self, now: float, entry: int, name: str) -> None:
        """End a request."""
        self._loads[entry] = load_estimate.remove_request(
            self._loads[entry], name
        )
        engine = self._engines_by_name.get(name)
        if engine is not None:
            engine.in_flight -= 1

    def _report(self, now: float) -> None:
        """Send every entry a report of every engine, late, some lost."""
        if len(self.first_tokens) == _REQUESTS:
            return
        for name, engine in self._engines_by_name.items():
            for entry in range(_ENTRIES):
                if self._generator.random() >= _LOST_REPORTS:
                    arguments = (entry, name, engine.in_flight)
                    late = now + _REPORT_LAG_SECONDS
                    self._at(late, self._receive, arguments)
        self._at(now + _REPORT_SECONDS, self._report, ())

    def _receive(self, now: float, entry: int, name: str, count: int) -> None:
        """Take a report over."""
        self._loads[entry] = load_estimate.apply_report(
            self._loads[entry],
            name,
            count,
            now,
        )

    def _vanish(self, now: float) -> None:
        """Take two engines out."""
        for name in self._names[-2:]:
            self._engines_by_name.pop(name)
        self._names = self._names[:-2]
        self._turns = itertools.cycle(range(len(self._names)))

    def _choose(self, entry: int, prefix: int, now: float) -> str:
        """Return the engine that the policy chooses."""
        if self._policy == 'random':
            return self._generator.choice(self._names)
        if self._policy == 'round-robin':
            return self._names[next(self._turns)]
        if self._policy == 'prefix-hash':
            return candidates.rank(str(prefix), self._names)[0]
        held = self._loads[entry]
        if self._policy == 'least-reported':
            return min(self._names, key=lambda name: _reported(held, name))
        choice = candidates.choose(str(prefix), self._names, held, now)
        return self._names[0] if choice is None else choice.upstream


def run(seed: int, seeds: int = 10) -> report.Table:
    """Return the table of all policies and traces."""
    cases = list(itertools.product(TRACES, POLICIES))
    outcomes = seeded_runs.outcomes_by_case(
        _run_case,
        cases,
        _arguments,
        range(seed, seed + seeds),
    )
    rows = []
    for (trace, policy), group in outcomes:
        times = [outcome.first_token for outcome in group]
        hits = [outcome.hits for outcome in group]
        rows.append(
            (
                trace,
                policy,
                f'{statistics.mean(times):.2f} s',
                f'{min(times):.2f}-{max(times):.2f}',
                f'{statistics.mean(hits):.1%}',
            ),
        )
    heads = ('trace', 'policy', '95th of the first token', 'spread', 'hits')
    return report.Table('routing', heads, tuple(rows))


def _arguments(case: tuple[str, str], seed: int) -> tuple[str, str, int]:
    """Return the arguments of one run of a case."""
    trace, policy = case
    return policy, trace, seed


def _run_case(policy: str, trace: str, seed: int) -> Outcome:
    """Return the outcome of one run."""
    return _World(policy, trace, seed).run()


def _slowness(trace: str, place: int) -> float:
    """Return by how much an engine is slower than nominal."""
    return _SLOWNESS if trace == 'straggler' and place == 0 else 1


def _reported(held: models.Load, name: str) -> int:
    """Return the last report alone."""
    last = held.reports_by_upstream.get(name)
    return 0 if last is None else last.in_flight
