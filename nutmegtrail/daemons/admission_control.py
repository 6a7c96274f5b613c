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
        self._unresponsive_until_by_host: dict[str, float] = {}
        self._grant_events_by_account: dict[str, anyio.Event] = {}

    async def admit(
        self,
        caller: credentials.Caller,
        cost: models.Amount,
    ) -> bool:
        """Return whether the contract covers a request now."""
        account = caller.client_account
        current = self._allowances_by_account.get(account, models.Allowance())
        current = allowance.record_demand(current, cost)
        self._allowances_by_account[account] = current
        for _ in range(const.LEASE_ATTEMPTS):
            if self._spend_leased(account, cost):
                return True
            if self._is_isolated():
                return self._spend_while_isolated(caller, cost)
            has_answer = await self._request_lease(caller, cost)
            if (
                has_answer
                and self._allowances_by_account[account].is_partial_grant
            ):
                break
        return self._spend_leased(account, cost)

    def record_start(self, account: str) -> None:
        """Count a request of an account that was admitted."""
        in_flight = self._in_flight_by_account.get(account, 0)
        self._in_flight_by_account[account] = in_flight + 1

    def record_end(self, account: str) -> None:
        """Count the end of a request."""
        in_flight = self._in_flight_by_account.get(account, 0) - 1
        if in_flight > 0:
            self._in_flight_by_account[account] = in_flight
        else:
            self._in_flight_by_account.pop(account, None)

    def handle_lease_request(
        self,
        message: wire_models.LeaseRequest,
        send_reply: peer_mesh.SendMessage,
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
        ledger, leased = allowance.grant_lease(
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
            int(leased.requests),
            int(leased.tokens),
            valid_ms,
        )
        send_reply(grant)

    def handle_lease_grant(self, message: wire_models.LeaseGrant) -> None:
        """Take a lease over and wake who waits for it."""
        account = message.client_account
        current = self._allowances_by_account.get(account, models.Allowance())
        self._allowances_by_account[account] = allowance.apply_grant(
            current,
            models.Amount(message.requests, message.tokens),
            message.valid_ms / shared_const.MILLISECONDS_PER_SECOND,
            self._clock(),
        )
        grant_event = self._grant_events_by_account.pop(account, None)
        if grant_event is not None:
            grant_event.set()

    def _spend_leased(self, account: str, cost: models.Amount) -> bool:
        """Admit from the lease that is held."""
        current = self._allowances_by_account[account]
        remaining = allowance.spend(current, cost, self._clock())
        if remaining is None:
            return False
        self._allowances_by_account[account] = remaining
        return True

    def _spend_while_isolated(
        self,
        caller: credentials.Caller,
        cost: models.Amount,
    ) -> bool:
        """Admit from the last share, or an even one if there was none."""
        account = caller.client_account
        current = self._allowances_by_account[account]
        entry_count = len(self._mesh.hosts) + 1
        even_share = models.Amount(
            caller.contract.requests_per_second / entry_count,
            caller.contract.tokens_per_second / entry_count,
        )
        remaining = allowance.spend_fallback(
            current, cost, even_share, self._clock()
        )
        if remaining is None:
            return False
        self._allowances_by_account[account] = remaining
        return True

    async def _request_lease(
        self,
        caller: credentials.Caller,
        cost: models.Amount,
    ) -> bool:
        """Ask the owner for a lease; return whether it answered."""
        account = caller.client_account
        grant_event = self._grant_events_by_account.get(account)
        if grant_event is None:
            grant_event = anyio.Event()
            self._grant_events_by_account[account] = grant_event
            self._send_lease_request(account, cost)
        with anyio.move_on_after(const.GRANT_TIMEOUT_SECONDS):
            await grant_event.wait()
            return True
        self._grant_events_by_account.pop(account, None)
        unresponsive_until_seconds = (
            self._clock() + limit_const.OWNER_TIMEOUT_SECONDS
        )
        self._unresponsive_until_by_host[self._owner(account)] = (
            unresponsive_until_seconds
        )
        return False

    def _send_lease_request(self, account: str, cost: models.Amount) -> None:
        """Send the account's owner a request for what is demanded."""
        current = allowance.start_lease_request(
            self._allowances_by_account[account], cost
        )
        self._allowances_by_account[account] = current
        request = wire_models.LeaseRequest(
            self._host,
            account,
            int(current.requested_amount.requests),
            int(current.requested_amount.tokens),
            self._in_flight_by_account.get(account, 0),
        )
        owner = self._owner(account)
        if owner == self._host:
            self.handle_lease_request(request, self._handle_local_grant)
        else:
            self._mesh.send(owner, request)

    def _handle_local_grant(self, message: wire_models.Message) -> None:
        """Take a lease from this entry's own ledger."""
        if isinstance(message, wire_models.LeaseGrant):
            self.handle_lease_grant(message)

    def _owner(self, account: str) -> str:
        """Return the first entry in the account's order that answers."""
        candidate_owners = (self._host, *self._responsive_peers())
        return candidates.rank(account, candidate_owners)[0]

    def _responsive_peers(self) -> list[str]:
        """Return the other entries that were not silent lately."""
        now_seconds = self._clock()
        return [
            host
            for host in self._mesh.hosts
            if self._unresponsive_until_by_host.get(host, 0) <= now_seconds
        ]

    def _is_isolated(self) -> bool:
        """Return whether every other entry was silent lately."""
        return bool(self._mesh.hosts) and not self._responsive_peers()


def _rates_changed(
    ledger: models.Ledger,
    caller: credentials.Caller,
) -> bool:
    """Return whether a contract was changed since its ledger was opened."""
    rates = (ledger.requests.rate, ledger.tokens.rate)
    contract = caller.contract
    return rates != (contract.requests_per_second, contract.tokens_per_second)
