"""Names and help texts of all metrics."""

# Shown at the top, for operators who read the text exposition directly.
FIRST_METRICS = (
    "buckthorn_ready",
    "buckthorn_version",
    "buckthorn_control_scope_bytes",
    "buckthorn_request_errors",
    "buckthorn_ingress_errors",
)

# Counters get the suffix `_total`, durations `_seconds`.
HELP = {
    "buckthorn_announce_failures": (
        "Children that did not take the announcement of a version"
    ),
    "buckthorn_bad_records": (
        "Records of the log that could not be read, by kind"
    ),
    "buckthorn_bodies_refused": (
        "Bodies from other daemons that there was no memory for"
    ),
    "buckthorn_body_bytes": (
        "Bytes of requests, responses and callers' connections that are held"
    ),
    "buckthorn_body_send": (
        "Time from the first to the last piece of a long body, at the sender"
    ),
    "buckthorn_burn_copy_failures": (
        "Failed tries to take over the history of burn rates"
    ),
    "buckthorn_cap_lent": "Tokens lent by the shards that this daemon holds",
    "buckthorn_cap_messages": (
        "Requests for tokens sent to other daemons, by kind and scope"
    ),
    "buckthorn_cap_old_members": (
        "Registered daemons that don't keep the rate limits in force"
    ),
    "buckthorn_cap_shards": (
        "Shards of the rate limits that this daemon lends from"
    ),
    "buckthorn_cap_tokens": (
        "Tokens of rate limits that requests took or gave back, by result"
    ),
    "buckthorn_cap_wait": "Waits of requests for a token of a rate limit",
    "buckthorn_caller_connections": "Open connections of callers",
    "buckthorn_callers_closed": (
        "Connections of callers that were closed as stalled or idle"
    ),
    "buckthorn_callers_paused": (
        "Callers' requests whose reading was paused for want of memory"
    ),
    "buckthorn_callers_refused": (
        "Callers' requests that were refused for want of memory, not run"
    ),
    "buckthorn_callers_reset": (
        "Connections that their callers had reset when they were ended"
    ),
    "buckthorn_catch_ups": "Versions pulled after a peer was seen to be ahead",
    "buckthorn_claim": "Duration of claims of operation keys",
    "buckthorn_claims": "Claims of operation keys, by verdict",
    "buckthorn_checkpoints": "Checkpoints written to the log",
    "buckthorn_contacts_read_failures": (
        "Failed reads of contacts from the log"
    ),
    "buckthorn_control_bytes": (
        "Control bytes sent, by kind of message and scope"
    ),
    "buckthorn_control_scope_bytes": (
        "Control bytes sent inside the region (local) and to other regions"
        " (region)"
    ),
    "buckthorn_finals_dropped": (
        "Outcomes of claimed requests that were dropped before the owner of"
        " their key recorded them"
    ),
    "buckthorn_ingress_errors": (
        "Requests for the upstream beside this daemon that were refused or"
        " failed, by code"
    ),
    "buckthorn_link_queued_bytes": (
        "Bytes of long bodies that wait to be sent to other daemons"
    ),
    "buckthorn_link_rate": (
        "Bytes a second at which this host sends long bodies"
    ),
    "buckthorn_log_epoch": (
        "Epoch of the log; rises each time the log is restored from a copy"
    ),
    "buckthorn_log_failures": "Failed calls of the log, by topic",
    "buckthorn_log_records": "Records read from the log, by verdict",
    "buckthorn_members": "Registered daemons that are known",
    "buckthorn_operation_appends": ("Appends of claims to the log, by result"),
    "buckthorn_operation_read_failures": (
        "Failed reads of claims from the log"
    ),
    "buckthorn_pulls": "Pulls of versions by other daemons, by result",
    "buckthorn_quarantines": "Requests that are refused for crashing upstreams",
    "buckthorn_ready": "1 when callers are served, 0 while they are refused",
    "buckthorn_region_rate": (
        "Bytes a second at which this host sends long bodies to other regions"
    ),
    "buckthorn_request": "Duration of callers' requests, by service",
    "buckthorn_request_errors": (
        "Callers' requests that were refused or failed, by service and code"
    ),
    "buckthorn_responses_dropped": (
        "Long responses that were replaced by 502 for want of memory"
    ),
    "buckthorn_retries": "Further tries of callers' requests, by service",
    "buckthorn_status_query_failures": ("Failed queries of the fleet's status"),
    "buckthorn_summary_failures": "Failed summaries to other regions",
    "buckthorn_trial_changes": "Changes of the phase of trials, by phase",
    "buckthorn_trial_check": "Duration of checks of a running trial",
    "buckthorn_trial_reports": "Reports on trials that were sent to a driver",
    "buckthorn_trial_requests": (
        "Attempts of requests during trials, by service and version (new, old)"
    ),
    "buckthorn_trials": "Trials of versions whose result is open",
    "buckthorn_unrecorded_changes": (
        "Changes in force that the log has lost and nobody has written again"
    ),
    "buckthorn_upstream_concurrency": (
        "Requests that the upstream beside this daemon is given at once"
    ),
    "buckthorn_upstream_limit": (
        "Requests per second that the upstream beside this daemon takes from"
        " all hosts together; +Inf while it states no limit"
    ),
    "buckthorn_upstream_requests": (
        "Requests sent to the upstream beside this daemon"
    ),
    "buckthorn_version": "Number of the configuration version in force",
}
