"""Expert placement and the agreed switch between expert maps."""
