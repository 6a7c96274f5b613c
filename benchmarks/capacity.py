"""Slopes of processor time, bytes and memory by role, over four sizes."""

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

_ACCOUNTS: typing.Final = (5_000, 10_000, 20_000, 43_000)
_UPSTREAMS: typing.Final = (16, 40, 80, 163)
_RECORDS: typing.Final = (500, 1_000, 2_000, 4_000)
_RANKS: typing.Final = (16, 32, 64, 128)
_NODES: typing.Final = (10, 100, 400, 790)
_REPEATS: typing.Final = 5
_CALLS: typing.Final = 200
_BYTES_PER_MEBIBYTE: typing.Final = 1_048_576
_MICROSECONDS: typing.Final = 1e6
_Row: typing.TypeAlias = tuple[str, ...]


def run(seed: int) -> report.Table:
    """Return a row for each role and size."""
    rows = [
        *(_contracts(size) for size in _ACCOUNTS),
        *(_routing(size, seed) for size in _UPSTREAMS),
        *(_leases(size) for size in _ACCOUNTS),
        *(_claims(size) for size in _RECORDS),
        *(_proposals(size, seed) for size in _RANKS),
        *(_spread(size, seed) for size in _NODES),
    ]
    heads = ('role', 'size', 'processor time', 'bytes or memory', 'note')
    return report.Table('capacity', heads, tuple(rows))


def _microseconds(work: collections.abc.Callable[[], object]) -> float:
    """Return the median processor time of one call."""
    times = []
    for _ in range(_REPEATS):
        began = time.process_time()
        for _ in range(_CALLS):
            work()
        times.append((time.process_time() - began) / _CALLS)
    return statistics.median(times) * _MICROSECONDS


def _contract(number: int) -> contract_models.Contract:
    """Return a contract of ordinary size."""
    return contract_models.Contract(
        key_digests=(credentials.digest_of(str(number)),),
        requests_per_second=1,
        tokens_per_second=400,
        models=('clerk-draft',),
        services=('order-desk',),
    )


def _contracts(accounts: int) -> _Row:
    """Measure the memory of all contracts and the cost of one change."""
    by_name: dict[str, dict[str, contract_models.Contract]] = {}
    for number in range(accounts):
        name = documents.bucket_name(f'account-{number}')
        bucket = by_name.setdefault(name, {})
        bucket[f'account-{number}'] = _contract(number)
    contents = {
        name: configuration_models.ContractDocument(
            contracts_by_account=contracts,
        )
        .model_dump_json()
        .encode()
        for name, contracts in by_name.items()
    }
    by_name.clear()
    tracemalloc.start()
    index = contract_index.ContractIndex()
    held = replica.Replica()
    for name, content in contents.items():
        document = configuration_models.Document(name, 1, bytes(content))
        held = replica.apply(held, document)
        index.put(document)
    memory = tracemalloc.get_traced_memory()[0] / _BYTES_PER_MEBIBYTE
    tracemalloc.stop()
    changed = next(iter(held.documents_by_name.values()))
    change = _microseconds(lambda: index.put(changed))
    digest = _microseconds(lambda: replica.digest(held))
    size = len(changed.content)
    return (
        'entry: configuration',
        f'{accounts} accounts',
        f'{change:.0f} us a change, {digest:.0f} us a digest',
        f'{memory:.1f} MB, {size} bytes a document',
        f'{len(contents)} documents',
    )


def _routing(upstreams: int, seed: int) -> _Row:
    """Measure one choice of an upstream."""
    names = [f'upstream-{number}' for number in range(upstreams)]
    load = routing_models.Load()
    generator = random.Random(seed)
    cost = _microseconds(
        lambda: candidates.choose(str(generator.random()), names, load, 0),
    )
    return (
        'entry: routing',
        f'{upstreams} upstreams',
        f'{cost:.0f} us',
        '',
        '',
    )


def _leases(accounts: int) -> _Row:
    """Measure the owner's ledgers and one lease."""
    contract = _contract(0)
    tracemalloc.start()
    ledgers = [allowance.create_ledger(contract, 0) for _ in range(accounts)]
    memory = tracemalloc.get_traced_memory()[0] / _BYTES_PER_MEBIBYTE
    tracemalloc.stop()
    wanted = limit_models.Amount(1, 400)
    cost = _microseconds(
        lambda: allowance.grant_lease(ledgers[0], 'entry', wanted, 1, 64, 1),
    )
    request = wire_models.LeaseRequest('entry-123', 'account-12345', 1, 400, 1)
    grant = wire_models.LeaseGrant('account-12345', 1, 400, 1000)
    size = len(codec.encode(request)) + len(codec.encode(grant))
    return (
        'limit owner',
        f'{accounts} ledgers',
        f'{cost:.0f} us a lease',
        f'{memory:.1f} MB, {size} bytes a lease and its grant',
        '',
    )


def _claims(records: int) -> _Row:
    """Measure the encoding of a shard's log, once for each append."""
    by_id = {
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
    log = log._replace(records_by_id=log.records_by_id.update(by_id))
    began = time.process_time()
    for _ in range(_REPEATS):
        content = serialization.encode_log(log)
    cost = (time.process_time() - began) / _REPEATS * _MICROSECONDS
    return (
        'shard owner',
        f'{records} records',
        f'{cost:.0f} us an append',
        f'{len(content)} bytes an append',
        f'{len(content) / records:.0f} bytes a record',
    )


def _proposals(ranks: int, seed: int) -> _Row:
    """Measure one rebalancing decision of a group."""
    generator = np.random.default_rng(seed)
    experts = ranks * 2
    loads = generator.uniform(1, 10, experts)
    speeds = np.ones(ranks)
    packed = placement.pack(loads, speeds, 3)
    shifted = loads * generator.uniform(0.5, 2, experts)
    weights = rebalancing.Weights(4, 1, 600)
    began = time.process_time()
    verdict = rebalancing.decide(
        packed,
        shifted,
        shifted * 0.01,
        speeds,
        weights,
        packed.slots.size,
    )
    cost = (time.process_time() - began) * _MICROSECONDS
    return (
        'map proposer',
        f'{ranks} ranks, {experts} experts',
        f'{cost:.0f} us a decision',
        f'{packed.slots.size * 2} bytes a map',
        f'{verdict.moves} moves',
    )


def _spread(nodes: int, seed: int) -> _Row:
    """Count the rounds and messages of one pushed change."""
    generator = random.Random(seed)
    rounds = []
    left_behind = []
    for _ in range(_CALLS):
        reached = {0}
        fresh = [0]
        count = 0
        while fresh:
            count += 1
            chosen = {
                target
                for _ in fresh
                for target in generator.sample(
                    range(nodes),
                    min(configuration_const.PUSH_FANOUT, nodes),
                )
            }
            fresh = sorted(chosen - reached)
            reached |= chosen
        rounds.append(count)
        left_behind.append(nodes - len(reached))
    return (
        'configuration push',
        f'{nodes} nodes',
        f'{statistics.mean(rounds):.1f} rounds',
        f'{configuration_const.PUSH_FANOUT} copies a node and change',
        f'{statistics.mean(left_behind) / nodes:.1%} left to the digests',
    )
