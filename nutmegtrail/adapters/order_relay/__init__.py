"""HTTP calls between instances that pass on orders of the leader."""
