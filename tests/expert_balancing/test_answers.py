"""Tests that a switch relies on no answer to another order.

Drawn orders of events in simulated time. To play more of them by hand:

    python -m tests.expert_balancing.test_answers FIRST_SEED SEEDS
"""

import sys

import anyio
import testtools

from tests.expert_balancing import engine_network
from tests.expert_balancing import simulated_leaders

_TROUBLE_SECONDS = 30
_QUIET_SECONDS = 4
# A group that is held at the end of the trouble moves again in this time.
_RECOVERY_SECONDS = 15
_RANKS = 4
_ALL_FAULTS = engine_network.Faults(
    lost=0.04,
    late=0.04,
    answer_lost=0.04,
    answer_late=0.04,
    doubled=0.08,
    swapped=0.04,
    closed=0.04,
)


class Play:
    """One drawn order of events."""

    def __init__(self, test, seed, faults=_ALL_FAULTS):
        """Initialize the group; half of the seeds have answers with names."""
        self.group = engine_network.Group(_RANKS, seed, bool(seed % 2))
        self.group.replace_sockets(test)
        self.leaders = simulated_leaders.Leaders(self.group)
        self.last_steps = 0
        self._faults = faults

    def run(self, trouble_seconds=_TROUBLE_SECONDS):
        """Play trouble, then the time in which the group must move again."""
        self._trouble_seconds = trouble_seconds
        self.leaders.run(self._scenario)

    async def _scenario(self):
        """Disturb the group and its leaders."""
        generator = self.group.generator
        await anyio.sleep(2)
        self.group.faults = self._faults
        until = anyio.current_time() + self._trouble_seconds
        while anyio.current_time() < until:
            await anyio.sleep(generator.expovariate(0.5))
            self._change_leader(generator)
        self.group.faults = engine_network.Faults()
        await anyio.sleep(
            engine_network.LONGEST_DELAY_SECONDS + _RECOVERY_SECONDS
        )
        step = self.group.step
        await anyio.sleep(_QUIET_SECONDS)
        self.last_steps = self.group.step - step

    def _change_leader(self, generator):
        """Kill an entry or let another one lead."""
        if generator.random() < 0.5:
            generator.choice(self.leaders.entries).kill()
        else:
            self.leaders.replace_leader(generator.uniform(0, 1))


class AnswersTest(testtools.TestCase):
    """One rank group of four whose popular experts change."""

    def test_quiet(self):
        """Without faults the group switches often and never rests."""
        for seed in (0, 1):
            play = Play(self, seed, engine_network.Faults())
            play.run(trouble_seconds=0)
            self.check(seed, play)

    # Guards against groups that are released on the answer to another order
    # (MAP), and against groups that stay held.
    def test_drawn_orders_of_events(self):
        """Doubled, late, lost and swapped answers, changes of the leader."""
        for seed in (0, 1):
            play = Play(self, seed)
            play.run()
            self.check(seed, play)

    def check(self, seed, play):
        """Check that all steps had one map and that the group moves."""
        history = '\n'.join(map(str, play.group.history))
        first = play.group.mismatches[:1]
        message = f'seed {seed} {first} {play.last_steps}\n{history}'
        self.assertFalse(first, message)
        least = _QUIET_SECONDS / engine_network.STEP_SECONDS / 2
        self.assertTrue(play.last_steps > least, message)


def _main():
    """Play seeds and print what fails; return the number of failures."""
    first, count = map(int, sys.argv[1:])
    test = AnswersTest('test_quiet')
    steps = 0
    failed = 0
    for seed in range(first, first + count):
        play = Play(test, seed)
        play.run()
        steps += play.group.step
        try:
            test.check(seed, play)
        except AssertionError as error:
            failed += 1
            sys.stdout.write(f'{error}\n')
            sys.stdout.flush()
    sys.stdout.write(f'{steps} steps, {failed} of {count} seeds failed\n')
    return failed


if __name__ == '__main__':
    sys.exit(_main())
