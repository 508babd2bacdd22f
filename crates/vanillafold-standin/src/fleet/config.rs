//! The operator's configuration.

use serde_json::json;

/// The host that callers name.
pub(super) const CALLER_HOST: &str = "jobs.example";
/// The key of the callers' organisation.
pub(super) const CALLER_KEY: &str = "k5n2w8";
/// The path of the queue, which a job's id follows.
pub(super) const QUEUE_PREFIX: &str = "/batch/";
/// The pool of the queue.
pub(super) const POOL: &str = "workers";

/// Returns the value of the first configuration: one queue, pool and organisation.
pub(super) fn first_config() -> String {
    json!({
        "version": 1,
        "routes": [{
            "name": "batch", "host": CALLER_HOST, "path_prefix": QUEUE_PREFIX, "service": POOL,
            "priority": 0, "max_attempts": 3, "stretch": 20.0, "target_latency_ms": 600,
            "public": false, "advice": null,
        }],
        "services": [{ "name": POOL, "admission_check": false, "standby": false }],
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 262_144 },
        "tenants": [{
            "name": "shop", "api_keys": [CALLER_KEY], "weight": 10,
            "max_count": { "cpu": 0, "mem_mb": 0, "gpu": 0 },
        }],
    })
    .to_string()
}
