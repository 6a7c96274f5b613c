"""HTTP client for the host list; uses ETags to avoid reloading."""

import typing

import expression
import httpx
import pydantic

from nutmegtrail import const
from nutmegtrail import models
from nutmegtrail.adapters.bounded_http import client as bounded_http
from nutmegtrail.adapters.bounded_http import models as bounded_models
from nutmegtrail.byte_budget import budget
from nutmegtrail.ports import host_list

_LIMITS: typing.Final = bounded_models.Limits(
    const.BYTES_PER_MEBIBYTE, timeout_seconds=1.0
)
_NOT_MODIFIED: typing.Final = 304


class _ListedHost(pydantic.BaseModel):
    """Host entry as returned by the platform."""

    host: str
    failure_domain: str
    role: str
    address: str
    http_address: str
    upstream: str = ''
    target: str = ''
    leaving: bool = False
    group: str = ''


_HOSTS_ADAPTER: typing.Final[pydantic.TypeAdapter[tuple[_ListedHost, ...]]] = (
    pydantic.TypeAdapter(
        typing.Annotated[tuple[_ListedHost, ...], pydantic.FailFast()]
    )
)


class HttpHostList:
    """Implements `ports.host_list.HostList`."""

    def __init__(self, address: models.Address) -> None:
        """Initialize the client without opening connections."""
        self._etag = ''
        self._cached_hosts: tuple[host_list.Host, ...] = ()
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}',
            headers=bounded_http.HEADERS,
            timeout=_LIMITS.timeout_seconds,
        )
        self._budget = budget.ByteBudget(_LIMITS.size_bytes)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def hosts(
        self,
    ) -> expression.Result[tuple[host_list.Host, ...], host_list.HostListError]:
        """Return all listed hosts."""
        try:
            return expression.Ok(await self._fetch())
        except (httpx.HTTPError, ValueError) as error:
            return expression.Error(host_list.HostListError(str(error)))

    async def _fetch(self) -> tuple[host_list.Host, ...]:
        """Fetch the list; raise httpx.HTTPError or ValueError on failure."""
        headers = {'if-none-match': self._etag} if self._etag else {}
        response = await bounded_http.fetch(
            self._client,
            self._client.build_request('GET', '/hosts', headers=headers),
            _LIMITS,
            self._budget,
        )
        if response.status_code == _NOT_MODIFIED:
            return self._cached_hosts
        response.raise_for_status()
        listed_hosts = _HOSTS_ADAPTER.validate_json(response.content)
        self._cached_hosts = tuple(_to_host(listed) for listed in listed_hosts)
        self._etag = response.headers.get('etag', '')
        return self._cached_hosts


def _to_host(listed: _ListedHost) -> host_list.Host:
    """Convert a list entry to the type of the port."""
    return host_list.Host(
        host=listed.host,
        failure_domain=listed.failure_domain,
        role=listed.role,
        address=models.parse_address(listed.address),
        upstream=listed.upstream,
        target=listed.target,
        leaving=listed.leaving,
        http_address=models.parse_address(listed.http_address),
        group=listed.group,
    )
