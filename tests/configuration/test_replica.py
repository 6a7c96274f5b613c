"""No node goes back, none is left behind once messages pass."""

import itertools
import random

import anyio
import testtools

from nutmegtrail.configuration import editing
from nutmegtrail.configuration import errors
from nutmegtrail.configuration import models
from nutmegtrail.configuration import replica
from nutmegtrail.contracts import models as contract_models
from nutmegtrail.ports import key_value
from tests import fakes

_CONTRACT = contract_models.Contract(
    key_digests=(f'sha256:{"0" * 64}',),
    requests_per_second=1,
    tokens_per_second=10,
    models=('m',),
)
_SEEDS = 200


def _documents(seed):
    """Return revisions of a few documents in random order, some doubled."""
    generator = random.Random(seed)
    made = [
        models.Document(f'd{number % 3}', number + 1, bytes([number]))
        for number in range(9)
    ]
    made += generator.choices(made, k=4)
    generator.shuffle(made)
    return made


class ReplicaTest(testtools.TestCase):
    """Copies of the configuration."""

    def test_late_and_doubled_documents_change_nothing_back(self):
        """Revisions only rise, in any order of arrival."""
        for seed in range(_SEEDS):
            held = replica.Replica()
            for document in _documents(seed):
                before = replica.revision_of(held, document.name)
                held = replica.apply(held, document)
                after = replica.revision_of(held, document.name)
                self.assertEqual(max(before, document.revision), after)
            self.assertEqual(9, replica.highest_revision(held))

    def test_digests_agree_with_revisions_only(self):
        """Equal digests mean equal revisions of every document."""
        for seed in range(_SEEDS):
            replicas = [replica.Replica(), replica.Replica()]
            for number, document in enumerate(_documents(seed)):
                place = number % 2
                replicas[place] = replica.apply(replicas[place], document)
            first, second = replicas
            equal = first.documents_by_name == second.documents_by_name
            digests = {replica.digest(held) for held in replicas}
            self.assertEqual(equal, len(digests) == 1)

    def test_exchange_leaves_nobody_behind(self):
        """After an exchange in one direction and back both are equal."""
        for seed in range(_SEEDS):
            first, second = replica.Replica(), replica.Replica()
            for number, document in enumerate(_documents(seed)):
                if number % 2:
                    first = replica.apply(first, document)
                else:
                    second = replica.apply(second, document)
            revisions = {
                name: document.revision
                for name, document in second.documents_by_name.items()
            }
            difference = replica.compare(first, revisions)
            for document in difference.newer_local:
                second = replica.apply(second, document)
            for name in difference.newer_remote:
                newer = second.documents_by_name[name]
                first = replica.apply(first, newer)
            self.assertEqual(first, second)


class EditTest(testtools.TestCase):
    """Operators' edits against a faulty store."""

    def _edit(self, store, operator, base_revision):
        """Commit an edit of one bucket and return its outcome."""
        change = editing.new_change(operator, operator)
        stored = models.ContractDocument()
        entry = store.entries_by_key.get('nutmegtrail/configuration/bucket')
        if entry is not None:
            stored = models.ContractDocument.model_validate_json(entry.content)
        contracts = {operator: _CONTRACT}
        document = editing.with_contracts(stored, contracts, change)
        edit = editing.Edit('bucket', base_revision, document, change)
        return anyio.run(editing.commit, store, edit)

    def test_racing_operators(self):
        """Of two edits on one revision exactly one is accepted."""
        store = fakes.FakeStore()
        self.assertTrue(self._edit(store, 'first', 0).is_ok())
        second = self._edit(store, 'second', 0)
        self.assertIsInstance(second.error, errors.EditConflict)

    def test_edit_outcomes_under_faults(self):
        """The operator is told what is certain, and no more."""
        for fault, expected in (
            ('none', None),
            ('answer-lost', None),
            ('request-lost', errors.EditUnknown),
            ('unavailable', errors.EditRefused),
            ('down-after', errors.EditUnknown),
        ):
            with self.subTest(fault):
                store = fakes.FakeStore([fault])
                outcome = self._edit(store, 'operator', 0)
                if expected is None:
                    self.assertEqual(1, outcome.ok)
                else:
                    self.assertIsInstance(outcome.error, expected)

    def test_lost_answer_after_a_later_edit(self):
        """An accepted edit is recognised below a later one."""
        store = fakes.FakeStore(['answer-lost'])
        store.after_write = self._overwrite
        self.assertTrue(self._edit(store, 'first', 0).is_ok())

    def _overwrite(self, store):
        """Let another operator edit on top, keeping the history."""
        key = 'nutmegtrail/configuration/bucket'
        entry = store.entries_by_key[key]
        stored = models.ContractDocument.model_validate_json(entry.content)
        change = editing.new_change('second', 'on top')
        document = editing.with_contracts(stored, {'b': _CONTRACT}, change)
        content = document.model_dump_json().encode()
        store.entries_by_key[key] = key_value.Entry(key, 2, content)


class CombinationTest(testtools.TestCase):
    """Every order of three revisions of one document."""

    def test_all_orders(self):
        """The highest revision stays in force."""
        revisions = [models.Document('d', number, b'') for number in (1, 2, 3)]
        for order in itertools.permutations(revisions):
            held = replica.Replica()
            for document in order:
                held = replica.apply(held, document)
            self.assertEqual(3, replica.revision_of(held, 'd'))
