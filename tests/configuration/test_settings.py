"""Errors in settings name file, line, key and the allowed value."""

import pathlib
import tempfile

import testtools

from nutmegtrail.configuration import errors
from nutmegtrail.configuration import models
from nutmegtrail.configuration import settings
from nutmegtrail.contracts import models as contract_models

_EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
_DIGEST = f'sha256:{"0" * 64}'
_ENTRY = f"""[process]
host = "e1"
failure_domain = "kandla-a"
peer_listen = "127.0.0.1:7001"
http_listen = "127.0.0.1:8001"
operator_token_digest = "{_DIGEST}"
[platform]
key_value = "127.0.0.1:2379"
host_list = "127.0.0.1:2380"
[stop]
grace_seconds = 20
"""
_CONTRACT = f"""[client_account.pilots]
key_digests = ["{_DIGEST}"]
requests_per_second = 10
tokens_per_second = 100
models = ["clerk-draft"]
"""
_FAULTS = (
    (settings.EntrySettings, _ENTRY, 'host = "e1"', 'hots = "e1"', 'hots'),
    (settings.EntrySettings, _ENTRY, ':7001', '', 'peer_listen'),
    (settings.EntrySettings, _ENTRY, 'key_value =', '# ', 'key_value'),
    (settings.EntrySettings, _ENTRY, '= 20', '= 0', 'grace_seconds'),
    (settings.EntrySettings, _ENTRY, '= 20', '= inf', 'grace_seconds'),
    (contract_models.ContractFile, _CONTRACT, '= 10\n', '= "x"\n', 'requests'),
    (contract_models.ContractFile, _CONTRACT, '= 10\n', '= -1\n', 'requests'),
    (contract_models.ContractFile, _CONTRACT, '= 100\n', '= 1\n', 'at least'),
    (contract_models.ContractFile, _CONTRACT, 'models =', '#', 'models'),
)


def _write(text: str) -> pathlib.Path:
    """Return the path of a new file with the given text."""
    with tempfile.NamedTemporaryFile('w', delete=False) as file:
        file.write(text)
    return pathlib.Path(file.name)


class SettingsTest(testtools.TestCase):
    """Loading and validation of settings."""

    def test_errors_name_file_and_key(self):
        """Each invalid setting is reported with its file and key."""
        for schema, text, old, new, expected in _FAULTS:
            with self.subTest(expected):
                path = _write(text.replace(old, new))
                self.addCleanup(path.unlink)
                error = self.assertRaises(
                    errors.SettingsError,
                    settings.load,
                    path,
                    schema,
                )
                self.assertIn(expected, str(error))
                self.assertIn(f'{path}:', str(error))

    def test_error_names_the_line(self):
        """The error names the line of the key."""
        path = _write(_ENTRY.replace(':7001', ''))
        self.addCleanup(path.unlink)
        error = self.assertRaises(
            errors.SettingsError,
            settings.load,
            path,
            settings.EntrySettings,
        )
        self.assertIn(f'{path}:4: process.peer_listen', str(error))

    def test_examples_are_valid(self):
        """Every example file is valid."""
        schemas = {
            'entry': settings.EntrySettings,
            'sidecar': settings.SidecarSettings,
            'deployment': models.Deployment,
            'contracts': contract_models.ContractFile,
        }
        paths = sorted(_EXAMPLES.glob('*/*.toml'))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.name):
                settings.load(path, schemas[path.stem.partition('-')[0]])
