"""CPU time, message sizes and memory of each role at four sizes.

The sizes show how each cost grows.
"""

import collections.abc
import random
import statistics
import time
import tracemalloc
import typing

import numpy as np

from benchmarks import report
from nutmegtrail.configuration import const as configuration_const
from nutmegtrail.configuration import documents
from nutmegtrail.configuration import models as configuration_models
from nutmegtrail.configuration import replica
from nutmegtrail.contracts import credentials
from nutmegtrail.contracts import models as contract_models
from nutmegtrail.daemons import contract_index
from nutmegtrail.expert_map import placement
from nutmegtrail.expert_map import rebalancing
from nutmegtrail.idempotency import models as claim_models
from nutmegtrail.idempotency import serialization
from nutmegtrail.limits import allowance
from nutmegtrail.limits import models as limit_models
from nutmegtrail.routing import candidates
from nutmegtrail.routing import models as routing_models
from nutmegtrail.wire import codec
from nutmegtrail.wire import models as wire_models

_ACCOUNT_COUNTS: typing.Final = (5_000, 10_000, 20_000, 43_000)
_UPSTREAM_COUNTS: typing.Final = (16, 40, 80, 163)
_RECORD_COUNTS: typing.Final = (500, 1_000, 2_000, 4_000)
_RANK_COUNTS: typing.Final = (16, 32, 64, 128)
_NODE_COUNTS: typing.Final = (10, 100, 400, 790)
_REPEATS: typing.Final = 5
_ITERATIONS: typing.Final = 200
_BYTES_PER_MEBIBYTE: typing.Final = 1_048_576
_MICROSECONDS_PER_SECOND: typing.Final = 1e6
_Row: typing.TypeAlias = tuple[str, ...]


def run(seed: int) -> report.Table:
    """Return a row for each role and size."""
    rows = [
        *(_measure_configuration(size) for size in _ACCOUNT_COUNTS),
        *(_measure_routing(size, seed) for size in _UPSTREAM_COUNTS),
        *(_measure_limit_owner(size) for size in _ACCOUNT_COUNTS),
        *(_measure_shard_owner(size) for size in _RECORD_COUNTS),
        *(_measure_map_proposer(size, seed) for size in _RANK_COUNTS),
        *(_simulate_push(size, seed) for size in _NODE_COUNTS),
    ]
    headers = ('role', 'size', 'processor time', 'bytes or memory', 'note')
    return report.Table('capacity', headers, tuple(rows))


def _measure_cpu_microseconds(
    function: collections.abc.Callable[[], object],
) -> float:
    """Return the CPU time of one call, as the median of the repeats."""
    cpu_seconds_per_call = []
    for _ in range(_REPEATS):
        started_at = time.process_time()
        for _ in range(_ITERATIONS):
            function()
        cpu_seconds_per_call.append(
            (time.process_time() - started_at) / _ITERATIONS
        )
    return statistics.median(cpu_seconds_per_call) * _MICROSECONDS_PER_SECOND


def _create_contract(number: int) -> contract_models.Contract:
    """Return a contract of typical size."""
    return contract_models.Contract(
        key_digests=(credentials.digest_of(str(number)),),
        requests_per_second=1,
        tokens_per_second=400,
        models=('clerk-draft',),
        services=('order-desk',),
    )


def _measure_configuration(accounts: int) -> _Row:
    """Measure the memory of all contracts and the CPU time of one change."""
    buckets_by_name: dict[str, dict[str, contract_models.Contract]] = {}
    for number in range(accounts):
        name = documents.bucket_name(f'account-{number}')
        bucket = buckets_by_name.setdefault(name, {})
        bucket[f'account-{number}'] = _create_contract(number)
    contents_by_name = {
        name: configuration_models.ContractDocument(
            contracts_by_account=contracts,
        )
        .model_dump_json()
        .encode()
        for name, contracts in buckets_by_name.items()
    }
    buckets_by_name.clear()
    tracemalloc.start()
    index = contract_index.ContractIndex()
    current_replica = replica.Replica()
    for name, content in contents_by_name.items():
        document = configuration_models.Document(name, 1, bytes(content))
        current_replica = replica.apply(current_replica, document)
        index.put(document)
    memory_mebibytes = tracemalloc.get_traced_memory()[0] / _BYTES_PER_MEBIBYTE
    tracemalloc.stop()
    changed_document = next(iter(current_replica.documents_by_name.values()))
    change_microseconds = _measure_cpu_microseconds(
        lambda: index.put(changed_document)
    )
    digest_microseconds = _measure_cpu_microseconds(
        lambda: replica.digest(current_replica)
    )
    document_bytes = len(changed_document.content)
    return (
        'entry: configuration',
        f'{accounts} accounts',
        f'{change_microseconds:.0f} us a change, '
        f'{digest_microseconds:.0f} us a digest',
        f'{memory_mebibytes:.1f} MB, {document_bytes} bytes a document',
        f'{len(contents_by_name)} documents',
    )


