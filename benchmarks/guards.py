"""Mutation tests: removes each guard in a copy of the code and runs the tests.

A guard is a line that a guarantee depends on. If the tests pass without it,
they do not cover it.
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
_IDEMPOTENCY_TESTS: typing.Final = 'tests/idempotency'
_WORKER_THREADS: typing.Final = 4


class Guard(typing.NamedTuple):
    """Source text that a guarantee depends on, and its replacement."""

    name: str
    file: str
    present: str
    removed: str
    tests: str


_SIMULATION: typing.Final = 'tests/idempotency/simulation.py'
_IDEMPOTENCY_GUARDS: typing.Final = (
    Guard(
        'compare-and-swap by the revision of the log',
        _SIMULATION,
        'matches = action.expected_revision == self._revision',
        'matches = True',
        _IDEMPOTENCY_TESTS,
    ),
    Guard(
        'no takeover from an owner with a live lease',
        _SHARD,
        'if event.is_owner_live:',
        'if False:',
        _IDEMPOTENCY_TESTS,
    ),
    Guard(
        'valid lease before a not-run refusal in an outage',
        _SHARD,
        'if is_owner and context.is_lease_valid:',
        'if True:',
        _IDEMPOTENCY_TESTS,
    ),
    Guard(
        'log verified again after the lease expired',
        _SHARD,
        'is_owner = shard.is_log_verified and',
        'is_owner =',
        _IDEMPOTENCY_TESTS,
    ),
    Guard(
        'waiter and unexpired deadline before a run',
        _ADMISSION,
        'if waiters and claim.deadline_seconds > context.now_seconds:',
        'if True:',
        _IDEMPOTENCY_TESTS,
    ),
    Guard(
        'batch lookup in the log after a lost answer',
        _SHARD,
        'if admission.is_batch_stored(batch, event.log, shard.local_owner):',
        'if True:',
        _IDEMPOTENCY_TESTS,
    ),
    Guard(
        'response from a stored record before a new claim',
        _ADMISSION,
        'if record is not None and record.status is not '
        'models.Status.ABANDONED:\n        return _respond_from_record('
        'shard, record, waiter)\n    claimed',
        'claimed',
        _IDEMPOTENCY_TESTS,
    ),
    Guard(
        'check for stored tombstones before a claim',
        _ADMISSION,
        'if call.request_id in shard.log.tombstones_by_request_id:',
        'if False:',
        _IDEMPOTENCY_TESTS,
    ),
    Guard(
        'check for pending tombstones before a claim',
        _ADMISSION,
        'if _has_pending_tombstone(shard, call.request_id):',
        'if False:',
        _IDEMPOTENCY_TESTS,
    ),
    Guard(
        'read of the shard after a lost answer',
        _SHARD,
        'shard._replace(role=models.Role.READING),\n'
        '        (models.ReadShard(),),\n    )\n\n\n'
        '@decide.register\ndef _upstream_responded',
        'shard._replace(role=models.Role.READING),\n'
        '        (),\n    )\n\n\n'
        '@decide.register\ndef _upstream_responded',
        _IDEMPOTENCY_TESTS,
    ),
)

_MEMBER: typing.Final = 'nutmegtrail/expert_map/member.py'
_COORDINATOR: typing.Final = 'nutmegtrail/expert_map/coordinator.py'
_EXPERT_MAP_TESTS: typing.Final = 'tests/expert_map'
_EXPERT_MAP_GUARDS: typing.Final = (
    Guard(
        'switch step beyond the released horizon',
        _MEMBER,
        'and proposal.since_step > member.horizon',
        '',
        _EXPERT_MAP_TESTS,
    ),
    Guard(
        'one proposal at a time',
        _MEMBER,
        'member.phase is models.Phase.SERVING\n        and proposal',
        'proposal',
        _EXPERT_MAP_TESTS,
    ),
    Guard(
        'decision only for the ballot promised last',
        _MEMBER,
        'if event.ballot != member.promised:',
        'if False:',
        _EXPERT_MAP_TESTS,
    ),
    Guard(
        'no release of steps while a decision is pending',
        _MEMBER,
        'if member.phase is not models.Phase.SERVING or horizon <= '
        'member.horizon:',
        'if horizon <= member.horizon:',
        _EXPERT_MAP_TESTS,
    ),
    Guard(
        'promises from all members',
        _COORDINATOR,
        'if promised_by == coordination.members:',
        'if len(promised_by) >= 2:',
        _EXPERT_MAP_TESTS,
    ),
    Guard(
        'reports from all members',
        _COORDINATOR,
        'if frozenset(reports) != coordination.members:',
        'if len(reports) < 2:',
        _EXPERT_MAP_TESTS,
    ),
    Guard(
        'newest map of the reports',
        _COORDINATOR,
        'newest = max(reports.values(), key=_since_step)',
        'newest = min(reports.values(), key=_since_step)',
        _EXPERT_MAP_TESTS,
    ),
    Guard(
        'ballots that differ after a restart',
        'tests/expert_map/group.py',
        "return f'{name}/{self._restarts_by_name[name]}'",
        "return f'{name}/0'",
        _EXPERT_MAP_TESTS,
    ),
    Guard(
        'new fencing token before the engine is read',
        'tests/expert_map/group.py',
        'engine.fence += 1',
        'engine.fence += 0',
        _EXPERT_MAP_TESTS,
    ),
    Guard(
        'wait before an engine without fencing is read',
        'tests/expert_map/group.py',
        'self._wait_for_orders(engine)',
        'engine.fence += 1',
        _EXPERT_MAP_TESTS,
    ),
)


_SWITCH_RECOVERY: typing.Final = (
    'nutmegtrail/expert_balancing/switch_recovery.py'
)
_EXPERT_BALANCER_TESTS: typing.Final = (
    'tests/expert_balancing/test_expert_balancer.py'
)
_GROUP_RECOVERY_TESTS: typing.Final = (
    'tests/expert_balancing/test_group_recovery.py'
)
_SWITCH_EXECUTOR: typing.Final = (
    'nutmegtrail/expert_balancing/switch_executor.py'
)
_LARGE_GROUP_TESTS: typing.Final = 'tests/expert_balancing/test_large_groups.py'
_SWITCH_RECOVERY_GUARDS: typing.Final = (
    Guard(
        'ranks fenced off before the reports are read',
        _SWITCH_RECOVERY,
        'if not await self._fence_off(group):',
        'if False:',
        _EXPERT_BALANCER_TESTS,
    ),
    Guard(
        'version that no earlier leader can have armed',
        _SWITCH_RECOVERY,
        'newest_version + const.UNUSED_VERSION_GAP',
        'newest_version + 1',
        _EXPERT_BALANCER_TESTS,
    ),
    Guard(
        'disarm order repeated until it is answered',
        _SWITCH_RECOVERY,
        'await anyio.sleep(const.ORDER_RETRY_SECONDS)',
        'return',
        _EXPERT_BALANCER_TESTS,
    ),
    Guard(
        'recovery of a group in which a rank refused an order',
        'nutmegtrail/expert_balancing/expert_balancer.py',
        'self._switch_recovery.mark_for_recovery(group)',
        'pass',
        _EXPERT_BALANCER_TESTS,
    ),
    Guard(
        'recovery of a group that registers after a take-over',
        _SWITCH_RECOVERY,
        'self._recovered_by_group.get(group.name) != _formation(group)',
        '_formation(group) is None',
        _GROUP_RECOVERY_TESTS,
    ),
    Guard(
        'recovery of a group that a late order holds again',
        'nutmegtrail/expert_balancing/held_steps.py',
        'if report.held_step != held_step:',
        'if True:',
        _GROUP_RECOVERY_TESTS,
    ),
    Guard(
        'hold only after a report of the rank that holds',
        _SWITCH_EXECUTOR,
        'if not await self._read_report(self._group.members[0], tasks):',
        'if False:',
        _LARGE_GROUP_TESTS,
    ),
    Guard(
        'leadership ends when a peer meets a newer fence',
        _SWITCH_EXECUTOR,
        'if rank_control.OrderOutcome.FENCED in outcomes_by_id.values():',
        'if False:',
        _LARGE_GROUP_TESTS,
    ),
    Guard(
        'nothing but maps is relayed',
        'nutmegtrail/adapters/order_relay/documents.py',
        'if operation is not switch.Operation.PREPARE:',
        'if False:',
        'tests/adapters/order_relay/test_order_relay.py',
    ),
)


_QUARANTINE: typing.Final = 'nutmegtrail/retries/quarantine.py'
_CRASH_DETECTOR: typing.Final = 'nutmegtrail/gateway/crash_detector.py'
_MARK_REPLICA: typing.Final = 'nutmegtrail/gateway/mark_replica.py'
_CRASH_TESTS: typing.Final = 'tests/gateway/test_crash_detector.py'
_MARK_TESTS: typing.Final = 'tests/gateway/test_crash_quarantine.py'
_CRASH_GUARDS: typing.Final = (
    Guard(
        'crash attributed to those with the most crashes only',
        _QUARANTINE,
        'and _highest_count(quarantine, crash_id, now_seconds, cleared) <= count',
        'and True',
        'tests/retries',
    ),
    Guard(
        'leaving upstream that ends as planned',
        _CRASH_DETECTOR,
        'and not current.leaving',
        'and True',
        _CRASH_TESTS,
    ),
    Guard(
        'crash withdrawn if the incarnation stays registered',
        _CRASH_DETECTOR,
        'self._quarantine.withdraw(crash_id)',
        'pass',
        _CRASH_TESTS,
    ),
    Guard(
        'interruption dropped once the upstream has responded',
        _CRASH_DETECTOR,
        'if self._has_responded_since(interruption):',
        'if False:',
        _CRASH_TESTS,
    ),
    Guard(
        'probe that was started after the connection broke',
        _CRASH_DETECTOR,
        'if probed is None or probed.started_at_seconds < broken_at:',
        'if probed is None:',
        _CRASH_TESTS,
    ),
    Guard(
        'another lease after that of the marks is gone',
        _MARK_REPLICA,
        'if isinstance(written.error, key_value.LeaseGone):',
        'if False:',
        _MARK_TESTS,
    ),
    Guard(
        'success of any entry clears a request in the store',
        _MARK_REPLICA,
        'self._enqueue(key, None)',
        'pass',
        _MARK_TESTS,
    ),
    Guard(
        'own marks written again to an earlier copy of the store',
        _MARK_REPLICA,
        'self._enqueue(key, content)\n        self._is_copy',
        'pass\n        self._is_copy',
        _MARK_TESTS,
    ),
)
_PART_EVIDENCE: typing.Final = 'nutmegtrail/retries/part_evidence.py'
_PART_TESTS: typing.Final = 'tests/retries/test_part_evidence.py'
_PART_GUARDS: typing.Final = (
    Guard(
        'part that was sound before needs a contrast',
        _PART_EVIDENCE,
        'if success_count - count_at_mark < const.CONTRAST_SUCCESS_COUNT:',
        'if False:',
        _PART_TESTS,
    ),
    Guard(
        'parts that were marked together are refused together',
        _PART_EVIDENCE,
        'may_be_another = not suspects.issubset(parts)',
        'may_be_another = False',
        _PART_TESTS,
    ),
    Guard(
        'parts known to be sound do not count for a new one',
        _PART_EVIDENCE,
        'cleared = evidence.succeeded_at_by_part',
        'cleared = ()',
        _PART_TESTS,
    ),
    Guard(
        'no mark for a part that was begun since the crash',
        _PART_EVIDENCE,
        'if evidence.succeeded_at_by_part.get(part, _EARLIER) > at_seconds:',
        'if False:',
        _PART_TESTS,
    ),
    Guard(
        'success of a marked part is told to entries that start',
        'nutmegtrail/gateway/part_quarantine.py',
        "self.replica.write(part, _SUCCESS_ID, b'')",
        'pass',
        'tests/gateway/test_part_quarantine.py',
    ),
    Guard(
        'success of a part is read before its marks',
        'nutmegtrail/gateway/part_quarantine.py',
        "_SUCCESS_ID: typing.Final = '0-succeeded'",
        "_SUCCESS_ID: typing.Final = 'succeeded'",
        'tests/gateway/test_part_quarantine.py',
    ),
    Guard(
        'stream that went on does not blame its parts',
        'nutmegtrail/gateway/crash_guard.py',
        '() if job.has_settled else job.part_keys',
        'job.part_keys',
        'tests/gateway/test_crash_guard.py',
    ),
)
_HEDGING: typing.Final = 'nutmegtrail/gateway/hedging.py'
_ATTEMPT_RUNNER: typing.Final = 'nutmegtrail/gateway/attempt_runner.py'
_HEDGING_TESTS: typing.Final = 'tests/gateway/test_hedging.py'
_ATTEMPT_TESTS: typing.Final = 'tests/gateway/test_attempt_runner.py'
_HEDGING_GUARDS: typing.Final = (
    Guard(
        'first result ends the other operation',
        _HEDGING,
        'self._primary_scope.cancel()',
        'pass',
        _HEDGING_TESTS,
    ),
    Guard(
        'hedge that runs decides after a failure',
        _HEDGING,
        'if self._is_hedged:',
        'if False:',
        _HEDGING_TESTS,
    ),
    Guard(
        'hedge takes over only with something to forward',
        _ATTEMPT_RUNNER,
        'await opened.prefetch(job.route.kind)',
        'pass',
        _ATTEMPT_TESTS,
    ),
    Guard(
        'hedge counts against the limit of upstreams',
        _ATTEMPT_RUNNER,
        'if assignment.is_hedge and not isinstance(event, _NOT_SENT):',
        'if False:',
        _ATTEMPT_TESTS,
    ),
)
_STORE: typing.Final = 'nutmegtrail/platform/store.py'
_ERA_TESTS: typing.Final = 'tests/platform/test_store_era.py'
_ERA_GUARDS: typing.Final = (
    Guard(
        'era in revisions',
        'nutmegtrail/platform/era.py',
        'return revision and (era << const.ERA_SHIFT_BITS) + revision',
        'return revision',
        _ERA_TESTS,
    ),
    Guard(
        'no watch from a revision of an earlier era',
        _STORE,
        'if response.era != era.era_of(after_revision):',
        'if False:',
        _ERA_TESTS,
    ),
    Guard(
        'lease of an earlier era that another has now',
        _STORE,
        'is_live = self._find_lease(lease_id) is not None',
        'is_live = True',
        _ERA_TESTS,
    ),
    Guard(
        'leaving upstream that an earlier copy calls ready',
        'nutmegtrail/gateway/fleet.py',
        'return upstream._replace(leaving=upstream.leaving or known.leaving)',
        'return upstream',
        'tests/gateway/test_fleet.py',
    ),
)
_SHARES: typing.Final = 'nutmegtrail/warmup/shares.py'
_SIGHTINGS: typing.Final = 'nutmegtrail/warmup/sightings.py'
_WARMUP_TESTS: typing.Final = 'tests/warmup'
_DISPATCHER_TESTS: typing.Final = 'tests/gateway/test_dispatcher.py'
_WARMUP_GUARDS: typing.Final = (
    Guard(
        'few entries at a cold upstream that bears little',
        _SHARES,
        'place if place < entries else None',
        'place',
        _WARMUP_TESTS,
    ),
    Guard(
        'no request of an entry that others have dropped',
        _SHARES,
        'if share.place is None or sharing.is_isolated:',
        'if share.place is None:',
        _WARMUP_TESTS,
    ),
    Guard(
        'entries begin in turn',
        _SHARES,
        'cold.since_seconds + (share.place + 1) / rate',
        'cold.since_seconds',
        _WARMUP_TESTS,
    ),
    Guard(
        'cold time does not begin again with a repeated registration',
        _SIGHTINGS,
        'if known is None or event.revision <= known.revision:',
        'if known is None:',
        _WARMUP_TESTS,
    ),
    Guard(
        'registration of an incarnation that has ended',
        _SIGHTINGS,
        'return known if known.started_at_ms == event.started_at_ms else None',
        'return known',
        _WARMUP_TESTS,
    ),
    Guard(
        'cold upstream checked again before a request is sent',
        'nutmegtrail/gateway/request_limiter.py',
        'if not self._confirm_cold(upstream, request_id):',
        'if False:',
        _DISPATCHER_TESTS,
    ),
    Guard(
        'no upstream outside the regions of a request',
        'nutmegtrail/residency/regions.py',
        'return domains is None or failure_domain in domains',
        'return True',
        _DISPATCHER_TESTS,
    ),
    Guard(
        'request that is bound to regions holds up no other',
        'nutmegtrail/gateway/request_queue.py',
        'bool(self.excluded_ids) or self.allowed_domains is not None',
        'bool(self.excluded_ids)',
        _DISPATCHER_TESTS,
    ),
)

_EVACUATION_TESTS: typing.Final = 'tests/gateway/test_evacuation.py'
_DOMAIN_TESTS: typing.Final = 'tests/evacuation'
_DOMAINS: typing.Final = 'nutmegtrail/evacuation/domains.py'
_EVACUATION_GUARDS: typing.Final = (
    Guard(
        'no use of upstreams in domains out of service',
        'nutmegtrail/gateway/fleet.py',
        'if upstream.leaving or is_out:',
        'if upstream.leaving:',
        _EVACUATION_TESTS,
    ),
    Guard(
        'check of the domain right before a request is sent',
        'nutmegtrail/gateway/dispatcher.py',
        'return self._is_open(upstream) and self.limiter.confirm(',
        'return self.limiter.confirm(',
        _EVACUATION_TESTS,
    ),
    Guard(
        'refusal at once without upstreams in service',
        'nutmegtrail/gateway/dispatcher.py',
        'if evacuated_upstreams.are_all(self.known_upstreams, service):',
        'if False:',
        _EVACUATION_TESTS,
    ),
    Guard(
        'requests of all ranks of a group',
        'nutmegtrail/gateway/selection.py',
        'if len(registered) > len(upstreams):',
        'if False:',
        _EVACUATION_TESTS,
    ),
    Guard(
        'ramp of a domain that is back',
        'nutmegtrail/gateway/evacuated_upstreams.py',
        'return in_flight >= upstream.slots * ratio',
        'return False',
        _EVACUATION_TESTS,
    ),
    Guard(
        'answer to an entry that lags',
        'nutmegtrail/gateway/evacuation_recorder.py',
        'if is_outdated and frozenset(told.revision_by_domain) != known:',
        'if False:',
        _EVACUATION_TESTS,
    ),
    Guard(
        'no state of a lower revision',
        _DOMAINS,
        """    if event.revision <= evacuations.revision:
        return evacuations
    kept =""",
        '    kept =',
        _DOMAIN_TESTS,
    ),
    Guard(
        'domains that an earlier copy lacks',
        _DOMAINS,
        'if event.era > evacuations.era:',
        'if False:',
        _DOMAIN_TESTS,
    ),
    Guard(
        'only the store makes an entry ready',
        _DOMAINS,
        """    return _adopt(event, evacuations, now_seconds)
