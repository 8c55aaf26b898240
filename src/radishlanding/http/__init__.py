"""HTTP/1.1 client and server."""

from radishlanding.lazy import lazy_exports

__all__ = [
    "ExchangeFailed",
    "HttpClient",
    "HttpError",
    "HttpHandler",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "Limits",
    "MemoryExhausted",
    "MemoryPool",
    "ProcessBudget",
    "RequestWithdrawn",
    "Reservation",
    "SuspensionWatch",
    "serve_metrics",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "ExchangeFailed": "exchange_failed",
        "HttpClient": "client",
        "HttpError": "http_error",
        "HttpHandler": "handler",
        "HttpRequest": "request",
        "HttpResponse": "response",
        "HttpServer": "server",
        "Limits": "limits",
        "MemoryExhausted": "memory_exhausted",
        "MemoryPool": "memory_pool",
        "ProcessBudget": "process_budget",
        "RequestWithdrawn": "request_withdrawn",
        "Reservation": "reservation",
        "SuspensionWatch": "suspension_watch",
        "serve_metrics": "metrics_page",
    },
)
