"""Only a contract grants anything."""

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
    """Recognition of callers."""

    def test_callers(self):
        """A known key is recognised, anything else is refused."""
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

    def test_targets(self):
        """A target outside the contract is refused."""
        caller = credentials.authenticate('Bearer right', _INDEX).ok
        self.assertTrue(credentials.check_target(caller, 'order-desk').is_ok())
        self.assertTrue(credentials.check_target(caller, 'other').is_error())
