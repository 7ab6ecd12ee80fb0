/*
 * settings - reads the settings of a process from an INI file
 *
 * settings_load reports all problems of the file in a single run.
 *
 * UNITS as in the field names
 * SOURCE lib/settings.c; lib/settings_impl.h lists the other files
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "lib/findings.h"
#include "lib/log.h"
#include "lib/types.h"

/* An IPv4 address and a port. */
struct endpoint {
	char host[64];
	u16 port;
};

struct member_setting {
	u32 id;
	struct endpoint at;
};

/* What the callers of a process, of all its HTTP servers, may make it hold. */
struct caller_settings {
	u64 max_held_bytes; /* for all; at a node also for the upstream and links of nodes */
	u64 max_bytes; /* of answers that one address does not read */
	u64 max_connections; /* of one address */
	u64 stall_ms;
};

struct node_settings {
	bool is_on;
	char *address;
	char *zone;
	char *region;
	u16 caller_port;
	struct endpoint caller_listen; /* default: address and caller_port */
	u16 peer_port;
	struct endpoint peer_listen; /* port 0: listen on address and peer_port */
	u16 local_port;
	struct endpoint register_listen; /* also accepts announcements here; port 0: disabled */
	struct endpoint ready_listen; /* also serves GET /v1/ready here; port 0: disabled */
	char *service; /* of the local upstream; may be NULL */
	char *dialect; /* HTTP dialect of callers and upstreams; NULL: the native one */
	GArray *control; /* of struct endpoint */
	bool discovers_control; /* control lists seeds; the group reports its other members */
	u64 probe_budget_per_s;
	u64 probe_budget_bytes_per_s;
	u64 max_body_bytes;
	struct caller_settings callers;
	u64 shutdown_grace_ms;
	u64 upstream_ttl_ms; /* 0: use the default */
	u64 retry_budget_percent; /* retries and hedges, % of a service's requests in the window */
	u64 retry_budget_slack; /* retries and hedges allowed beyond that, for all nodes together */
	u64 retry_budget_window_ms;
	u64 key_confirmation_ms; /* how long ago a key must have been valid for certain; 0: no bound
				  */
	u64 cold_overage_percent; /* what a cold upstream takes in a second, in % of its rate, and
				   */
	u64 cold_slack; /* as many calls besides */
	u64 load_asks_per_s; /* limit on polls of the upstream's health path; 0: no polls */
};

struct control_settings {
	bool is_on;
	u32 id;
	char *address;
	char *zone;
	char *region;
	char *data;
	u16 api_port;
	struct endpoint api_listen; /* default: address and api_port */
	u16 peer_port;
	struct endpoint peer_listen; /* port 0: listen on address and peer_port */
	GArray *members; /* of struct member_setting */
	bool may_form_group; /* key "found": the seeds may form a new group */
	bool uses_seeds; /* members lists seeds; further members join automatically */
	u32 losses; /* members that may fail at the same time */
	struct caller_settings callers; /* of the resource interface */
	u64 shutdown_grace_ms;
	u64 quota_window_ms; /* in which quotas are judged */
	u64 quota_overage_permille; /* tolerated in a window beyond rate and burst, and */
	u64 quota_slack; /* as many calls besides */
};

struct settings {
	char *cluster;
	struct node_settings node;
	struct control_settings control;
	enum log_level log_level;
	enum log_format log_format;
	char *log_file;
};

/*
 * settings_load - reads PATH into S; adds problems to FOUND as FILE:LINE. Returns 0, or
 * ERR_INVAL if there are findings. S must be cleared in both cases.
 */
int settings_load(struct settings *s, const char *path, struct findings *found);
void settings_clear(struct settings *s);

/* endpoint_parse - parses "HOST:PORT", with a numeric host. Returns 0 or ERR_INVAL. */
int endpoint_parse(struct endpoint *e, const char *text);
bool endpoint_equal(const struct endpoint *a, const struct endpoint *b);

/*
 * member_id_from_host - returns the IPv4 address HOST as a member id, which is unique without
 * coordination; 0 if HOST is invalid.
 */
u32 member_id_from_host(const char *host);

#endif
