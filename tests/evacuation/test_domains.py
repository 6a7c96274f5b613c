"""What is known of failure domains out of service never goes backwards."""

import itertools
import random

import testtools

from nutmegtrail.evacuation import const
from nutmegtrail.evacuation import domains
from nutmegtrail.evacuation import messages

# Revisions of a later era are higher, as those of a store with eras.
_ERA = 1_000


def _run(*events, state=None, now=0.0):
    """Return the state after events."""
    state = state or domains.Evacuations()
    for event in events:
        state = domains.decide(event, state, now)
    return state


def _snapshot(revision, era=0, **revision_by_domain):
    """Return a snapshot of the store."""
    return domains.SnapshotReceived(revision, era, revision_by_domain)


def _told(revision, era=0, **revision_by_domain):
    """Return what another entry tells."""
    return domains.ToldByPeer(revision, era, revision_by_domain)


class DomainsTest(testtools.TestCase):
    """States of an entry under what the store and other entries say."""

    def _check(self, expected, *events, state=None):
        """Check which domains are out of service after events."""
        state = _run(*events, state=state)
        self.assertEqual(frozenset(expected), state.out_of_service, events)

    def test_words(self):
        """Domains go out of service and come back one by one."""
        self._check('a', _snapshot(3), domains.TakenOut('a', 4))
        self._check(
            'b',
            _snapshot(3, a=2),
            domains.TakenOut('b', 4),
            domains.TakenBack('a', 5),
        )
        self._check('', _snapshot(3, a=2), domains.TakenBack('a', 4))

    def test_known_after_the_store_was_read(self):
        """What another entry tells does not make an entry ready."""
        self.assertFalse(domains.Evacuations().is_known)
        told = _run(_told(9, a=8))
        self.assertFalse(told.is_known)
        self.assertEqual({'a'}, told.out_of_service)
        self.assertTrue(_run(_snapshot(5), state=told).is_known)

    def test_outdated_read(self):
        """A read that is older than what is known changes nothing."""
        self._check('a', _told(9, a=8), _snapshot(5))
        self._check('', _told(9), _snapshot(5, a=4))
        self._check('', _told(9), domains.TakenOut('a', 8))
        self._check('a', _told(9, a=8), domains.TakenBack('a', 7))

    def test_absence_counts(self):
        """A newer snapshot without a domain tells that it is back."""
        self._check('', _snapshot(5, a=4), _snapshot(9))
        self._check('', _snapshot(5, a=4), _told(9))

    def test_peer_that_lags(self):
        """A peer cut from the store does not take back what is known."""
        late = _told(5, a=4)
        self._check('', _snapshot(5, a=4), domains.TakenBack('a', 6), late)
        # Nothing but the snapshot is left after a restart.
        self._check('', _snapshot(9), late)
        self._check('a', _snapshot(9, a=8), _told(7))

    def test_any_order(self):
        """Whatever order messages come in, the last word holds."""
        words = (
            domains.TakenOut('a', 4),
            domains.TakenBack('a', 5),
            domains.TakenOut('a', 6),
        )
        reports = (_told(4, a=4), _told(5), _told(6, a=6), _told(6, a=6))
        for order in itertools.permutations(reports):
            self._check('a', _snapshot(3), *order)
            self._check('a', _snapshot(3), *order, *words)
            self._check('a', _snapshot(3), *words, *order)

    def test_random_histories(self):
        """Entries that hear parts late, twice or never agree in the end.

        At no time does one follow a word that is older than one it followed.
        """
        for seed in range(200):
            generator = random.Random(seed)
            history = [frozenset()]
            events = []
            for revision in range(1, 9):
                domain = generator.choice('ab')
                is_out = domain in history[-1]
                history.append(history[-1] ^ {domain})
                kind = domains.TakenBack if is_out else domains.TakenOut
                events.append(kind(domain, revision))
            watching = domains.Evacuations()
            cut_off = domains.Evacuations()
            reports = []
            for event in (_snapshot(0), *events):
                watching = _run(event, state=watching)
                told = messages.create('e', watching).told
                reports.extend(told for _ in range(generator.randrange(3)))
                generator.shuffle(reports)
                while reports and generator.random() < 0.7:
                    before = cut_off.revision
                    cut_off = _run(reports.pop(), state=cut_off)
                    self.assertTrue(cut_off.revision >= before)
                    if cut_off.revision >= 0:
                        self.assertEqual(
                            history[cut_off.revision], cut_off.out_of_service
                        )
            self.assertEqual(history[-1], watching.out_of_service)
            self._check(history[-1], told, state=cut_off)

    def test_earlier_copy(self):
        """What the copy lacks holds until it was written again or not."""
        out = _run(_snapshot(50, a=49))
        for newer in (_snapshot, _told):
            copy = _run(newer(_ERA + 40, era=1), state=out, now=10.0)
            self.assertEqual({'a'}, copy.out_of_service)
            last = 10.0 + const.REWRITE_SECONDS
            for now, expected in ((last - 0.1, {'a'}), (last, frozenset())):
                self.assertEqual(
                    expected,
                    _run(
                        domains.TimeElapsed(), state=copy, now=now
                    ).out_of_service,
                )
            again = _run(domains.TakenOut('a', _ERA + 41), state=copy)
            self.assertEqual(
                {'a'},
                _run(
                    domains.TimeElapsed(), state=again, now=99.0
                ).out_of_service,
            )
            self._check(
                '',
                domains.TakenOut('a', _ERA + 41),
                domains.TakenBack('a', _ERA + 42),
                state=copy,
            )

    def test_copy_with_an_evacuation_that_had_ended(self):
        """The domain is out of service until the operators take it back."""
        back = _run(_snapshot(50, a=49), domains.TakenBack('a', 51))
        copy = _run(_snapshot(_ERA + 49, era=1, a=_ERA + 49), state=back)
        self.assertEqual({'a'}, copy.out_of_service)
        self._check('', domains.TakenBack('a', _ERA + 52), state=copy)

    def test_peer_of_an_earlier_era(self):
        """A peer that has not read the copy yet changes nothing."""
        copy = _run(_snapshot(_ERA + 40, era=1))
        self._check('', _told(51, a=50), state=copy)


class MessageTest(testtools.TestCase):
    """Messages between entries."""

    def test_whole(self):
        """A message holds all domains; nothing is told before it is known."""
        self.assertIsNone(messages.create('e', domains.Evacuations()))
        state = _run(_snapshot(9, a=8, b=3))
        message = messages.create('e', state)
        decoded = messages.from_document(messages.to_document(message))
        self.assertEqual(message, decoded)
        other = _run(decoded.told)
        self.assertEqual(state.out_of_service, other.out_of_service)

    def test_malformed(self):
        """Malformed messages raise errors that the receiver drops."""
        whole = messages.to_document(
            messages.create('e', _run(_snapshot(9, a=8)))
        )
        cases = (
            {'revision': '9'},
            {'revision': -1},
            {'revision': 9.5},
            {'revision': True},
            {'era': None},
            {'out_of_service': {'a': 'x'}},
        )
        for change in cases:
            self.assertRaises(
                (TypeError, ValueError),
                messages.from_document,
                {**whole, **change},
            )
