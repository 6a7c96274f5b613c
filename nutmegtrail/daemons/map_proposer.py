"""Proposes a better expert map from the group's first member.

Any member might propose; that only the first does saves rival ballots and
is not needed for safety.
"""

import anyio

from nutmegtrail.configuration import const as configuration_const
from nutmegtrail.configuration import documents
from nutmegtrail.configuration import editing
from nutmegtrail.configuration import models as configuration_models
from nutmegtrail.daemons import map_driver
from nutmegtrail.expert_map import const
from nutmegtrail.expert_map import load_estimate
from nutmegtrail.expert_map import rebalancing
from nutmegtrail.observability import logs
from nutmegtrail.observability import metrics
from nutmegtrail.ports import key_value
from nutmegtrail.ports import rank_engine


class MapProposer:
    """Observes the loads and proposes where moves are worth it."""

    def __init__(
        self,
        driver: map_driver.MapDriver,
        engine: rank_engine.RankEngine,
        store: key_value.KeyValueStore,
        readings: metrics.Metrics,
    ) -> None:
        """Keep the collaborators; nothing is observed yet."""
        self._driver = driver
        self._engine = engine
        self._store = store
        self._metrics = readings
        self._estimate: load_estimate.Estimate | None = None

    async def run(self) -> None:
        """Look at the loads from time to time until cancelled."""
        while True:
            settings = await self._settings()
            if settings is None:
                await anyio.sleep(const.SETTINGS_RETRY_SECONDS)
                continue
            await anyio.sleep(settings.interval_seconds)
            members = self._driver.members
            first = members[0] == self._driver.member.name
            if first and self._driver.is_complete:
                await self._look(settings)

    async def _look(self, settings: configuration_models.Rebalancing) -> None:
        """Observe the loads and switch where that is worth the moves."""
        read = await self._engine.read()
        if read.is_error():
            return
        state = read.ok
        if self._estimate is None:
            self._estimate = load_estimate.start(state.loads)
            return
        self._estimate = load_estimate.observe(self._estimate, state.loads)
        verdict = rebalancing.decide(
            state.placement,
            self._estimate.level,
            load_estimate.standard_errors(self._estimate),
            state.speeds,
            rebalancing.Weights(
                settings.skew_weight,
                settings.move_weight,
                settings.horizon_seconds,
            ),
            state.placement.slots.size,
        )
        self._metrics.set_gauge('step_time_skew', verdict.skew_before)
        logs.decision(
            'expert-map:considered',
            reason=verdict.reason,
            moves=verdict.moves,
            skew_before=verdict.skew_before,
            skew_after=verdict.skew_after,
        )
        if verdict.placement is not None:
            self._metrics.increment('experts_moved', amount=verdict.moves)
            await self._switch(self._driver.spread(verdict.placement))

    async def _switch(self, map_id: str) -> None:
        """Propose a map until the group has switched to it."""
        for _ in range(const.PROPOSAL_ATTEMPTS):
            await anyio.sleep(const.PROPOSAL_INTERVAL_SECONDS)
            if self._driver.member.current.map_id == map_id:
                return
            self._driver.propose(map_id)

    async def _settings(self) -> configuration_models.Rebalancing | None:
        """Return the deployment's weights, None where none are known."""
        name = configuration_const.DEPLOYMENT_NAME
        found = await editing.read(self._store, name)
        document = None if found.is_error() else found.ok
        if document is None:
            return None
        stored = documents.parse_stored(
            document.content,
            configuration_models.DeploymentDocument,
        )
        return stored.deployment.rebalancing
