"""Answers to questions where a request would go now."""

import typing
import urllib.parse

import anyio

from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_queue
from nutmegtrail.gateway import routes
from nutmegtrail.preview import models as preview_models
from nutmegtrail.preview import services
from nutmegtrail.residency import regions


class Question(typing.NamedTuple):
    """Host and path of a request, and the name of its client account."""

    host: str
    path: str
    client_account: str


def parse(query: str) -> Question:
    """Return the question in the query of a URL."""
    fields = dict(urllib.parse.parse_qsl(query))
    return Question(
        fields.get('host', ''),
        fields.get('path', ''),
        fields.get('account', ''),
    )


def answer(
    question: Question,
    configuration: models.Configuration | None,
    dispatcher: dispatching.Dispatcher,
    region_by_domain: typing.Mapping[str, str],
) -> preview_models.Preview:
    """Return what would happen to a request now; nothing is sent or queued."""
    if configuration is None:
        return _undecided(
            question,
            preview_models.Outcome.REFUSED,
            'the entry has no configuration yet',
        )
    route = routes.find_route(configuration, question.host, question.path)
    if route is None:
        return _undecided(
            question, preview_models.Outcome.DENIED, 'no route matches'
        )
    account = _find_account(configuration, route, question.client_account)
    if account is None:
        return _undecided(
            question,
            preview_models.Outcome.DENIED,
            'the route needs a key of a known client account',
        )
    if not route.has_service:
        return {
            **_undecided(
                question,
                preview_models.Outcome.REFUSED,
                'no service of the route gets requests',
            ),
            'configuration': configuration.version,
            'route': route.name,
        }
    queued = _queued_request(route, account, region_by_domain)
    now = anyio.current_time()
    previews = [
        services.preview(
            target, dispatcher.situation(target.service, queued), now
        )
        for target in route.targets
    ]
    most = max(previews, key=_weight)
    return {
        **_undecided(
            question,
            preview_models.Outcome(most['outcome']),
            most['reason'],
        ),
        'configuration': configuration.version,
        'route': route.name,
        'priority': queued.priority,
        'services': previews,
    }


def describe(preview: preview_models.Preview) -> str:
    """Return a preview as text."""
    lines = [
        f'{preview["host"]}{preview["path"]} of '
        f'{preview["client_account"] or "no account"}: {preview["outcome"]}, '
        f'{preview["reason"]}',
    ]
    if preview['route']:
        lines.append(
            f'route {preview["route"]} of configuration '
            f'{preview["configuration"]}, priority {preview["priority"]}'
        )
    for service in preview['services']:
        lines.append(
            f'service {service["service"]} (weight {service["weight"]:g}): '
            f'{service["outcome"]}{_destination(service)}, '
            f'{service["reason"]}; '
            f'waits {service["wait_seconds"]} s, may use '
            f'{service["room_ratio"]} of the room'
        )
        lines.extend(
            f'  {upstream["upstream"]} in {upstream["failure_domain"]}: '
            f'{upstream["in_flight"]} of {upstream["slots"]} slots, group '
            f'{upstream["group"]} {upstream["group_in_flight"]} of '
            f'{upstream["group_room"]}: {upstream["obstacle"] or "free"}'
            for upstream in service['upstreams']
        )
    return '\n'.join(lines)


def _destination(service: preview_models.ServicePreview) -> str:
    """Return where a request would be sent as text, '' if nowhere."""
    return f' to {service["upstream"]}' if service['upstream'] else ''


def _undecided(
    question: Question, outcome: preview_models.Outcome, reason: str
) -> preview_models.Preview:
    """Return a preview that no route or service is known for."""
    return {
        'host': question.host,
        'path': question.path,
        'client_account': question.client_account,
        'configuration': None,
        'route': '',
        'priority': None,
        'outcome': outcome.value,
        'reason': reason,
        'services': [],
    }


def _find_account(
    configuration: models.Configuration, route: models.Route, name: str
) -> models.Account | None:
    """Return the account of a name, None if it may not use the route."""
    for account in configuration.account_by_key.values():
        if account.name == name:
            return account
    if configuration.checks_keys and route.needs_key:
        return None
    return models.Account('', None)


def _queued_request(
    route: models.Route,
    account: models.Account,
    region_by_domain: typing.Mapping[str, str],
) -> request_queue.QueuedRequest:
    """Return the request as it would be queued if it arrived now."""
    now = anyio.current_time()
    return request_queue.QueuedRequest(
        'preview',
        account.name,
        route.priority if account.priority is None else account.priority,
        now + route.objective_seconds,
        dispatching.latest_start(route, now, now + route.timeout_seconds),
        frozenset(),
        allowed_domains=regions.allowed_domains(
            region_by_domain, route.allowed_regions, account.allowed_regions
        ),
    )


def _weight(preview: preview_models.ServicePreview) -> float:
    """Return the weight of a service, as a sort key."""
    return preview['weight']
