/*
 * settings - the INI settings of a process
 *
 * settings_load reports every problem of the file in one run.
 *
 * UNITS as in the names of the fields
 * SOURCE lib/settings.c, lib/settings_impl.h names the other files
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

struct node_settings {
	bool is_on;
	char *address;
	char *zone;
	char *region;
	u16 caller_port;
	struct endpoint caller_listen; /* from address and caller_port when not set itself */
	u16 peer_port;
	struct endpoint peer_listen; /* port 0: listen on address and peer_port */
	u16 local_port;
	struct endpoint register_listen; /* announcements beside local_port; port 0: none */
	struct endpoint ready_listen; /* GET /v1/ready beside local_port; port 0: none */
	char *service; /* of the upstream beside this node; may be NULL */
	char *dialect; /* how callers and upstreams speak; NULL for the own one */
	GArray *control; /* of struct endpoint */
	bool discovers_control; /* the list is of seeds: the group tells of the others */
	u64 probe_budget_per_s;
	u64 probe_budget_bytes_per_s;
	u64 max_body_bytes;
	u64 shutdown_grace_ms;
	u64 upstream_ttl_ms; /* 0: the default */
	u64 retry_budget_percent; /* further sends, of a service's requests in the window */
	u64 retry_budget_slack; /* further sends of all nodes together beyond that */
	u64 retry_budget_window_ms;
	u64 load_asks_per_s; /* questions to the upstream's health path, at most; 0 for none */
};

struct control_settings {
	bool is_on;
	u32 id;
	char *address;
	char *zone;
	char *region;
	char *data;
	u16 api_port;
	struct endpoint api_listen; /* from address and api_port when not set itself */
	u16 peer_port;
	struct endpoint peer_listen; /* port 0: listen on address and peer_port */
	GArray *members; /* of struct member_setting */
	bool is_found; /* the seeds may form a new group */
	bool uses_seeds; /* members come from seeds and join by themselves */
	u32 losses; /* members that may be lost at once */
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
 * settings_load - read PATH into S; problems go to FOUND with FILE:LINE.
 * Returns 0, or ERR_INVAL when there are findings. S must be cleared in both cases.
 */
int settings_load(struct settings *s, const char *path, struct findings *found);
void settings_clear(struct settings *s);

/* endpoint_parse - "HOST:PORT" with a numeric host. Returns 0 or ERR_INVAL. */
int endpoint_parse(struct endpoint *e, const char *text);
bool endpoint_equal(const struct endpoint *a, const struct endpoint *b);

/* member_id_from_host - the id of the member at HOST: its address, unique without agreement; 0 when
 * bad.
 */
u32 member_id_from_host(const char *host);

#endif
