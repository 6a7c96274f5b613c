"""Admission control for requests under the contracts, across all entries.

Each client account has an owner among the entries. The owner keeps the
ledger of the contract's rates and leases parts of them to other entries.
"""

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
    """Spends leases from account owners and grants leases as an owner."""

    def __init__(
        self,
        host: str,
        mesh: peer_mesh.PeerMesh,
        callers_by_account: collections.abc.Mapping[str, credentials.Caller],
        clock: collections.abc.Callable[[], float],
    ) -> None:
        """Initialize admission control without any lease."""
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
        """Return whether the contract's rates admit a request now."""
        account = caller.client_account
        account_allowance = self._allowances_by_account.get(
            account, models.Allowance()
        )
        account_allowance = allowance.record_demand(account_allowance, cost)
        self._allowances_by_account[account] = account_allowance
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
        """Count an admitted request of an account as in flight."""
        in_flight = self._in_flight_by_account.get(account, 0)
        self._in_flight_by_account[account] = in_flight + 1

    def record_end(self, account: str) -> None:
        """Count the end of an account's request."""
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
        """Grant a lease on an account that this entry owns.

        A request for an account without a contract here is ignored.
        """
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
        """Add a granted lease and wake the requests that wait for it."""
        account = message.client_account
        account_allowance = self._allowances_by_account.get(
            account, models.Allowance()
        )
        self._allowances_by_account[account] = allowance.apply_grant(
            account_allowance,
            models.Amount(message.requests, message.tokens),
            message.valid_ms / shared_const.MILLISECONDS_PER_SECOND,
            self._clock(),
        )
        grant_event = self._grant_events_by_account.pop(account, None)
        if grant_event is not None:
            grant_event.set()

    def _spend_leased(self, account: str, cost: models.Amount) -> bool:
        """Spend a cost from the current lease; return whether it was enough."""
        account_allowance = self._allowances_by_account[account]
        remaining_allowance = allowance.spend(
            account_allowance, cost, self._clock()
        )
        if remaining_allowance is None:
            return False
        self._allowances_by_account[account] = remaining_allowance
        return True

    def _spend_while_isolated(
        self,
        caller: credentials.Caller,
        cost: models.Amount,
    ) -> bool:
        """Return whether a request is admitted while no other entry responds.

        The rate is that of the last lease, or an even share of the contract
        if there was none.
        """
        account = caller.client_account
        account_allowance = self._allowances_by_account[account]
        entry_count = len(self._mesh.hosts) + 1
        even_share = models.Amount(
            caller.contract.requests_per_second / entry_count,
            caller.contract.tokens_per_second / entry_count,
        )
        remaining_allowance = allowance.spend_fallback(
            account_allowance, cost, even_share, self._clock()
        )
        if remaining_allowance is None:
            return False
        self._allowances_by_account[account] = remaining_allowance
        return True

    async def _request_lease(
        self,
        caller: credentials.Caller,
        cost: models.Amount,
    ) -> bool:
        """Request a lease from the owner; return whether it answered."""
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
        """Send the account's demand to its owner."""
        account_allowance = allowance.start_lease_request(
            self._allowances_by_account[account], cost
        )
        self._allowances_by_account[account] = account_allowance
        request = wire_models.LeaseRequest(
            self._host,
            account,
            int(account_allowance.requested_amount.requests),
            int(account_allowance.requested_amount.tokens),
            self._in_flight_by_account.get(account, 0),
        )
        owner = self._owner(account)
        if owner == self._host:
            self.handle_lease_request(request, self._handle_local_grant)
        else:
            self._mesh.send(owner, request)

    def _handle_local_grant(self, message: wire_models.Message) -> None:
        """Handle a grant from this entry's own ledger."""
        if isinstance(message, wire_models.LeaseGrant):
            self.handle_lease_grant(message)

    def _owner(self, account: str) -> str:
        """Return the highest-ranked responsive entry for an account."""
        candidate_owners = (self._host, *self._responsive_peers())
        return candidates.rank(account, candidate_owners)[0]

    def _responsive_peers(self) -> list[str]:
        """Return the other entries that have not timed out recently."""
        now_seconds = self._clock()
        return [
            host
            for host in self._mesh.hosts
            if self._unresponsive_until_by_host.get(host, 0) <= now_seconds
        ]

    def _is_isolated(self) -> bool:
        """Return whether every other entry has timed out recently."""
        return bool(self._mesh.hosts) and not self._responsive_peers()


def _rates_changed(
    ledger: models.Ledger,
    caller: credentials.Caller,
) -> bool:
    """Return whether the contract's rates differ from the ledger's."""
    rates = (ledger.requests.rate, ledger.tokens.rate)
    contract = caller.contract
    return rates != (contract.requests_per_second, contract.tokens_per_second)
