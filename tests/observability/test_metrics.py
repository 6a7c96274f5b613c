"""Counters with labels in the Prometheus text format."""

import testtools

from nutmegtrail.observability import const
from nutmegtrail.observability import metrics


class MetricsTest(testtools.TestCase):
    """One registry."""

    def test_labels(self):
        """Each set of labels has a row; values are escaped."""
        registry = metrics.Metrics()
        registry.count('attempts', upstream='a"\n\\', outcome='Broken')
        registry.count('attempts', upstream='b', outcome='Success')
        registry.count('attempts', upstream='b', outcome='Success')
        self.assertEqual(
            r'nutmegtrail_attempts_total{upstream="a\"\n\\",outcome="Broken"}'
            ' 1\n'
            'nutmegtrail_attempts_total{upstream="b",outcome="Success"} 2\n',
            registry.render(),
        )

    def test_many_label_values(self):
        """Label values beyond the limit share one row; the sum stays."""
        registry = metrics.Metrics()
        total = const.LABEL_SETS_LIMIT * 2
        for number in range(total):
            registry.count('attempts', upstream=f'i-{number}')
        registry.count('attempts', upstream='i-0')
        lines = registry.render().splitlines()
        self.assertEqual(const.LABEL_SETS_LIMIT + 1, len(lines))
        counts = [int(line.rpartition(' ')[2]) for line in lines]
        self.assertEqual(total + 1, sum(counts))
        self.assertIn('nutmegtrail_attempts_total{upstream="i-0"} 2', lines)
        rest = total - const.LABEL_SETS_LIMIT
        self.assertIn(
            f'nutmegtrail_attempts_total{{upstream="other"}} {rest}', lines
        )
