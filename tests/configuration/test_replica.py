"""Replicas never return to an older revision and always converge."""

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
    """Return revisions of three documents in random order with duplicates."""
    generator = random.Random(seed)
    documents = [
        models.Document(f'd{number % 3}', number + 1, bytes([number]))
        for number in range(9)
    ]
    documents += generator.choices(documents, k=4)
    generator.shuffle(documents)
    return documents


class ReplicaTest(testtools.TestCase):
    """Replicas of the configuration."""

    def test_late_and_duplicate_documents_are_ignored(self):
        """Revisions only increase, in any order of arrival."""
        for seed in range(_SEEDS):
            current = replica.Replica()
            for document in _documents(seed):
                before = replica.revision_of(current, document.name)
                current = replica.apply(current, document)
                after = replica.revision_of(current, document.name)
                self.assertEqual(max(before, document.revision), after)
            self.assertEqual(9, replica.highest_revision(current))

    def test_equal_digests_mean_equal_revisions(self):
        """Digests are equal only if all revisions are equal."""
        for seed in range(_SEEDS):
            replicas = [replica.Replica(), replica.Replica()]
            for number, document in enumerate(_documents(seed)):
                index = number % 2
                replicas[index] = replica.apply(replicas[index], document)
            first, second = replicas
            equal = first.documents_by_name == second.documents_by_name
            digests = {replica.digest(current) for current in replicas}
            self.assertEqual(equal, len(digests) == 1)

    def test_replicas_are_equal_after_an_exchange(self):
        """Two replicas are equal after they exchange their differences."""
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
    """Edits by operators with a faulty key-value service."""

    def _edit(self, store, operator, base_revision):
        """Commit an edit of one bucket and return the result."""
        change = editing.new_change(operator, operator)
        stored = models.ContractDocument()
        entry = store.entries_by_key.get('nutmegtrail/configuration/bucket')
        if entry is not None:
            stored = models.ContractDocument.model_validate_json(entry.content)
        contracts = {operator: _CONTRACT}
        document = editing.with_contracts(stored, contracts, change)
        edit = editing.Edit('bucket', base_revision, document, change)
        return anyio.run(editing.commit, store, edit)

    def test_concurrent_edits(self):
        """Exactly one of two edits of the same revision is accepted."""
        store = fakes.FakeStore()
        self.assertTrue(self._edit(store, 'first', 0).is_ok())
        second = self._edit(store, 'second', 0)
        self.assertIsInstance(second.error, errors.EditConflict)

    def test_edit_outcomes_under_faults(self):
        """The error never claims more about the outcome than is known."""
        for fault, expected in (
            ('none', None),
            ('answer-lost', None),
            ('request-lost', errors.EditOutcomeUnknown),
            ('unavailable', errors.ServiceUnavailable),
            ('down-after', errors.EditOutcomeUnknown),
        ):
            with self.subTest(fault):
                store = fakes.FakeStore([fault])
                outcome = self._edit(store, 'operator', 0)
                if expected is None:
                    self.assertEqual(1, outcome.ok)
                else:
                    self.assertIsInstance(outcome.error, expected)

    def test_lost_answer_after_a_later_edit(self):
        """An accepted edit is recognized after a later edit."""
        store = fakes.FakeStore(['answer-lost'])
        store.after_write = self._overwrite
        self.assertTrue(self._edit(store, 'first', 0).is_ok())

    def _overwrite(self, store):
        """Store a later edit of another operator that keeps the history."""
        key = 'nutmegtrail/configuration/bucket'
        entry = store.entries_by_key[key]
        stored = models.ContractDocument.model_validate_json(entry.content)
        change = editing.new_change('second', 'on top')
        document = editing.with_contracts(stored, {'b': _CONTRACT}, change)
        content = document.model_dump_json().encode()
        store.entries_by_key[key] = key_value.Entry(key, 2, content)


class RevisionOrderTest(testtools.TestCase):
    """Every order of three revisions of one document."""

    def test_all_orders(self):
        """The highest revision is kept."""
        revisions = [models.Document('d', number, b'') for number in (1, 2, 3)]
        for order in itertools.permutations(revisions):
            current = replica.Replica()
            for document in order:
                current = replica.apply(current, document)
            self.assertEqual(3, replica.revision_of(current, 'd'))