""",
        """    return _adopt(event, evacuations, now_seconds)._replace(is_known=True)
""",
        _DOMAIN_TESTS,
    ),
)


def main() -> int:
    """Print a line for each guard; return 1 if tests pass without one.

    An argument restricts the run to guards whose test path contains it.
    """
    filter_word = sys.argv[1] if len(sys.argv) > 1 else ''
    guards = [
        guard
        for guard in (
            *_IDEMPOTENCY_GUARDS,
            *_EXPERT_MAP_GUARDS,
            *_SWITCH_RECOVERY_GUARDS,
            *_CRASH_GUARDS,
            *_PART_GUARDS,
            *_HEDGING_GUARDS,
            *_ERA_GUARDS,
            *_EVACUATION_GUARDS,
            *_WARMUP_GUARDS,
        )
        if filter_word in guard.tests
    ]
    with concurrent.futures.ThreadPoolExecutor(_WORKER_THREADS) as pool:
        test_failures = list(pool.map(_tests_fail_without, guards))
    for guard, has_failed in zip(guards, test_failures, strict=True):
        print(f'{"red" if has_failed else "GREEN"}: without {guard.name}')
    return 0 if all(test_failures) else 1


def _tests_fail_without(guard: Guard) -> bool:
    """Return whether the tests fail after the removal of a guard.

    Raise LookupError if the guard is not in its file.
    """
    with tempfile.TemporaryDirectory() as directory:
        copy_root = pathlib.Path(directory)
        for name in ('benchmarks', 'nutmegtrail', 'tests'):
            shutil.copytree(_ROOT / name, copy_root / name)
        shutil.copy(_ROOT / 'pyproject.toml', copy_root)
        path = copy_root / guard.file
        text = path.read_text()
        if guard.present not in text:
            raise LookupError(
                f'{guard.name}: quoted text not found in {guard.file}'
            )
        path.write_text(text.replace(guard.present, guard.removed, 1))
        result = subprocess.run(  # noqa: S603
            (sys.executable, '-m', 'pytest', '-x', guard.tests),
            cwd=copy_root,
            env={'PYTHONPATH': str(copy_root)},
            check=False,
            capture_output=True,
        )
    return result.returncode == 1


if __name__ == '__main__':
    sys.exit(main())
