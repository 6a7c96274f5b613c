"""Admission at one entry: who comes together is admitted together."""

import anyio
import testtools

from nutmegtrail.contracts import credentials
from nutmegtrail.contracts import models as contract_models
from nutmegtrail.daemons import admission_control
from nutmegtrail.limits import models
from nutmegtrail.routing import candidates
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

    def __init__(self, owners_by_host):
        """Keep the controls of the other entries, None for a silent one."""
        self.hosts = tuple(owners_by_host)
        self.control = None
        self._owners_by_host = owners_by_host

    def send(self, host, message):
        """Hand a request to its owner and the grant back."""
        owner = self._owners_by_host[host]
        if owner is not None:
            owner.handle_lease_request(message, self.control.handle_lease_grant)


class _EmptyMesh:
    """An owner without peers."""

    hosts = ()


def _create(host, mesh, callers_by_account):
    """Return a control whose clock stands still."""
    return admission_control.AdmissionControl(
        host,
        mesh,
        callers_by_account,
        lambda: 1000.0,
    )


def _create_with_owners(*silent_positions):
    """Return the control of an entry that others go before as owners."""
    callers_by_account = {'pilots': _CALLER}
    ranked_hosts = candidates.rank('pilots', ('e1', 'e2', 'e3'))
    owners_by_host = {
        host: None
        if position in silent_positions
        else _create(host, _EmptyMesh(), callers_by_account)
        for position, host in enumerate(ranked_hosts[:2])
    }
    mesh = _Mesh(owners_by_host)
    control = _create(ranked_hosts[2], mesh, callers_by_account)
    mesh.control = control
    return control


async def _admit(control, count):
    """Return how many of several requests at once are admitted."""
    results = []
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(_admit_one, control, results)
    return sum(results)


async def _admit_one(control, results):
    """Note whether a request is admitted."""
    results.append(await control.admit(_CALLER, _COST))


class AdmissionTest(testtools.TestCase):
    """Requests that arrive at once."""

    def test_burst_within_the_contract(self):
        """All of a burst within the contract are admitted."""
        self.assertEqual(50, anyio.run(_admit, _create_with_owners(), 50))

    def test_burst_over_the_contract(self):
        """A burst over the contract is cut at the certain part."""
        self.assertEqual(100, anyio.run(_admit, _create_with_owners(), 150))

    def test_next_owner_replaces_a_silent_owner(self):
        """A request within the contract is admitted by the next owner."""
        self.assertEqual(1, anyio.run(_admit, _create_with_owners(0), 1))

    def test_isolated_entry_admits_an_even_share(self):
        """With all others silent an entry admits its share, no more."""
        self.assertEqual(33, anyio.run(_admit, _create_with_owners(0, 1), 150))

    def test_unknown_account_at_the_owner(self):
        """An owner without the contract leases nothing."""
        owner = _create('owner', _EmptyMesh(), {})
        request = wire_models.LeaseRequest('asker', 'pilots', 1, 1, 0)
        grants = []
        owner.handle_lease_request(request, grants.append)
        self.assertEqual([], grants)
