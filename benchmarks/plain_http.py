"""Requests over plain HTTP.

Loading the certificates, which they do not need, takes longer than the request.
"""

import functools

import httpx

create_client = functools.partial(httpx.Client, verify=False)
get = functools.partial(httpx.get, verify=False)
post = functools.partial(httpx.post, verify=False)
stream = functools.partial(httpx.stream, verify=False)
