"""Entry point of `python -m nutmegtrail.cli`."""

from nutmegtrail.cli import main

if __name__ == '__main__':
    main.run()
