#include "lib/settings_impl.h"

#include "lib/conf.h"
#include "lib/err.h"

#include <string.h>

#define DEFAULT_PROBES_PER_S 20
#define DEFAULT_PROBE_BYTES_PER_S 4096
#define DEFAULT_MAX_BODY_BYTES (8 * 1024 * 1024)
/* The rest of a VM of 160 MB is for the process itself, kept replies and the kernel's buffers. */
#define DEFAULT_MAX_HELD_BYTES (64 * 1024 * 1024)
/* 32 pipelined requests for answers of 1 MB, none of them read yet. */
#define DEFAULT_MAX_CALLER_BYTES (32 * 1024 * 1024)
#define DEFAULT_MAX_CALLER_CONNECTIONS 2000
/* Twice as long as connections may be idle. */
#define DEFAULT_CALLER_STALL_MS 30000
#define DEFAULT_SHUTDOWN_GRACE_MS 30000
#define DEFAULT_QUOTA_WINDOW_MS 5000
#define DEFAULT_QUOTA_OVERAGE_PERMILLE 100
#define DEFAULT_QUOTA_SLACK 20
#define DEFAULT_RETRY_PERCENT 10
#define DEFAULT_RETRY_SLACK 100
#define DEFAULT_RETRY_WINDOW_MS 10000

/*
 * Returns whether a key was given before, and reports it: the second value would hide the
 * first, which would leak. These two lists may be given again, since a continuation line
 * arrives as another value of the same key.
 */
static bool is_duplicate_key(struct loader *l, const char *section, const char *name)
{
	char *full = g_strdup_printf("%s.%s", section, name);
	bool is_list = !strcmp(full, "node.control") || !strcmp(full, "control.members");

	if (g_hash_table_contains(l->seen, full) && !is_list) {
		settings_report(l, "key given twice, or an indented line after it", name);
		g_free(full);
		return true;
	}
	g_hash_table_insert(l->seen, full, GINT_TO_POINTER(l->line));
	return false;
}

static void on_section(void *arg, const char *section, int line)
{
	struct loader *l = arg;

	l->line = line;
	if (!settings_has_section(section))
		settings_report(l, "unknown section", section);
	else if (g_hash_table_contains(l->seen, section))
		settings_report(l, "section given twice", section);
	else
		g_hash_table_insert(l->seen, g_strdup(section), GINT_TO_POINTER(line));
	l->s->node.is_on |= !strcmp(section, "node");
	l->s->control.is_on |= !strcmp(section, "control");
}

static void on_value(void *arg, const char *section, const char *name, const char *value, int line)
{
	struct loader *l = arg;

	l->line = line;
	if (!*section)
		settings_report(l, "a key before the first section", name);
	else if (!settings_has_section(section))
		return; /* already reported at the section header */
	else if (!settings_has_key(section, name))
		settings_report(l, "unknown key", name);
	else if (!is_duplicate_key(l, section, name))
		settings_set_value(l, section, name, value);
}

static const struct conf_ops conf_ops = { .section = on_section, .value = on_value };

static const struct caller_settings default_callers = {
	.max_held_bytes = DEFAULT_MAX_HELD_BYTES,
	.max_bytes = DEFAULT_MAX_CALLER_BYTES,
	.max_connections = DEFAULT_MAX_CALLER_CONNECTIONS,
	.stall_ms = DEFAULT_CALLER_STALL_MS,
};

static void set_defaults(struct settings *s)
{
	memset(s, 0, sizeof(*s));
	s->node.control = g_array_new(FALSE, TRUE, sizeof(struct endpoint));
	s->control.members = g_array_new(FALSE, TRUE, sizeof(struct member_setting));
	s->node.probe_budget_per_s = DEFAULT_PROBES_PER_S;
	s->node.probe_budget_bytes_per_s = DEFAULT_PROBE_BYTES_PER_S;
	s->node.max_body_bytes = DEFAULT_MAX_BODY_BYTES;
	s->node.callers = default_callers;
	s->control.callers = default_callers;
	s->node.shutdown_grace_ms = DEFAULT_SHUTDOWN_GRACE_MS;
	s->control.shutdown_grace_ms = DEFAULT_SHUTDOWN_GRACE_MS;
	s->node.cold_overage_percent = 100;
	s->control.quota_window_ms = DEFAULT_QUOTA_WINDOW_MS;
	s->control.quota_overage_permille = DEFAULT_QUOTA_OVERAGE_PERMILLE;
	s->control.quota_slack = DEFAULT_QUOTA_SLACK;
	s->node.retry_budget_percent = DEFAULT_RETRY_PERCENT;
	s->node.retry_budget_slack = DEFAULT_RETRY_SLACK;
	s->node.retry_budget_window_ms = DEFAULT_RETRY_WINDOW_MS;
	s->log_level = LOG_INFO;
}

static void default_listen(struct endpoint *e, const char *host, u16 port)
{
	if (e->port || !host)
		return;
	g_strlcpy(e->host, host, sizeof(e->host));
	e->port = port;
}

/* Sets the port of seeds to the peer_port of this process. */
static void fill_seeds(struct settings *s)
{
	struct control_settings *c = &s->control;

	for (guint i = 0; i < s->node.control->len; i++) {
		struct endpoint *e = &g_array_index(s->node.control, struct endpoint, i);

		e->port = e->port ? e->port : s->node.peer_port;
	}
	if (!c->uses_seeds)
		return;
	for (guint i = 0; i < c->members->len; i++)
		g_array_index(c->members, struct member_setting, i).at.port = c->peer_port;
	if (!c->id && c->address)
		c->id = member_id_from_host(c->address);
}

static void apply_fallbacks(struct settings *s)
{
	default_listen(&s->node.caller_listen, s->node.address, s->node.caller_port);
	default_listen(&s->control.api_listen, s->control.address, s->control.api_port);
	fill_seeds(s);
	if (!s->node.region)
		s->node.region = g_strdup("");
	if (!s->control.zone)
		s->control.zone = g_strdup(s->node.zone ? s->node.zone : "");
	if (!s->control.region)
		s->control.region = g_strdup(s->node.region);
}

int settings_load(struct settings *s, const char *path, struct findings *found)
{
	struct loader l = { .s = s, .found = found, .path = path };
	guint before = findings_count(found);

	set_defaults(s);
	l.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!conf_read(path, &conf_ops, &l, found))
		settings_check(&l);
	g_hash_table_unref(l.seen);
	apply_fallbacks(s);
	return findings_count(found) > before ? ERR_INVAL : 0;
}

void settings_clear(struct settings *s)
{
	g_free(s->cluster);
	g_free(s->node.address);
	g_free(s->node.zone);
	g_free(s->node.region);
	g_free(s->node.service);
	g_free(s->node.dialect);
	g_array_unref(s->node.control);
	g_free(s->control.address);
	g_free(s->control.zone);
	g_free(s->control.region);
	g_free(s->control.data);
	g_array_unref(s->control.members);
	g_free(s->log_file);
	memset(s, 0, sizeof(*s));
}
