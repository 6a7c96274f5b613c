"""Load balancer for expert-parallel model groups."""

import os

# The kernel may deliver a signal to any thread. Those of a numerical library run it
# later than the event loop, which then takes requests that came after the signal.
os.environ.setdefault('OPENBLAS_NUM_THREADS', '1')
