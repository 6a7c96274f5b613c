"""Admission of requests under the contracts, across all entries."""

import collections.abc

import anyio

from nutmegtrail import const as shared_const
from nutmegtrail.contracts import credentials
from nutmegtrail.daemons import const
from nutmegtrail.daemons import peer_mesh
from nutmegtrail.limits import allowance
from nutmegtrail.limits import const as limit_const
from nutmegtrail.limits import models
from nutmegtrail.routing import candidates
from nutmegtrail.wire import models as wire_models


class AdmissionControl:
    """Leases from the owners of other accounts, owner of its own ones."""

    def __init__(
        self,
        host: str,
        mesh: peer_mesh.PeerMesh,
        callers_by_account: collections.abc.Mapping[str, credentials.Caller],
        clock: collections.abc.Callable[[], float],
    ) -> None:
        """Keep the collaborators; nothing is leased yet."""
        self._callers_by_account = callers_by_account
        self._clock = clock
        self._host = host
        self._mesh = mesh
        self._allowances_by_account: dict[str, models.Allowance] = {}
        self._ledgers_by_account: dict[str, models.Ledger] = {}
        self._in_flight_by_account: dict[str, int] = {}
        self._silent_until_by_host: dict[str, float] = {}
        self._granted_by_account: dict[str, anyio.Event] = {}

    async def admit(
        self,
        caller: credentials.Caller,
        cost: models.Amount,
    ) -> bool:
        """Return whether the contract covers a request now."""
        account = caller.client_account
        held = self._allowances_by_account.get(account, models.Allowance())
        held = allowance.record_demand(held, cost)
        self._allowances_by_account[account] = held
        for _ in range(const.LEASE_ATTEMPTS):
            if self._spend(account, cost):
                return True
            if self._is_cut_off():
                return self._spend_alone(caller, cost)
            heard = await self._ask(caller, cost)
            if heard and self._allowances_by_account[account].is_partial_grant:
                break
        return self._spend(account, cost)

    def started(self, account: str) -> None:
        """Count a request of an account that was admitted."""
        running = self._in_flight_by_account.get(account, 0)
        self._in_flight_by_account[account] = running + 1

    def ended(self, account: str) -> None:
        """Count the end of a request."""
        running = self._in_flight_by_account.get(account, 0) - 1
        if running > 0:
            self._in_flight_by_account[account] = running
        else:
            self._in_flight_by_account.pop(account, None)

    def lease(
        self,
        message: wire_models.LeaseRequest,
        post: peer_mesh.Post,
    ) -> None:
        """Lease from an account that this entry owns."""
        caller = self._callers_by_account.get(message.client_account)
        if caller is None:
            return
        contract = caller.contract
        now_seconds = self._clock()
        ledger = self._ledgers_by_account.get(message.client_account)
        if ledger is None or _rates_changed(ledger, caller):
            ledger = allowance.create_ledger(contract, now_seconds)
        ledger, given = allowance.grant_lease(
            ledger,
            message.sender,
            models.Amount(message.requests, message.tokens),
            message.in_flight,
            contract.concurrency,
            now_seconds,
        )
        self._ledgers_by_account[message.client_account] = ledger
        valid_ms = round(
            limit_const.LEASE_SECONDS * shared_const.MILLISECONDS_PER_SECOND,
        )
        grant = wire_models.LeaseGrant(
            message.client_account,
            int(given.requests),
            int(given.tokens),
            valid_ms,
        )
        post(grant)

    def grant(self, message: wire_models.LeaseGrant) -> None:
        """Take a lease over and wake who waits for it."""
        account = message.client_account
        held = self._allowances_by_account.get(account, models.Allowance())
        self._allowances_by_account[account] = allowance.apply_grant(
            held,
            models.Amount(message.requests, message.tokens),
            message.valid_ms / shared_const.MILLISECONDS_PER_SECOND,
            self._clock(),
        )
        waiting = self._granted_by_account.pop(account, None)
        if waiting is not None:
            waiting.set()

    def _spend(self, account: str, cost: models.Amount) -> bool:
        """Admit from the lease that is held."""
        held = self._allowances_by_account[account]
        spent = allowance.spend(held, cost, self._clock())
        if spent is None:
            return False
        self._allowances_by_account[account] = spent
        return True

    def _spend_alone(
        self,
        caller: credentials.Caller,
        cost: models.Amount,
    ) -> bool:
        """Admit from the last share, or an even one if there was none."""
        account = caller.client_account
        held = self._allowances_by_account[account]
        entries = len(self._mesh.hosts) + 1
        even = models.Amount(
            caller.contract.requests_per_second / entries,
            caller.contract.tokens_per_second / entries,
        )
        spent = allowance.spend_fallback(held, cost, even, self._clock())
        if spent is None:
            return False
        self._allowances_by_account[account] = spent
        return True

    async def _ask(
        self,
        caller: credentials.Caller,
        cost: models.Amount,
    ) -> bool:
        """Ask the owner for a lease; return whether it answered."""
        account = caller.client_account
        waiting = self._granted_by_account.get(account)
        if waiting is None:
            waiting = anyio.Event()
            self._granted_by_account[account] = waiting
            self._send_request(account, cost)
        with anyio.move_on_after(const.GRANT_TIMEOUT_SECONDS):
            await waiting.wait()
            return True
        self._granted_by_account.pop(account, None)
        until = self._clock() + limit_const.OWNER_TIMEOUT_SECONDS
        self._silent_until_by_host[self._owner(account)] = until
        return False

    def _send_request(self, account: str, cost: models.Amount) -> None:
        """Send the account's owner a request for what is demanded."""
        held = allowance.start_lease_request(
            self._allowances_by_account[account], cost
        )
        self._allowances_by_account[account] = held
        request = wire_models.LeaseRequest(
            self._host,
            account,
            int(held.requested_amount.requests),
            int(held.requested_amount.tokens),
            self._in_flight_by_account.get(account, 0),
        )
        owner = self._owner(account)
        if owner == self._host:
            self.lease(request, self._take_own)
        else:
            self._mesh.send(owner, request)

    def _take_own(self, message: wire_models.Message) -> None:
        """Take a lease from this entry's own ledger."""
        if isinstance(message, wire_models.LeaseGrant):
            self.grant(message)

    def _owner(self, account: str) -> str:
        """Return the first entry in the account's order that answers."""
        answering = (self._host, *self._answering())
        return candidates.rank(account, answering)[0]

    def _answering(self) -> list[str]:
        """Return the other entries that were not silent lately."""
        now_seconds = self._clock()
        return [
            host
            for host in self._mesh.hosts
            if self._silent_until_by_host.get(host, 0) <= now_seconds
        ]

    def _is_cut_off(self) -> bool:
        """Return whether every other entry was silent lately."""
        return bool(self._mesh.hosts) and not self._answering()


def _rates_changed(
    ledger: models.Ledger,
    caller: credentials.Caller,
) -> bool:
    """Return whether a contract was changed since its ledger was opened."""
    rates = (ledger.requests.rate, ledger.tokens.rate)
    contract = caller.contract
    return rates != (contract.requests_per_second, contract.tokens_per_second)
