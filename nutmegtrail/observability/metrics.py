"""Counters, gauges and histograms in the Prometheus text format."""

import collections
import typing

import hdrh.histogram

from nutmegtrail.observability import const


_Labels: typing.TypeAlias = tuple[tuple[str, str], ...]
_LABEL_ESCAPES: typing.Final = str.maketrans(
    {'\\': r'\\', '"': r'\"', '\n': r'\n'}
)


class Metrics:
    """Counters by name and labels, gauges and histograms by name."""

    def __init__(self) -> None:
        """Initialize without any metric."""
        self._counts_by_name: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._counts_by_labels_by_name: dict[
            str, collections.Counter[_Labels]
        ] = {}
        self._gauges_by_name: dict[str, float] = {}
        self._histograms_by_name: dict[str, hdrh.histogram.HdrHistogram] = {}

    def increment(self, name: str, label: str = '', amount: int = 1) -> None:
        """Increase a counter."""
        self._counts_by_name[name, label] += amount

    def count(self, name: str, **labels: str) -> None:
        """Increase a counter with several labels.

        Label values beyond the limit count as `other`.
        """
        counts = self._counts_by_labels_by_name.setdefault(
            name, collections.Counter()
        )
        label_set = tuple(labels.items())
        is_full = len(counts) >= const.LABEL_SETS_LIMIT
        if is_full and label_set not in counts:
            label_set = tuple((label, const.OTHER_LABEL) for label in labels)
        counts[label_set] += 1

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
            *self._render_labelled_counters(),
            *(
                f'nutmegtrail_{name} {value}'
                for name, value in sorted(self._gauges_by_name.items())
            ),
        ]
        for name, histogram in sorted(self._histograms_by_name.items()):
            lines.extend(_render_histogram(name, histogram))
        return ''.join(f'{line}\n' for line in lines)

    def _render_labelled_counters(self) -> list[str]:
        """Return one line per counter and set of labels."""
        return [
            f'nutmegtrail_{name}_total{_format_labels(labels)} {count}'
            for name, counts in sorted(self._counts_by_labels_by_name.items())
            for labels, count in sorted(counts.items())
        ]

    def _render_counters(self) -> list[str]:
        """Return one line per counter."""
        return [
            f'nutmegtrail_{name}_total{_format_label(label)} {count}'
            for (name, label), count in sorted(self._counts_by_name.items())
        ]


def _format_labels(labels: _Labels) -> str:
    """Return labels in braces, with escaped values."""
    pairs = ','.join(
        f'{label}="{text.translate(_LABEL_ESCAPES)}"' for label, text in labels
    )
    return f'{{{pairs}}}'


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
