"""Sizes of hosts that entries tell each other."""

import anyio
import testtools

from nutmegtrail import models
from nutmegtrail.gateway import dispatcher as dispatching
from nutmegtrail.gateway import share_exchange
from nutmegtrail.host_limits import condition
from tests import simulated_time

_LARGE = share_exchange.HostSize(2.15, 200)
_SMALL = share_exchange.HostSize(0.56, 28)


class ShareExchangeTest(testtools.TestCase):
    """One large host among many small ones."""

    def _run(self, own_size, scenario):
        """Run a scenario with an entry that hears a large and small ones."""

        async def _main():
            exchange = share_exchange.ShareExchange(
                dispatching.Dispatcher('a'), own_size
            )
            for number, size in enumerate((_LARGE, _SMALL, _SMALL)):
                report = share_exchange.ShareReport(1, 0, *size)
                exchange.record(f'10.{number}.0.40:7340', report)
            return await scenario(exchange)

        return simulated_time.run(_main)

    def test_larger_hosts(self):
        """Only clearly larger hosts count, and none to the largest."""

        async def _scenario(exchange):
            return exchange.larger_hosts()

        self.assertEqual(1, self._run(_SMALL, _scenario))
        self.assertEqual(0, self._run(_LARGE, _scenario))
        almost = share_exchange.HostSize(1.5, 200)
        self.assertEqual(0, self._run(almost, _scenario))

    def test_host_at_its_limit(self):
        """Pattern: the largest host is choked; all others bear more."""

        async def _scenario(exchange):
            exchange.on_host_limit(frozenset((condition.Resource.PROCESSOR,)))
            choked = exchange.larger_hosts()
            told = exchange.report_to('10.1.0.40:7340').size
            exchange.on_host_limit(frozenset())
            return choked, told, exchange.larger_hosts()

        self.assertEqual(
            (3, share_exchange.UNKNOWN_SIZE, 0), self._run(_LARGE, _scenario)
        )

    def test_silent_hosts(self):
        """A large host that is not heard any more does not count."""

        async def _scenario(exchange):
            await anyio.sleep(1)
            exchange.offer_loans()
            return exchange.larger_hosts()

        self.assertEqual(0, self._run(_SMALL, _scenario))

    def test_links(self):
        """Links count by what the entries told, unknown ones as the own."""

        async def _scenario(exchange):
            return [
                exchange.link_weight(models.Address(f'10.{number}.0.40', 7340))
                for number in (0, 1, 9)
            ]

        self.assertEqual([200, 28, 28], self._run(_SMALL, _scenario))
