"""Checks that docs/FAULT_MATRIX.md refers only to existing tests."""

import importlib
import pathlib
import re

import testtools

_PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'FAULT_MATRIX.md'
_TEST_ID = re.compile(r'`(tests/[\w/]+)\.py::(\w+)::(\w+)`')
_MIN_TEST_IDS = 20


class FaultMatrixPageTest(testtools.TestCase):
    """Rows of docs/FAULT_MATRIX.md."""

    def test_every_named_test_exists(self):
        """Every test identifier on the page refers to an existing test."""
        test_ids = _TEST_ID.findall(_PAGE.read_text())
        self.assertTrue(len(test_ids) >= _MIN_TEST_IDS)
        for path, class_name, test_name in test_ids:
            module = importlib.import_module(path.replace('/', '.'))
            test_class = getattr(module, class_name)
            self.assertTrue(hasattr(test_class, test_name), test_name)

    def test_every_row_names_a_test_or_is_unproved(self):
        """The last cell of every row is a test identifier or 'unproved'."""
        rows = _PAGE.read_text().splitlines()
        for row in rows:
            if row.startswith('| ') and 'promise | step' not in row:
                last_cell = row.strip('| ').rpartition('|')[2].strip()
                is_test_id = _TEST_ID.fullmatch(last_cell) is not None
                is_separator = set(last_cell) <= {'-', ' '}
                self.assertTrue(
                    is_test_id or is_separator or last_cell == 'unproved', row
                )
