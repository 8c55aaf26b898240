"""HTTP/1.1 client and server."""

from radishlanding.http.client import HttpClient
from radishlanding.http.exchange_failed import ExchangeFailed
from radishlanding.http.handler import HttpHandler
from radishlanding.http.http_error import HttpError
from radishlanding.http.limits import Limits
from radishlanding.http.metrics_page import serve_metrics
from radishlanding.http.request import HttpRequest
from radishlanding.http.response import HttpResponse
from radishlanding.http.server import HttpServer

__all__ = [
    "ExchangeFailed",
    "HttpClient",
    "HttpError",
    "HttpHandler",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "Limits",
    "serve_metrics",
]
