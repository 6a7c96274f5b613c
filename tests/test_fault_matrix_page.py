"""The fault matrix names only tests that exist."""

import importlib
import pathlib
import re

import testtools

_PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'FAULT_MATRIX.md'
_TEST_ID = re.compile(r'`(tests/[\w/]+)\.py::(\w+)::(\w+)`')
_FEWEST_ROWS = 20


class FaultMatrixPageTest(testtools.TestCase):
    """docs/FAULT_MATRIX.md."""

    def test_every_named_test_exists(self):
        """Each test identifier of the page can be found."""
        identifiers = _TEST_ID.findall(_PAGE.read_text())
        self.assertTrue(len(identifiers) >= _FEWEST_ROWS)
        for path, class_name, test_name in identifiers:
            module = importlib.import_module(path.replace('/', '.'))
            test_class = getattr(module, class_name)
            self.assertTrue(hasattr(test_class, test_name), test_name)

    def test_every_row_names_a_test_or_is_unproved(self):
        """No row is left open without saying so."""
        rows = _PAGE.read_text().splitlines()
        for row in rows:
            if row.startswith('| ') and 'promise | step' not in row:
                last = row.strip('| ').rpartition('|')[2].strip()
                proved = _TEST_ID.fullmatch(last) is not None
                separator = set(last) <= {'-', ' '}
                self.assertTrue(proved or separator or last == 'unproved', row)
