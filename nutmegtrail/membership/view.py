"""A node's view of the entries and upstreams that accept requests.

The host list is updated with a delay, so direct observations take
precedence: a draining reply excludes an upstream at once, and a failed
connection excludes it until the suspect timeout ends.
"""

import typing

import pyrsistent
import pyrsistent.typing

from nutmegtrail import models
from nutmegtrail.membership import const
from nutmegtrail.ports import host_list

HostsByName: typing.TypeAlias = pyrsistent.typing.PMap[str, host_list.Host]
TimesByName: typing.TypeAlias = pyrsistent.typing.PMap[str, float]


class View(typing.NamedTuple):
    """Listed hosts, draining upstreams and the end of each suspect timeout."""

    entries_by_host: HostsByName = pyrsistent.pmap()
    sidecars_by_upstream: HostsByName = pyrsistent.pmap()
    draining: frozenset[str] = frozenset()
    suspected_until_by_upstream: TimesByName = pyrsistent.pmap()


def apply_host_list(view: View, hosts: typing.Iterable[host_list.Host]) -> View:
    """Return the view after the host list was read.

    An upstream is no longer draining once the list has another address for
    it, because it then belongs to a new process.
    """
    entries = {}
    sidecars = {}
    for host in hosts:
        if host.role == 'entry':
            entries[host.host] = host
        else:
            sidecars[host.upstream] = host
    replaced = frozenset(
        upstream
        for upstream in view.draining
        if _address_changed(view, sidecars.get(upstream), upstream)
    )
    return view._replace(
        entries_by_host=pyrsistent.pmap(entries),
        sidecars_by_upstream=pyrsistent.pmap(sidecars),
        draining=view.draining - replaced,
    )


def mark_draining(view: View, upstream: str) -> View:
    """Return the view after a sidecar reported that it is draining."""
    return view._replace(draining=view.draining | {upstream})


def clear_draining(view: View, upstream: str) -> View:
    """Return the view after a draining sidecar accepted a request again."""
    if upstream not in view.draining:
        return view
    return view._replace(draining=view.draining - {upstream})


def mark_suspect(view: View, upstream: str, now_seconds: float) -> View:
    """Return the view after a connection to a sidecar failed."""
    until = now_seconds + const.SUSPECT_TIMEOUT_SECONDS
    suspected = view.suspected_until_by_upstream.set(upstream, until)
    return view._replace(suspected_until_by_upstream=suspected)


def upstreams_for(
    view: View,
    target: str,
    now_seconds: float,
) -> tuple[host_list.Host, ...]:
    """Return the sidecars whose upstreams accept requests for a target."""
    return tuple(
        host
        for upstream, host in view.sidecars_by_upstream.items()
        if host.target == target
        and not host.leaving
        and upstream not in view.draining
        and view.suspected_until_by_upstream.get(upstream, 0) <= now_seconds
    )


def entry_addresses(view: View) -> dict[str, models.Address]:
    """Return the addresses of the entries that are not leaving, by host."""
    return {
        name: host.address
        for name, host in view.entries_by_host.items()
        if not host.leaving
    }


def group_addresses(
    hosts: typing.Iterable[host_list.Host],
    group: str,
) -> dict[str, models.Address]:
    """Return the addresses of the sidecars of a rank group, by upstream."""
    return {
        host.upstream: host.address for host in hosts if host.group == group
    }


def _address_changed(
    view: View,
    host: host_list.Host | None,
    upstream: str,
) -> bool:
    """Return whether an upstream has a new process or left the list."""
    previous = view.sidecars_by_upstream.get(upstream)
    if host is None or previous is None:
        return True
    return host.address != previous.address
