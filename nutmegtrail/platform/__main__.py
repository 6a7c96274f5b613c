"""Run the gateway on the platform: `python -m nutmegtrail.platform`."""

import os
import pathlib
import sys

import anyio

from nutmegtrail.bootstrap import gateway
from nutmegtrail.configuration import errors
from nutmegtrail.configuration import settings
from nutmegtrail.gateway import daemon
from nutmegtrail.gateway import settings as gateway_settings
from nutmegtrail.host_limits import allocator
from nutmegtrail.observability import logs
from nutmegtrail.platform import const

_EXIT_INVALID_SETTINGS = 2


def main() -> int:
    """Run the gateway with the settings file that the platform provides."""
    path = pathlib.Path(os.environ.get(const.SETTINGS_PATH_VARIABLE, ''))
    try:
        configured = settings.load(path, gateway_settings.GatewaySettings)
    except errors.SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return _EXIT_INVALID_SETTINGS
    logs.start(
        configured.process.log_format,
        lines_per_second=configured.process.log_lines_per_second,
    )
    allocator.return_large_blocks()
    anyio.run(daemon.run, gateway.create_gateway(configured))
    return 0


if __name__ == '__main__':
    sys.exit(main())
