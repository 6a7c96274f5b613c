"""The composition root; a process loads the module of its own daemon."""
