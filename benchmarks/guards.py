"""Removes guards one by one in a scratch copy and runs the tests there.

A guard whose removal leaves the tests green is not proved by them.
"""

import concurrent.futures
import pathlib
import shutil
import subprocess  # noqa: S404
import sys
import tempfile
import typing

_ROOT: typing.Final = pathlib.Path(__file__).parents[1]
_SHARD: typing.Final = 'nutmegtrail/idempotency/shard.py'
_ADMISSION: typing.Final = 'nutmegtrail/idempotency/admission.py'
_CLAIMS: typing.Final = 'tests/idempotency'
_WORKERS: typing.Final = 4


class Guard(typing.NamedTuple):
    """A line that upholds a promise, and what stands in its place."""

    name: str
    file: str
    present: str
    removed: str
    tests: str


_WORLD: typing.Final = 'tests/idempotency/world.py'
GUARDS: typing.Final = (
    Guard(
        'compare of the stored log',
        _WORLD,
        'matches = action.expected_revision == self._revision',
        'matches = True',
        _CLAIMS,
    ),
    Guard(
        'lease of the present owner',
        _SHARD,
        'if event.is_owner_live:',
        'if False:',
        _CLAIMS,
    ),
    Guard(
        'lease before not-run in an outage',
        _SHARD,
        'if owned and context.lease_valid:',
        'if True:',
        _CLAIMS,
    ),
    Guard(
        'certainty after a lapse',
        _SHARD,
        'owned = shard.certain and',
        'owned =',
        _CLAIMS,
    ),
    Guard(
        'waiter and deadline before a run',
        _ADMISSION,
        'if waiters and claim.deadline_seconds > context.now_seconds:',
        'if True:',
        _CLAIMS,
    ),
    Guard(
        'batch identifier after a lost answer',
        _SHARD,
        'if admission.took_effect(batch, event.log, shard.me):',
        'if True:',
        _CLAIMS,
    ),
    Guard(
        'stored claim before a new one',
        _ADMISSION,
        'if record is not None and record.status is not '
        'models.Status.ABANDONED:\n        return _answer_from(shard, record, '
        'waiter)\n    claimed',
        'claimed',
        _CLAIMS,
    ),
    Guard(
        'stored tombstone before a claim',
        _ADMISSION,
        'if call.request_id in shard.log.tombstones_by_request_id:',
        'if False:',
        _CLAIMS,
    ),
    Guard(
        'tombstone in the same batch',
        _ADMISSION,
        'if _is_being_buried(shard, call.request_id):',
        'if False:',
        _CLAIMS,
    ),
    Guard(
        'read back after a lost answer',
        _SHARD,
        'shard._replace(role=models.Role.READING),\n'
        '        (models.ReadShard(),),\n    )\n\n\n'
        '@decide.register\ndef _upstream_answered',
        'shard._replace(role=models.Role.READING),\n'
        '        (),\n    )\n\n\n'
        '@decide.register\ndef _upstream_answered',
        _CLAIMS,
    ),
)

