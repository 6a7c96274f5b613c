"""Tests of the settings template that the platform fills in."""

import json
import pathlib
import re
import tempfile
import tomllib

import testtools

from nutmegtrail.configuration import errors
from nutmegtrail.configuration import settings
from nutmegtrail.gateway import settings as gateway_settings

_DEPLOY = pathlib.Path(__file__).parents[2] / 'deploy'
_SECTION = re.compile(r'\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
_FIELDS = {
    'node_name': 'front-kandla-a-1',
    'ip': '10.1.0.40',
    'zone': 'kandla-a',
    'zones': {'kandla-a': 'gujarat', 'kandla-b': 'gujarat'},
    'listen': {'front': '10.1.0.40:8227', 'ready': '10.1.0.40:8220'},
    'port_range': [7340, 7355],
    'limits': {
        'cpu_share': 0.717,
        'cores': 3,
        'memory_mb': 552,
        'max_fds': 8192,
        'link_mbps': 50.0,
    },
    'heartbeat_ms': 1200,
    'bounds': {
        'retry_window_s': 10,
        'retry_budget_ratio': 0.2,
        'retry_slack': 92,
        'grace_s': 8,
    },
    'platform': {'address': '10.200.1.7:8223'},
}


def _fill_placeholder(match):
    """Return the platform's value for a placeholder, as JSON if asked."""
    field = _FIELDS
    for name in match.group(1).split('.'):
        field = field[int(name)] if name.isdigit() else field[name]
    return json.dumps(field) if match.group(2) else str(field)


def _fill_section(match):
    """Return a section for each entry of a table of the platform."""
    table = _FIELDS.get(match.group(1), {})
    return ''.join(
        match.group(2)
        .replace('{{@}}', key)
        .replace('{{.|json}}', json.dumps(entry))
        for key, entry in table.items()
    )


def _load(text):
    """Load settings from a text."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'entry.toml'
        path.write_text(text)
        return settings.load(path, gateway_settings.GatewaySettings)


class TemplateTest(testtools.TestCase):
    """deploy/entry.toml.template."""

    def setUp(self):
        """Fill in the template."""
        super().setUp()
        system = tomllib.loads((_DEPLOY / 'system.toml').read_text())
        name = pathlib.Path(system['roles']['entry']['template']).name
        template = (_DEPLOY / name).read_text()
        self.text = _PLACEHOLDER.sub(
            _fill_placeholder, _SECTION.sub(_fill_section, template)
        )
        self.without_regions = _PLACEHOLDER.sub(
            _fill_placeholder, _SECTION.sub('', template)
        )
        self.metrics = system['roles']['entry']['metrics']

    def test_valid_settings(self):
        """The filled-in template is valid and each field has its value."""
        loaded = _load(self.text)
        self.assertEqual('kandla-a', loaded.process.failure_domain)
        self.assertEqual('10.1.0.40:7340', loaded.listen.peers)
        self.assertEqual(50, loaded.link.megabits_per_second)
        self.assertEqual(92, loaded.retries.base)
        self.assertEqual(_FIELDS['zones'], loaded.regions)
        self.assertEqual({}, _load(self.without_regions).regions)
        self.assertEqual(
            (3, 0.717, 552, 8192),
            (
                loaded.host.cores,
                loaded.host.core_share,
                loaded.host.memory_megabytes,
                loaded.host.descriptors,
            ),
        )
        port, _, path = self.metrics.partition('/')
        self.assertEqual(
            (f'10.1.0.40:{port}', 'metrics'),
            (
                loaded.listen.metrics,
                path,
            ),
        )

    def test_invalid_settings(self):
        """The error for an invalid setting names its key."""
        invalid = self.text.replace('window_seconds = 10', 'window_seconds = 0')
        error = self.assertRaises(errors.SettingsError, _load, invalid)
        self.assertIn('retries.window_seconds', str(error))
