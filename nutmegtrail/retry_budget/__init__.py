"""Budget of retries that all entries keep together.

A part of it is earned by each entry with the requests that arrive there. It
needs no memory beyond the entry: a restart begins with nothing earned. The rest
lies in the store, in slots that an entry claims before it sends a retry.
"""