def _measure_routing(upstreams: int, seed: int) -> _Row:
    """Measure the choice of an upstream for a request."""
    names = [f'upstream-{number}' for number in range(upstreams)]
    load = routing_models.Load()
    generator = random.Random(seed)
    cpu_microseconds = _measure_cpu_microseconds(
        lambda: candidates.choose(str(generator.random()), names, load, 0),
    )
    return (
        'entry: routing',
        f'{upstreams} upstreams',
        f'{cpu_microseconds:.0f} us',
        '',
        '',
    )


def _measure_limit_owner(accounts: int) -> _Row:
    """Measure the memory of all ledgers and the grant of one lease."""
    contract = _create_contract(0)
    tracemalloc.start()
    ledgers = [allowance.create_ledger(contract, 0) for _ in range(accounts)]
    memory_mebibytes = tracemalloc.get_traced_memory()[0] / _BYTES_PER_MEBIBYTE
    tracemalloc.stop()
    requested = limit_models.Amount(1, 400)
    cpu_microseconds = _measure_cpu_microseconds(
        lambda: allowance.grant_lease(ledgers[0], 'entry', requested, 1, 64, 1),
    )
    request = wire_models.LeaseRequest('entry-123', 'account-12345', 1, 400, 1)
    grant = wire_models.LeaseGrant('account-12345', 1, 400, 1000)
    message_bytes = len(codec.encode(request)) + len(codec.encode(grant))
    return (
        'limit owner',
        f'{accounts} ledgers',
        f'{cpu_microseconds:.0f} us a lease',
        f'{memory_mebibytes:.1f} MB, '
        f'{message_bytes} bytes a lease and its grant',
        '',
    )


def _measure_shard_owner(records: int) -> _Row:
    """Measure the encoding of a whole shard log, which each append repeats."""
    records_by_id = {
        f'{number:032x}': claim_models.Record(
            f'{number:032x}',
            f'{number:032x}',
            f'{number:032x}',
            f'service-01/{number:032x}',
            claim_models.Status.COMPLETED,
            1.0,
            claim_models.StoredResponse(200, 'application/json', b'x' * 64),
        )
        for number in range(records)
    }
    log = claim_models.Log()
    log = log._replace(records_by_id=log.records_by_id.update(records_by_id))
    started_at = time.process_time()
    for _ in range(_REPEATS):
        content = serialization.encode_log(log)
    cpu_microseconds = (
        (time.process_time() - started_at) / _REPEATS * _MICROSECONDS_PER_SECOND
    )
    return (
        'shard owner',
        f'{records} records',
        f'{cpu_microseconds:.0f} us an append',
        f'{len(content)} bytes an append',
        f'{len(content) / records:.0f} bytes a record',
    )


def _measure_map_proposer(ranks: int, seed: int) -> _Row:
    """Measure one rebalancing decision of a rank group."""
    generator = np.random.default_rng(seed)
    experts = ranks * 2
    loads = generator.uniform(1, 10, experts)
    speeds = np.ones(ranks)
    current = placement.pack(loads, speeds, 3)
    new_loads = loads * generator.uniform(0.5, 2, experts)
    weights = rebalancing.Weights(4, 1, 600)
    started_at = time.process_time()
    decision = rebalancing.decide(
        current,
        new_loads,
        new_loads * 0.01,
        speeds,
        weights,
        current.slots.size,
    )
    cpu_microseconds = (
        time.process_time() - started_at
    ) * _MICROSECONDS_PER_SECOND
    return (
        'map proposer',
        f'{ranks} ranks, {experts} experts',
        f'{cpu_microseconds:.0f} us a decision',
        f'{current.slots.size * 2} bytes a map',
        f'{decision.moves} moves',
    )


def _simulate_push(nodes: int, seed: int) -> _Row:
    """Count the rounds in which a pushed change spreads over all nodes.

    Nodes that the push does not reach get the change by comparing digests.
    """
    generator = random.Random(seed)
    round_counts = []
    unreached_counts = []
    for _ in range(_ITERATIONS):
        reached = {0}
        newly_reached = [0]
        round_count = 0
        while newly_reached:
            round_count += 1
            targets = {
                target
                for _ in newly_reached
                for target in generator.sample(
                    range(nodes),
                    min(configuration_const.PUSH_FANOUT, nodes),
                )
            }
            newly_reached = sorted(targets - reached)
            reached |= targets
        round_counts.append(round_count)
        unreached_counts.append(nodes - len(reached))
    return (
        'configuration push',
        f'{nodes} nodes',
        f'{statistics.mean(round_counts):.1f} rounds',
        f'{configuration_const.PUSH_FANOUT} copies a node and change',
        f'{statistics.mean(unreached_counts) / nodes:.1%} left to the digests',
    )
