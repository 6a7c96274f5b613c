"""The settings that the platform fills in are what the entry reads."""

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
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
_FIELDS = {
    'node_name': 'front-kandla-a-1',
    'ip': '10.1.0.40',
    'zone': 'kandla-a',
    'listen': {'front': '10.1.0.40:8227', 'ready': '10.1.0.40:8220'},
    'port_range': [7340, 7355],
    'limits': {'link_mbps': 50.0},
    'bounds': {
        'retry_window_s': 10,
        'retry_budget_ratio': 0.2,
        'retry_slack': 92,
        'grace_s': 8,
    },
    'platform': {'address': '10.200.1.7:8223'},
}


def _field(found):
    """Return a field of the platform as the template shows it."""
    field = _FIELDS
    for name in found.group(1).split('.'):
        field = field[int(name)] if name.isdigit() else field[name]
    return json.dumps(field) if found.group(2) else str(field)


def _load(text):
    """Return the settings in a text."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'entry.toml'
        path.write_text(text)
        return settings.load(path, gateway_settings.GatewaySettings)


class TemplateTest(testtools.TestCase):
    """deploy/entry.toml.template."""

    def setUp(self):
        """Fill the template in."""
        super().setUp()
        deployed = tomllib.loads((_DEPLOY / 'system.toml').read_text())
        name = pathlib.Path(deployed['roles']['entry']['template']).name
        self.text = _PLACEHOLDER.sub(_field, (_DEPLOY / name).read_text())
        self.metrics = deployed['roles']['entry']['metrics']

    def test_filled_in(self):
        """All fields are known, and each has its place."""
        read = _load(self.text)
        self.assertEqual('kandla-a', read.process.failure_domain)
        self.assertEqual('10.1.0.40:7340', read.listen.peers)
        self.assertEqual(50, read.link.megabits_per_second)
        self.assertEqual(92, read.retries.base)
        port, _, path = self.metrics.partition('/')
        self.assertEqual(
            (f'10.1.0.40:{port}', 'metrics'),
            (
                read.listen.metrics,
                path,
            ),
        )

    def test_faulty(self):
        """A fault names its line and key."""
        faulty = self.text.replace('window_seconds = 10', 'window_seconds = 0')
        error = self.assertRaises(errors.SettingsError, _load, faulty)
        self.assertIn('retries.window_seconds', str(error))
