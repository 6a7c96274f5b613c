"""Expert balancing of rank groups: from a popularity shift to a new map.

One instance leads (`leadership`, `leader_lease`). It reads which experts are
chosen (`popularity`), finds the groups (`rank_groups`) and plans maps that
are worth the copies (`expert_balancer`). Each planned map is switched to by
orders (`switch_executor`), those with the map sent by all instances
(`order_distribution`, `batch_sender`, `pacer`). A new leader first completes
what an earlier one left unfinished (`switch_recovery`).
"""