_MEMBER: typing.Final = 'nutmegtrail/expert_map/member.py'
_COORDINATOR: typing.Final = 'nutmegtrail/expert_map/coordinator.py'
_SWITCH: typing.Final = 'tests/expert_map'
_SWITCH_GUARDS: typing.Final = (
    Guard(
        'step beyond the horizon',
        _MEMBER,
        'and proposal.since_step > member.horizon',
        '',
        _SWITCH,
    ),
    Guard(
        'one proposal at a time',
        _MEMBER,
        'member.phase is models.Phase.SERVING\n        and proposal',
        'proposal',
        _SWITCH,
    ),
    Guard(
        'decision of the last promised ballot',
        _MEMBER,
        'if event.ballot != member.promised:',
        'if False:',
        _SWITCH,
    ),
    Guard(
        'no release while a decision is awaited',
        _MEMBER,
        'if member.phase is not models.Phase.SERVING or horizon <= '
        'member.horizon:',
        'if horizon <= member.horizon:',
        _SWITCH,
    ),
    Guard(
        'promise of every member',
        _COORDINATOR,
        'if promised_by == coordination.members:',
        'if len(promised_by) >= 2:',
        _SWITCH,
    ),
    Guard(
        'report of every member',
        _COORDINATOR,
        'if frozenset(reports) != coordination.members:',
        'if len(reports) < 2:',
        _SWITCH,
    ),
    Guard(
        'newest reported map',
        _COORDINATOR,
        'newest = max(reports.values(), key=_since_step)',
        'newest = min(reports.values(), key=_since_step)',
        _SWITCH,
    ),
    Guard(
        'ballots of one incarnation',
        'tests/expert_map/group.py',
        "return f'{name}/{self._restarts_by_name[name]}'",
        "return f'{name}/0'",
        _SWITCH,
    ),
    Guard(
        'fence before reading the engine',
        'tests/expert_map/group.py',
        'engine.fence += 1',
        'engine.fence += 0',
        _SWITCH,
    ),
    Guard(
        'wait before reading an engine that ignores fences',
        'tests/expert_map/group.py',
        'self._wait_for_orders(engine)',
        'engine.fence += 1',
        _SWITCH,
    ),
)


_TAKE_OVER: typing.Final = 'nutmegtrail/gateway/switch_recovery.py'
_KEEPER: typing.Final = 'tests/gateway/test_expert_balancer.py'
_TAKE_OVER_GUARDS: typing.Final = (
    Guard(
        'fence made known before the reports are read',
        _TAKE_OVER,
        'if not await self._fence_off(group):',
        'if False:',
        _KEEPER,
    ),
    Guard(
        'version that nobody can have armed',
        _TAKE_OVER,
        'newest + const.UNUSED_VERSION_GAP',
        'newest + 1',
        _KEEPER,
    ),
    Guard(
        'order to disarm until it is answered',
        _TAKE_OVER,
        'await anyio.sleep(const.ORDER_RETRY_SECONDS)',
        'return',
        _KEEPER,
    ),
    Guard(
        'doubt about a group that refuses a map',
        'nutmegtrail/gateway/expert_balancer.py',
        'self._switch_recovery.doubt(group)',
        'pass',
        _KEEPER,
    ),
)


def main() -> int:
    """Print a line for each guard; return 1 if a removal stays green.

    A word on the command line chooses the guards whose tests' path has it.
    """
    chosen = sys.argv[1] if len(sys.argv) > 1 else ''
    guards = [
        guard
        for guard in (*GUARDS, *_SWITCH_GUARDS, *_TAKE_OVER_GUARDS)
        if chosen in guard.tests
    ]
    with concurrent.futures.ThreadPoolExecutor(_WORKERS) as pool:
        outcomes = list(pool.map(_is_red, guards))
    for guard, red in zip(guards, outcomes, strict=True):
        print(f'{"red" if red else "GREEN"}: without {guard.name}')
    return 0 if all(outcomes) else 1


def _is_red(guard: Guard) -> bool:
    """Return whether the tests fail without a guard."""
    with tempfile.TemporaryDirectory() as folder:
        scratch = pathlib.Path(folder)
        for name in ('nutmegtrail', 'tests'):
            shutil.copytree(_ROOT / name, scratch / name)
        shutil.copy(_ROOT / 'pyproject.toml', scratch)
        path = scratch / guard.file
        text = path.read_text()
        if guard.present not in text:
            raise LookupError(f'{guard.name}: not found in {guard.file}')
        path.write_text(text.replace(guard.present, guard.removed, 1))
        done = subprocess.run(  # noqa: S603
            (sys.executable, '-m', 'pytest', '-x', guard.tests),
            cwd=scratch,
            env={'PYTHONPATH': str(scratch)},
            check=False,
            capture_output=True,
        )
    return done.returncode == 1


if __name__ == '__main__':
    sys.exit(main())
