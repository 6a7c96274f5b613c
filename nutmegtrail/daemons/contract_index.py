"""Index of the contracts in force, by account and by key digest.

A changed document replaces only its own accounts, so the cost of a change
does not depend on the total number of accounts.
"""

from nutmegtrail.configuration import const
from nutmegtrail.configuration import documents
from nutmegtrail.configuration import models
from nutmegtrail.contracts import credentials


class ContractIndex:
    """Holds the contracts of all applied documents."""

    def __init__(self) -> None:
        """Initialize an empty index."""
        self.callers_by_account: dict[str, credentials.Caller] = {}
        self.callers_by_digest: dict[str, credentials.Caller] = {}
        self._accounts_by_document: dict[str, tuple[str, ...]] = {}

    def put(self, document: models.Document) -> None:
        """Replace the contracts of a document; ignore other documents."""
        if not document.name.startswith(const.CONTRACT_NAME_PREFIX):
            return
        bucket = documents.parse_stored(
            document.content,
            models.ContractDocument,
        )
        for account in self._accounts_by_document.get(document.name, ()):
            self._drop(account)
        contracts_by_account = bucket.contracts_by_account
        callers = credentials.index_by_digest(contracts_by_account)
        self.callers_by_digest.update(callers)
        for caller in callers.values():
            self.callers_by_account[caller.client_account] = caller
        accounts = tuple(contracts_by_account)
        self._accounts_by_document[document.name] = accounts

    def _drop(self, account: str) -> None:
        """Remove an account's contract and its keys."""
        caller = self.callers_by_account.pop(account, None)
        if caller is None:
            return
        for digest in caller.contract.key_digests:
            self.callers_by_digest.pop(digest, None)
