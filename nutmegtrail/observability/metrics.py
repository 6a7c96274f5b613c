"""Counters, gauges and histograms in the Prometheus text format."""

import collections

import hdrh.histogram

from nutmegtrail.observability import const


class Metrics:
    """Counters by name and label, gauges and histograms by name."""

    def __init__(self) -> None:
        """Initialize without any metric."""
        self._counts_by_name: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._gauges_by_name: dict[str, float] = {}
        self._histograms_by_name: dict[str, hdrh.histogram.HdrHistogram] = {}

    def increment(self, name: str, label: str = '', amount: int = 1) -> None:
        """Increase a counter."""
        self._counts_by_name[name, label] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set the value of a gauge."""
        self._gauges_by_name[name] = value

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                const.HISTOGRAM_MIN_MICROSECONDS,
                const.HISTOGRAM_MAX_MICROSECONDS,
                const.HISTOGRAM_SIGNIFICANT_DIGITS,
            )
            self._histograms_by_name[name] = histogram
        microseconds = int(seconds * const.MICROSECONDS_PER_SECOND)
        histogram.record_value(
            max(microseconds, const.HISTOGRAM_MIN_MICROSECONDS)
        )

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            *self._render_counters(),
            *(
                f'nutmegtrail_{name} {value}'
                for name, value in sorted(self._gauges_by_name.items())
            ),
        ]
        for name, histogram in sorted(self._histograms_by_name.items()):
            lines.extend(_render_histogram(name, histogram))
        return ''.join(f'{line}\n' for line in lines)

    def _render_counters(self) -> list[str]:
        """Return one line per counter."""
        return [
            f'nutmegtrail_{name}_total{_format_label(label)} {count}'
            for (name, label), count in sorted(self._counts_by_name.items())
        ]


def _format_label(label: str) -> str:
    """Return the label of a counter in braces, empty without one."""
    return f'{{kind="{label}"}}' if label else ''


def _render_histogram(
    name: str,
    histogram: hdrh.histogram.HdrHistogram,
) -> list[str]:
    """Return one line per percentile and one for the count."""
    lines = []
    for percentile in const.PERCENTILES:
        microseconds = histogram.get_value_at_percentile(percentile)
        seconds = microseconds / const.MICROSECONDS_PER_SECOND
        quantile = percentile / const.PERCENT
        lines.append(
            f'nutmegtrail_{name}_seconds{{quantile="{quantile}"}} {seconds}',
        )
    lines.append(f'nutmegtrail_{name}_seconds_count {histogram.total_count}')
    return lines
