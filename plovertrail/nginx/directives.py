"""What nginx's directives are to an import where no part of it has taken them up."""

from __future__ import annotations

from plovertrail.nginx.report import Treatment

N, D, X = Treatment.NO_EFFECT, Treatment.DIFFERS, Treatment.NOT_MAPPED

# what decides who may pass, or where a request goes, in ways that are not carried over: a location under one
# of these is shut
GUARDS = frozenset(
    (
        "allow",
        "deny",
        "satisfy",
        "auth_basic",
        "auth_basic_user_file",
        "auth_request",
        "auth_request_set",
        "auth_jwt",
        "internal",
        "limit_except",
        "valid_referers",
        "secure_link",
        "secure_link_md5",
        "secure_link_secret",
        "if",
        "rewrite_by_lua",
        "rewrite_by_lua_block",
        "rewrite_by_lua_file",
        "access_by_lua",
        "access_by_lua_block",
        "access_by_lua_file",
        "js_access",
        "mirror",
        "perl",
        "proxy_ssl_verify",
        "ssl_verify_client",
        "try_files",
        "fastcgi_pass",
        "uwsgi_pass",
        "scgi_pass",
        "grpc_pass",
        "memcached_pass",
        "content_by_lua",
        "content_by_lua_block",
        "content_by_lua_file",
        "js_content",
        "empty_gif",
        "stub_status",
        "dav_methods",
        "proxy_method",
        "proxy_set_body",
        "proxy_pass_request_body",
        "proxy_pass_request_headers",
        "proxy_bind",
        "limit_rate",
        "proxy_store",
    )
)
_LOG = "logs are the daemon's own"
_PROCESS = "the daemon is one process, and has limits of its own"
_BUFFERS = "bodies are held whole, within limits.max_body and limits.max_answer"
_ANSWERS = "answers go on as servers send them"
_FILES = "no imported location serves files"
_TLS = "no TLS here: what ends it stands in front"

