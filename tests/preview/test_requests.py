"""Previews of requests, which agree with what the dispatcher does."""

import anyio
import testtools

from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import fleet
from nutmegtrail.gateway import models
from nutmegtrail.gateway import request_queue
from nutmegtrail.preview import requests
from tests import simulated_time
from tests.gateway import samples

_REGIONS = {'kandla-a': 'kutch', 'kandla-b': 'gujarat'}


def _ask(
    upstreams,
    route=None,
    prepare=None,
    account='agency',
    path='/a/x',
    configuration=None,
):
    """Return the preview of a request and the prepared dispatcher."""
    if configuration is None:
        configuration = samples.configuration(route or samples.route())

    async def _main():
        dispatcher = dispatching.Dispatcher('kandla-a')
        dispatcher.known_upstreams = fleet.decide(
            fleet.SnapshotReceived(tuple(upstreams)), fleet.Fleet(), 0
        )
        if prepare is not None:
            await prepare(dispatcher)
        counts = dispatcher.counts
        preview = requests.answer(
            requests.Question('example', path, account),
            configuration,
            dispatcher,
            _REGIONS,
        )
        # A preview neither sends nor queues anything.
        assert dispatcher.counts is counts
        assert not dispatcher.waiting_count
        return preview

    return simulated_time.run(_main)


async def _fill(dispatcher):
    """Let two requests run, which takes all slots of an upstream."""
    for name in ('r1', 'r2'):
        now = anyio.current_time()
        queued = request_queue.QueuedRequest(
            name, 'a', 1, now + 1, now + 1, frozenset()
        )
        await dispatcher.acquire('drafts', queued)


class PreviewTest(testtools.TestCase):
    """Where a request would go, and why."""

    def _obstacles(self, preview):
        """Return the obstacles of the upstreams of the only service."""
        service = preview['services'][0]
        return {
            upstream['upstream']: upstream['obstacle']
            for upstream in service['upstreams']
        }

    def test_free_upstream(self):
        """The request would go to the upstream of the own failure domain."""
        elsewhere = samples.upstream('u1', failure_domain='kandla-b')
        preview = _ask((elsewhere, samples.upstream('u2')))
        self.assertEqual('sent', preview['outcome'])
        self.assertEqual('u2', preview['services'][0]['upstream'])
        self.assertEqual(('r1', 3), (preview['route'], preview['priority']))
        self.assertEqual({'u1': '', 'u2': ''}, self._obstacles(preview))

    def test_no_accounts(self):
        """Without any account, requests are denied as the entry denies them."""
        configuration = samples.configuration(samples.route())._replace(
            account_by_key={}
        )
        for name in ('agency', ''):
            preview = _ask(
                (samples.upstream('u1'),),
                account=name,
                configuration=configuration,
            )
            self.assertEqual('denied', preview['outcome'])

    def test_route_without_weights(self):
        """A route none of whose services has a weight refuses requests."""
        route = samples.route(targets=(models.Target('drafts', 0),))
        preview = _ask((samples.upstream('u1'),), route)
        self.assertEqual('refused', preview['outcome'])
        self.assertEqual('r1', preview['route'])

    def test_full_upstream(self):
        """The request would wait."""
        preview = _ask((samples.upstream('u1'),), prepare=_fill)
        self.assertEqual('queued', preview['outcome'])
        self.assertEqual(
            {'u1': 'all of its slots are taken'}, self._obstacles(preview)
        )

    def test_unusable_upstreams(self):
        """The request would be refused at once; each upstream tells why."""

        async def _evacuate(dispatcher):
            dispatcher.known_upstreams = fleet.decide(
                fleet.DomainsOutOfService(frozenset(('kandla-b',))),
                dispatcher.known_upstreams,
                anyio.current_time(),
            )

        preview = _ask(
            (
                samples.upstream('u1', failure_domain='kandla-b'),
                samples.upstream('u2', leaving=True),
                samples.member('u3', 0, is_open=False),
            ),
            prepare=_evacuate,
        )
        self.assertEqual('refused', preview['outcome'])
        self.assertEqual(
            {
                'u1': 'its failure domain is out of service',
                'u2': 'it leaves',
                'u3': 'its rank group is not open',
            },
            self._obstacles(preview),
        )

    def test_region(self):
        """Only upstreams in allowed regions would get the request."""
        route = samples.route(allowed_regions=frozenset(('gujarat',)))
        preview = _ask(
            (
                samples.upstream('u1'),
                samples.upstream('u2', failure_domain='kandla-b'),
            ),
            route,
        )
        self.assertEqual('u2', preview['services'][0]['upstream'])
        self.assertEqual(
            'its region is not allowed', self._obstacles(preview)['u1']
        )

    def test_denied(self):
        """A request without a route or an account would be denied."""
        upstreams = (samples.upstream('u1'),)
        for changes, reason in (
            ({'path': '/b/'}, 'no route matches'),
            (
                {'account': 'x'},
                'the route needs a key of a known client account',
            ),
        ):
            preview = _ask(upstreams, **changes)
            self.assertEqual('denied', preview['outcome'])
            self.assertEqual(reason, preview['reason'])

    def test_several_services(self):
        """Each service of a route has a preview; the largest one decides."""
        targets = (models.Target('drafts', 1), models.Target('desk', 9))
        preview = _ask(
            (samples.upstream('u1'),), samples.route(targets=targets)
        )
        self.assertEqual('refused', preview['outcome'])
        self.assertEqual(
            ['sent', 'refused'],
            [service['outcome'] for service in preview['services']],
        )

    def test_text(self):
        """The text names the outcome, the upstreams and their obstacles."""
        preview = _ask((samples.upstream('u1'),), prepare=_fill)
        text = requests.describe(preview)
        self.assertIn('example/a/x of agency: queued', text)
        self.assertIn(
            'u1 in kandla-a: 2 of 2 slots, group u1 2 of 2.0: '
            'all of its slots are taken',
            text,
        )
