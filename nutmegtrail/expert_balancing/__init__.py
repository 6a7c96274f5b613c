"""Expert balancing of rank groups: from a popularity shift to a new map."""
