"""Admission at one entry: who comes together is admitted together."""

import anyio
import testtools

from nutmegtrail.contracts import credentials
from nutmegtrail.contracts import models as contract_models
from nutmegtrail.daemons import admission_control
from nutmegtrail.limits import models
from nutmegtrail.wire import models as wire_models

_CONTRACT = contract_models.Contract(
    key_digests=(credentials.digest_of('key'),),
    requests_per_second=100,
    tokens_per_second=100_000,
    models=('m',),
)
_CALLER = credentials.Caller('pilots', _CONTRACT)
_COST = models.Amount(1, 10)


class _Mesh:
    """Two entries, the other of which owns every account."""

    def __init__(self, owner):
        """Keep the owner's control."""
        self.hosts = ('owner',)
        self.control = None
        self._owner = owner

    def send(self, host, message):
        """Hand a request to the owner and the grant back."""
        if self._owner is not None:
            self._owner.lease(message, self.control.grant)


class _NoMesh:
    """An owner without peers."""

    hosts = ()


def _control(*, owner_silent=False):
    """Return the control of an entry that has to ask."""
    accounts = {'pilots': _CALLER}
    owner = admission_control.AdmissionControl('owner', _NoMesh(), accounts)
    mesh = _Mesh(None if owner_silent else owner)
    control = admission_control.AdmissionControl('asker', mesh, accounts)
    control._owner = lambda account: 'owner'
    mesh.control = control
    return control


async def _admit(control, count):
    """Return how many of several requests at once are admitted."""
    admitted = []
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(_ask, control, admitted)
    return sum(admitted)


async def _ask(control, admitted):
    """Note whether a request is admitted."""
    admitted.append(await control.admit(_CALLER, _COST))


class AdmissionTest(testtools.TestCase):
    """Requests that arrive at once."""

    def test_burst_within_the_contract(self):
        """All of a burst within the contract are admitted."""
        self.assertEqual(50, anyio.run(_admit, _control(), 50))

    def test_burst_over_the_contract(self):
        """A burst over the contract is cut at the certain part."""
        self.assertEqual(100, anyio.run(_admit, _control(), 150))

    def test_unknown_account_at_the_owner(self):
        """An owner without the contract leases nothing."""
        owner = admission_control.AdmissionControl('owner', _NoMesh(), {})
        request = wire_models.LeaseRequest('asker', 'pilots', 1, 1, 0)
        grants = []
        owner.lease(request, grants.append)
        self.assertEqual([], grants)
