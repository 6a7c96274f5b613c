"""Host list client: a JSON list over HTTP."""

import typing

import expression
import httpx
import pydantic

from nutmegtrail import models
from nutmegtrail.ports import host_list

_TIMEOUT_SECONDS: typing.Final = 1.0
_NOT_MODIFIED: typing.Final = 304


class _Listed(pydantic.BaseModel):
    """One host as the platform lists it."""

    host: str
    failure_domain: str
    role: str
    address: str
    http_address: str
    upstream: str = ''
    target: str = ''
    leaving: bool = False
    group: str = ''


_LISTED: typing.Final = pydantic.TypeAdapter(tuple[_Listed, ...])


class HttpHostList:
    """Implements `ports.host_list.HostList`."""

    def __init__(self, address: models.Address) -> None:
        """Keep the address; nothing is connected yet."""
        self._tag = ''
        self._listed: tuple[host_list.Host, ...] = ()
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}',
            timeout=_TIMEOUT_SECONDS,
        )

    async def close(self) -> None:
        """Close the connections."""
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
        """Return the listed hosts; raise the library's errors."""
        headers = {'if-none-match': self._tag} if self._tag else {}
        response = await self._client.get('/hosts', headers=headers)
        if response.status_code == _NOT_MODIFIED:
            return self._listed
        response.raise_for_status()
        listed = _LISTED.validate_json(response.content)
        self._listed = tuple(_host(entry) for entry in listed)
        self._tag = response.headers.get('etag', '')
        return self._listed


def _host(listed: _Listed) -> host_list.Host:
    """Return a host of the port's type."""
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
