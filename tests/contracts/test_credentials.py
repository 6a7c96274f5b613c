"""Tests of authentication and authorization by contract."""

import testtools

from nutmegtrail.contracts import credentials
from nutmegtrail.contracts import models

_CONTRACT = models.Contract(
    key_digests=(credentials.digest_of('right'),),
    requests_per_second=1,
    tokens_per_second=10,
    services=('order-desk',),
)
_INDEX = credentials.index_by_digest({'pilots': _CONTRACT})


class CredentialsTest(testtools.TestCase):
    """Authentication of callers and access to targets."""

    def test_callers(self):
        """Only a bearer key listed in a contract is accepted."""
        for header, is_accepted in (
            ('Bearer right', True),
            ('bearer right', True),
            ('Bearer wrong', False),
            ('Basic right', False),
            ('right', False),
            ('', False),
            (f'Bearer {"x" * 10_000}', False),
        ):
            caller = credentials.authenticate(header, _INDEX)
            self.assertEqual(is_accepted, caller.is_ok(), header[:20])

    # Guards against access without a key where nothing is configured.
    def test_nothing_configured(self):
        """Without a contract no key is accepted, an empty one never."""
        empty = credentials.index_by_digest(
            {
                'pilots': _CONTRACT.model_copy(
                    update={'key_digests': (credentials.digest_of(''),)}
                )
            }
        )
        for header, index in (
            ('Bearer right', {}),
            ('Bearer ', empty),
            ('Bearer', empty),
        ):
            caller = credentials.authenticate(header, index)
            self.assertTrue(caller.is_error(), header)

    def test_targets(self):
        """A target that the contract does not list is refused."""
        caller = credentials.authenticate('Bearer right', _INDEX).ok
        self.assertTrue(credentials.check_target(caller, 'order-desk').is_ok())
        self.assertTrue(credentials.check_target(caller, 'other').is_error())