KNOWN: dict[str, tuple[Treatment, str]] = {
    **dict.fromkeys(
        (
            "access_log",
            "error_log",
            "log_format",
            "log_not_found",
            "log_subrequest",
            "rewrite_log",
            "open_log_file_cache",
            "uninitialized_variable_warn",
        ),
        (N, _LOG),
    ),
    **dict.fromkeys(
        (
            "user",
            "worker_processes",
            "worker_connections",
            "worker_rlimit_nofile",
            "pid",
            "daemon",
            "master_process",
            "worker_cpu_affinity",
            "worker_priority",
            "multi_accept",
            "use",
            "accept_mutex",
            "events",
            "worker_shutdown_timeout",
            "thread_pool",
            "env",
            "lock_file",
            "timer_resolution",
            "pcre_jit",
        ),
        (N, _PROCESS),
    ),
    **dict.fromkeys(
        (
            "sendfile",
            "tcp_nopush",
            "tcp_nodelay",
            "aio",
            "directio",
            "output_buffers",
            "sendfile_max_chunk",
            "postpone_output",
            "types_hash_max_size",
            "types_hash_bucket_size",
            "server_names_hash_bucket_size",
            "server_names_hash_max_size",
            "variables_hash_max_size",
            "variables_hash_bucket_size",
            "map_hash_bucket_size",
            "map_hash_max_size",
            "proxy_headers_hash_bucket_size",
            "proxy_headers_hash_max_size",
            "connection_pool_size",
            "request_pool_size",
            "reset_timedout_connection",
            "server_tokens",
            "open_file_cache",
            "open_file_cache_valid",
            "open_file_cache_min_uses",
            "open_file_cache_errors",
            "lingering_close",
            "lingering_time",
            "lingering_timeout",
        ),
        (N, "how nginx works, not what it answers"),
    ),
    **dict.fromkeys(
        (
            "client_body_buffer_size",
            "proxy_buffer_size",
            "proxy_buffers",
            "proxy_busy_buffers_size",
            "proxy_max_temp_file_size",
            "proxy_temp_file_write_size",
            "proxy_temp_path",
            "client_body_temp_path",
            "client_body_in_file_only",
            "client_body_in_single_buffer",
            "proxy_http_version",
            "proxy_socket_keepalive",
        ),
        (N, _BUFFERS),
    ),
    **dict.fromkeys(("proxy_buffering", "proxy_request_buffering"), (D, _BUFFERS)),
    **dict.fromkeys(
        ("client_header_buffer_size", "large_client_header_buffers"), (D, "limits.max_head holds: 16 KiB")
    ),
    **dict.fromkeys(
        (
            "gzip",
            "gzip_types",
            "gzip_vary",
            "gzip_min_length",
            "gzip_proxied",
            "gzip_comp_level",
            "gzip_buffers",
            "gzip_http_version",
            "gzip_disable",
            "gzip_static",
            "gunzip",
            "charset",
            "chunked_transfer_encoding",
            "etag",
            "proxy_force_ranges",
        ),
        (D, _ANSWERS),
    ),
    **dict.fromkeys(
        (
            "add_header",
            "add_trailer",
            "expires",
            "proxy_hide_header",
            "proxy_pass_header",
            "proxy_ignore_headers",
            "proxy_cookie_path",
            "proxy_cookie_domain",
            "proxy_cookie_flags",
            "sub_filter",
            "sub_filter_once",
            "sub_filter_types",
            "sub_filter_last_modified",
            "proxy_redirect",
            "override_charset",
            "charset_types",
            "source_charset",
        ),
        (X, f"{_ANSWERS}; let the servers send it, or write a hook"),
    ),
    **dict.fromkeys(
        ("error_page", "proxy_intercept_errors", "recursive_error_pages"),
        (X, f"{_ANSWERS}, errors among them; let the servers send the page"),
    ),
    **dict.fromkeys(
        (
            "proxy_cache",
            "proxy_cache_path",
            "proxy_cache_valid",
            "proxy_cache_key",
            "proxy_cache_use_stale",
            "proxy_cache_bypass",
            "proxy_no_cache",
            "proxy_cache_lock",
            "proxy_cache_methods",
            "proxy_cache_min_uses",
            "proxy_cache_revalidate",
            "proxy_cache_background_update",
        ),
        (X, "nothing is cached: more comes to the servers; put a cache in front"),
    ),
    **dict.fromkeys(
        (
            "root",
            "index",
            "alias",
            "autoindex",
            "default_type",
            "types",
            "disable_symlinks",
            "if_modified_since",
        ),
        (N, _FILES),
    ),
    **dict.fromkeys(
        (
            "ssl_certificate",
            "ssl_certificate_key",
            "ssl_protocols",
            "ssl_ciphers",
            "ssl_session_cache",
            "ssl_session_timeout",
            "ssl_session_tickets",
            "ssl_dhparam",
            "ssl_prefer_server_ciphers",
            "ssl_stapling",
            "ssl_stapling_verify",
            "ssl_ecdh_curve",
            "ssl_trusted_certificate",
            "ssl_buffer_size",
            "http2",
            "ssl",
        ),
        (X, _TLS),
    ),
    **dict.fromkeys(
        (
            "proxy_ssl_server_name",
            "proxy_ssl_name",
            "proxy_ssl_protocols",
            "proxy_ssl_ciphers",
            "proxy_ssl_certificate",
            "proxy_ssl_certificate_key",
            "proxy_ssl_session_reuse",
            "proxy_ssl_trusted_certificate",
        ),
        (X, "no TLS to servers here"),
    ),
    **dict.fromkeys(
        ("resolver", "resolver_timeout"), (X, "names are not looked up; write addresses, or servers_from")
    ),
    **dict.fromkeys(("send_timeout",), (D, "a client has 30 s to read its answer")),
    **dict.fromkeys(("proxy_send_timeout",), (D, "the class's deadline holds for the whole request")),
    **dict.fromkeys(
        ("port_in_redirect", "server_name_in_redirect", "absolute_redirect"),
        (X, "redirects name the host as the client sent it"),
    ),
    **dict.fromkeys(("merge_slashes",), (D, "slashes are always merged")),
    **dict.fromkeys(
        ("underscores_in_headers", "ignore_invalid_headers"),
        (D, "header names are passed on as RFC 9110 allows them"),
    ),
    **dict.fromkeys(("proxy_ignore_client_abort",), (D, "a client that leaves ends what has not been sent")),
    **dict.fromkeys(
        ("keepalive_requests", "keepalive_disable", "keepalive_time", "keepalive_min_timeout"),
        (D, "connections are closed by listeners.idle_timeout alone"),
    ),
    **dict.fromkeys(("limit_req_log_level", "limit_conn_log_level"), (N, _LOG)),
    **dict.fromkeys(
        ("limit_req_status", "limit_conn_status"), (D, "over a limit: 429 with Retry-After, always")
    ),
    **dict.fromkeys(
        ("set_real_ip_from", "real_ip_header", "real_ip_recursive"),
        (X, 'write client = "forwarded" on routes, and trust_forwarded on listeners'),
    ),
    **dict.fromkeys(
        (
            "set",
            "break",
            "geo",
            "split_clients",
            "perl_set",
            "js_set",
            "load_module",
            "stream",
            "mail",
            "js_import",
            "js_include",
        ),
        (X, "nothing of the kind here"),
    ),
}


# guards that let all pass
HARMLESS = frozenset(
    (
        ("allow", "all"),
        ("auth_basic", "off"),
        ("auth_request", "off"),
        ("limit_rate", "0"),
        ("mirror", "off"),
        ("proxy_pass_request_body", "on"),
        ("proxy_pass_request_headers", "on"),
        ("proxy_ssl_verify", "off"),
        ("proxy_store", "off"),
        ("ssl_verify_client", "off"),
    )
)


def guards(name: str, args: tuple[str, ...]) -> bool:
    """Whether a location under this directive may not be opened without it."""
    if name in GUARDS:
        return (name, *args) not in HARMLESS
    return name not in KNOWN and name not in TAKEN_UP


# what the importer reads where it means something
TAKEN_UP = frozenset(
    (
        "http",
        "server",
        "location",
        "upstream",
        "map",
        "include",
        "listen",
        "server_name",
        "proxy_pass",
        "return",
        "rewrite",
        "proxy_set_header",
        "client_max_body_size",
        "proxy_connect_timeout",
        "proxy_read_timeout",
        "proxy_next_upstream",
        "proxy_next_upstream_tries",
        "proxy_next_upstream_timeout",
        "limit_req",
        "limit_conn",
        "limit_req_zone",
        "limit_conn_zone",
        "limit_req_dry_run",
        "limit_conn_dry_run",
        "keepalive_timeout",
        "client_header_timeout",
        "client_body_timeout",
    )
)

# of these, those that locations inherit
INHERITED = TAKEN_UP - {"http", "server", "location", "upstream", "map", "include", "listen", "server_name"}
