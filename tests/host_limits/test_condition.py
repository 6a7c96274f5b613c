"""Conditions of a host while its use rises and falls."""

import testtools

from nutmegtrail.host_limits import condition
from nutmegtrail.host_limits import const
from nutmegtrail.host_limits import monitor
from nutmegtrail.observability import metrics

_LIMITS = condition.Limits(memory_bytes=100, descriptors=1_000)


def _observe(readings, limits=_LIMITS):
    """Return which resources are used up after each reading."""
    current = condition.Condition()
    exhausted = []
    for reading in readings:
        current = condition.observe(current, reading, limits)
        exhausted.append(set(current.exhausted))
    return exhausted


class ConditionTest(testtools.TestCase):
    """A resource is used up before its limit is reached."""

    def test_memory_that_rises_and_falls(self):
        """Pattern: memory swings about the point of refusal."""
        used = (50, 79, 81, 75, 79, 71, 69, 75)
        readings = [condition.Reading(memory_bytes=use) for use in used]
        memory = {condition.Resource.MEMORY}
        self.assertEqual(
            [set(), set(), memory, memory, memory, memory, set(), set()],
            _observe(readings),
        )

    def test_no_descriptor_left(self):
        """Pattern: clients open connections until none can be accepted."""
        readings = [
            condition.Reading(descriptors=used)
            for used in (799, 801, float('inf'), 600)
        ]
        descriptors = {condition.Resource.DESCRIPTORS}
        self.assertEqual(
            [set(), descriptors, descriptors, set()], _observe(readings)
        )

    def test_suspended_host(self):
        """Pattern: a host pauses once for seconds; nothing is refused."""
        readings = [condition.Reading(lag_seconds=lag) for lag in (4, 0, 0, 0)]
        self.assertEqual(set(), set().union(*_observe(readings)))

    def test_slow_processor(self):
        """Pattern: timers stay late; it is known within some readings."""
        readings = [condition.Reading(lag_seconds=0.4) for _ in range(10)]
        exhausted = _observe(readings)
        self.assertEqual(set(), exhausted[0])
        self.assertEqual({condition.Resource.PROCESSOR}, exhausted[-1])

    def test_unknown_limits(self):
        """Without limits in the settings nothing is used up."""
        readings = [condition.Reading(9, 10**12, 10**6) for _ in range(20)]
        exhausted = _observe(readings, condition.Limits())
        self.assertEqual(set(), set().union(*exhausted))


class HostMonitorTest(testtools.TestCase):
    """Changes of the condition are told once."""

    def test_changes(self):
        """Pattern: one small host gets many large requests."""
        told = []
        monitored = monitor.HostMonitor(
            _LIMITS, (told.append,), metrics.Metrics()
        )
        for memory in (10, 90, 92, 95, 60, 50):
            monitored.record(condition.Reading(memory_bytes=memory))
        self.assertEqual([{condition.Resource.MEMORY}, set()], told)

    def test_readings(self):
        """The process can read its own use."""
        self.assertTrue(monitor._memory_bytes() > const.BYTES_PER_MEGABYTE)
        self.assertTrue(monitor._descriptors() > 0)
