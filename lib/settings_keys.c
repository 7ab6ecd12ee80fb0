/* The table of keys, and the setters of keys that hold more than a single value. */
#include "lib/settings_impl.h"

#include "lib/err.h"

#include <stddef.h>
#include <string.h>

#define CONTROL_LIST_MAX 64
#define MAX_BODY_LIMIT_BYTES (1024 * 1024 * 1024ULL)
#define PER_S_LIMIT 1000000
#define HELD_MIN_BYTES (1024 * 1024)
#define GRACE_LIMIT_S (24 * 3600)

enum kind {
	KIND_TEXT, /* char * */
	KIND_NAME, /* char *, a name that is sent to other processes */
	KIND_ADDRESS, /* char * */
	KIND_PORT, /* u16 */
	KIND_ENDPOINT, /* struct endpoint */
	KIND_NUMBER, /* u64 */
	KIND_NUMBER32, /* u32 */
	KIND_DECIMAL, /* u64; the scale bounds the precision of a fraction */
	KIND_CUSTOM, /* handled by the set and show functions */
};

struct key {
	const char *section;
	const char *name;
	enum kind kind;
	size_t offset; /* in struct settings */
	u64 min;
	u64 max;
	u64 scale; /* KIND_DECIMAL: the field holds the value times scale */
	void (*set)(struct loader *l, const char *value);
	char *(*show)(const struct settings *s);
};

static bool has_endpoint(const GArray *list, const struct endpoint *e)
{
	for (guint i = 0; i < list->len; i++)
		if (endpoint_equal(&g_array_index(list, struct endpoint, i), e))
			return true;
	return false;
}

static void add_endpoint(struct loader *l, const char *value)
{
	GArray *list = l->s->node.control;
	struct endpoint e = { 0 };

	if (endpoint_parse(&e, value))
		settings_report(l, "not an ADDRESS:PORT", value);
	else if (has_endpoint(list, &e))
		settings_report(l, "given twice", value);
	else if (list->len == CONTROL_LIST_MAX)
		settings_report(l, "more than " G_STRINGIFY(CONTROL_LIST_MAX) " control processes",
				value);
	else
		g_array_append_val(list, e);
}

static void set_node_control(struct loader *l, const char *v)
{
	settings_each_item(l, v, add_endpoint);
}

/* Parses a seed. Its port is ignored: control processes use the same peer_port on all VMs. */
static bool parse_seed(const char *v, struct endpoint *out)
{
	g_autofree char *with_port = strchr(v, ':') ? g_strdup(v) : g_strconcat(v, ":1", NULL);

	return !endpoint_parse(out, with_port);
}

static void add_node_seed(struct loader *l, const char *value)
{
	struct endpoint e;

	if (!parse_seed(value, &e)) {
		settings_report(l, "not an ADDRESS or ADDRESS:PORT", value);
		return;
	}
	e.port = 0; /* set once peer_port is known */
	g_array_append_val(l->s->node.control, e);
}

static void set_node_seeds(struct loader *l, const char *v)
{
	l->s->node.discovers_control = true;
	settings_each_item(l, v, add_node_seed);
}

static void add_control_seed(struct loader *l, const char *value)
{
	struct member_setting m = { 0 };

	if (!parse_seed(value, &m.at))
		settings_report(l, "not an ADDRESS or ADDRESS:PORT", value);
	m.id = member_id_from_host(m.at.host);
	if (l->s->control.members->len < SETTINGS_MEMBERS_MAX)
		g_array_append_val(l->s->control.members, m);
}

static void set_control_seeds(struct loader *l, const char *v)
{
	l->s->control.uses_seeds = true;
	settings_each_item(l, v, add_control_seed);
}

static void set_found(struct loader *l, const char *v)
{
	l->s->control.may_form_group = !strcmp(v, "true");
	if (strcmp(v, "true") && strcmp(v, "false"))
		settings_report(l, "neither true nor false", v);
}

static int parse_member(struct member_setting *m, const char *value)
{
	g_autofree char *copy = g_strdup(value);
	char *at = strchr(copy, '@');
	u64 id;

	if (!at)
		return ERR_INVAL;
	*at = 0;
	if (!settings_parse_number(copy, 1, UINT32_MAX, &id))
		return ERR_INVAL;
	m->id = (u32)id;
	return endpoint_parse(&m->at, at + 1);
}

static const char *member_conflict(const GArray *list, const struct member_setting *m)
{
	for (guint i = 0; i < list->len; i++) {
		const struct member_setting *one = &g_array_index(list, struct member_setting, i);

		if (one->id == m->id)
			return "a member with this id came before";
		if (endpoint_equal(&one->at, &m->at))
			return "a member with this address came before";
	}
	return NULL;
}

static void add_member(struct loader *l, const char *value)
{
	GArray *list = l->s->control.members;
	struct member_setting m = { 0 };
	const char *conflict;

	if (parse_member(&m, value)) {
		settings_report(l, "not an ID@ADDRESS:PORT", value);
		return;
	}
	conflict = member_conflict(list, &m);
	if (conflict)
		settings_report(l, conflict, value);
	else if (list->len == SETTINGS_MEMBERS_MAX)
		settings_report(l, "more than " G_STRINGIFY(SETTINGS_MEMBERS_MAX) " members",
				value);
	else
		g_array_append_val(list, m);
}

static void set_members(struct loader *l, const char *v)
{
	settings_each_item(l, v, add_member);
}

static const char *const level_names[] = { "error", "warn", "info", "debug" };
static const char *const format_names[] = { "text", "json" };

static void set_level(struct loader *l, const char *v)
{
	l->s->log_level =
		(enum log_level)settings_enum(l, v, level_names, G_N_ELEMENTS(level_names));
}

static void set_format(struct loader *l, const char *v)
{
	l->s->log_format =
		(enum log_format)settings_enum(l, v, format_names, G_N_ELEMENTS(format_names));
}

/* Formatting */

static char *show_endpoint(const struct endpoint *e)
{
	return e->port ? g_strdup_printf("%s:%u", e->host, e->port) : g_strdup("");
}

static char *show_endpoints(const GArray *list)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < list->len; i++) {
		g_autofree char *one = show_endpoint(&g_array_index(list, struct endpoint, i));

		g_string_append_printf(out, "%s%s", out->len ? "," : "", one);
	}
	return g_string_free(out, FALSE);
}

static char *show_node_control(const struct settings *s)
{
	return s->node.discovers_control ? g_strdup("") : show_endpoints(s->node.control);
}

static char *show_node_seeds(const struct settings *s)
{
	return s->node.discovers_control ? show_endpoints(s->node.control) : g_strdup("");
}

static char *show_member_list(const GArray *list, bool has_ids)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < list->len; i++) {
		const struct member_setting *m = &g_array_index(list, struct member_setting, i);
		g_autofree char *at = show_endpoint(&m->at);

		if (out->len)
			g_string_append_c(out, ',');
		if (has_ids)
			g_string_append_printf(out, "%u@", m->id);
		g_string_append(out, at);
	}
	return g_string_free(out, FALSE);
}

static char *show_members(const struct settings *s)
{
	return s->control.uses_seeds ? g_strdup("") : show_member_list(s->control.members, true);
}

static char *show_control_seeds(const struct settings *s)
{
	return s->control.uses_seeds ? show_member_list(s->control.members, false) : g_strdup("");
}

static char *show_found(const struct settings *s)
{
	return g_strdup(s->control.may_form_group ? "true" : "false");
}

static char *show_level(const struct settings *s)
{
	return g_strdup(level_names[s->log_level]);
}

static char *show_format(const struct settings *s)
{
	return g_strdup(format_names[s->log_format]);
}

#define FIELD_OFFSET(field) offsetof(struct settings, field)
#define PLAIN(section, name, kind, field)                                                          \
	{                                                                                          \
		section, name, kind, FIELD_OFFSET(field), 0, 0, 0, NULL, NULL                      \
	}
#define NUMBER(section, name, kind, field, min, max)                                               \
	{                                                                                          \
		section, name, kind, FIELD_OFFSET(field), min, max, 0, NULL, NULL                  \
	}
#define DECIMAL(section, name, field, min, max, scale)                                             \
	{                                                                                          \
		section, name, KIND_DECIMAL, FIELD_OFFSET(field), min, max, scale, NULL, NULL      \
	}
#define CUSTOM(section, name, set, show)                                                           \
	{                                                                                          \
		section, name, KIND_CUSTOM, 0, 0, 0, 0, set, show                                  \
	}

/* The keys of struct caller_settings. */
#define CALLERS(section, role)                                                                     \
	NUMBER(section, "max_held_bytes", KIND_NUMBER, role.callers.max_held_bytes,                \
	       HELD_MIN_BYTES, MAX_BODY_LIMIT_BYTES),                                              \
		NUMBER(section, "max_caller_bytes", KIND_NUMBER, role.callers.max_bytes,           \
		       HELD_MIN_BYTES, MAX_BODY_LIMIT_BYTES),                                      \
		NUMBER(section, "max_caller_connections", KIND_NUMBER,                             \
		       role.callers.max_connections, 1, PER_S_LIMIT),                              \
		DECIMAL(section, "caller_stall_s", role.callers.stall_ms, 1, GRACE_LIMIT_S, 1000)

static const struct key keys[] = {
	PLAIN("cluster", "name", KIND_NAME, cluster),
	PLAIN("node", "address", KIND_ADDRESS, node.address),
	PLAIN("node", "zone", KIND_NAME, node.zone),
	PLAIN("node", "region", KIND_NAME, node.region),
	PLAIN("node", "caller_port", KIND_PORT, node.caller_port),
	PLAIN("node", "peer_port", KIND_PORT, node.peer_port),
	PLAIN("node", "peer_listen", KIND_ENDPOINT, node.peer_listen),
	PLAIN("node", "local_port", KIND_PORT, node.local_port),
	CUSTOM("node", "control", set_node_control, show_node_control),
	CUSTOM("node", "seeds", set_node_seeds, show_node_seeds),
	PLAIN("node", "caller_listen", KIND_ENDPOINT, node.caller_listen),
	PLAIN("node", "register_listen", KIND_ENDPOINT, node.register_listen),
	PLAIN("node", "ready_listen", KIND_ENDPOINT, node.ready_listen),
	PLAIN("node", "service", KIND_TEXT, node.service),
	PLAIN("node", "dialect", KIND_TEXT, node.dialect),
	NUMBER("node", "upstream_ttl_ms", KIND_NUMBER, node.upstream_ttl_ms, 1, UINT32_MAX),
	DECIMAL("node", "retry_budget_ratio", node.retry_budget_percent, 0, 1, 100),
	DECIMAL("node", "retry_budget_slack", node.retry_budget_slack, 0, UINT32_MAX, 1),
	DECIMAL("node", "load_asks_per_s", node.load_asks_per_s, 0, PER_S_LIMIT, 1),
	DECIMAL("node", "retry_budget_window_s", node.retry_budget_window_ms, 1, UINT32_MAX, 1000),
	NUMBER("node", "key_confirmation_ms", KIND_NUMBER, node.key_confirmation_ms, 0, UINT32_MAX),
	DECIMAL("node", "cold_overage", node.cold_overage_percent, 1, 100, 100),
	DECIMAL("node", "cold_slack", node.cold_slack, 0, PER_S_LIMIT, 1),
	NUMBER("node", "probe_budget_per_s", KIND_NUMBER, node.probe_budget_per_s, 0, PER_S_LIMIT),
	NUMBER("node", "probe_budget_bytes_per_s", KIND_NUMBER, node.probe_budget_bytes_per_s, 0,
	       UINT32_MAX),
	NUMBER("node", "max_body_bytes", KIND_NUMBER, node.max_body_bytes, 1, MAX_BODY_LIMIT_BYTES),
	CALLERS("node", node),
	DECIMAL("node", "shutdown_grace_s", node.shutdown_grace_ms, 0, GRACE_LIMIT_S, 1000),
	NUMBER("control", "id", KIND_NUMBER32, control.id, 1, UINT32_MAX),
	PLAIN("control", "address", KIND_ADDRESS, control.address),
	PLAIN("control", "zone", KIND_NAME, control.zone),
	PLAIN("control", "region", KIND_NAME, control.region),
	PLAIN("control", "data", KIND_TEXT, control.data),
	PLAIN("control", "api_port", KIND_PORT, control.api_port),
	PLAIN("control", "peer_port", KIND_PORT, control.peer_port),
	PLAIN("control", "peer_listen", KIND_ENDPOINT, control.peer_listen),
	CUSTOM("control", "members", set_members, show_members),
	CUSTOM("control", "seeds", set_control_seeds, show_control_seeds),
	CUSTOM("control", "found", set_found, show_found),
	NUMBER("control", "losses", KIND_NUMBER32, control.losses, 0, SETTINGS_MEMBERS_MAX / 2 - 1),
	PLAIN("control", "api_listen", KIND_ENDPOINT, control.api_listen),
	CALLERS("control", control),
	DECIMAL("control", "shutdown_grace_s", control.shutdown_grace_ms, 0, GRACE_LIMIT_S, 1000),
	DECIMAL("control", "quota_window_s", control.quota_window_ms, 1, 3600, 1000),
	DECIMAL("control", "quota_overage", control.quota_overage_permille, 0, 1, 1000),
	DECIMAL("control", "quota_slack", control.quota_slack, 0, PER_S_LIMIT, 1),
	CUSTOM("log", "level", set_level, show_level),
	CUSTOM("log", "format", set_format, show_format),
	PLAIN("log", "file", KIND_TEXT, log_file),
};

bool settings_has_section(const char *section)
{
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		if (!strcmp(keys[i].section, section))
			return true;
	return false;
}

static const struct key *find_key(const char *section, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		if (!strcmp(keys[i].section, section) && !strcmp(keys[i].name, name))
			return &keys[i];
	return NULL;
}

bool settings_has_key(const char *section, const char *name)
{
	return find_key(section, name);
}

void settings_set_value(struct loader *l, const char *section, const char *name, const char *value)
{
	const struct key *k = find_key(section, name);
	void *field = (char *)l->s + k->offset;

	switch (k->kind) {
	case KIND_TEXT:
		*(char **)field = settings_text(l, value);
		break;
	case KIND_NAME:
		*(char **)field = settings_name(l, value);
		break;
	case KIND_ADDRESS:
		*(char **)field = settings_address(l, value);
		break;
	case KIND_PORT:
		*(u16 *)field = settings_port(l, value);
		break;
	case KIND_ENDPOINT:
		settings_endpoint(l, value, field);
		break;
	case KIND_NUMBER:
		*(u64 *)field = settings_number(l, value, k->min, k->max);
		break;
	case KIND_NUMBER32:
		*(u32 *)field = (u32)settings_number(l, value, k->min, k->max);
		break;
	case KIND_DECIMAL:
		*(u64 *)field = settings_decimal(l, value, k->min, k->max, k->scale);
		break;
	case KIND_CUSTOM:
		k->set(l, value);
		break;
	}
}

/* Formats a number without trailing zeros. */
static char *show_decimal(u64 value, u64 scale)
{
	char text[64];

	g_ascii_formatd(text, sizeof(text), "%.10g", (double)value / (double)scale);
	return g_strdup(text);
}

static char *show(const struct settings *s, const struct key *k)
{
	const void *field = (const char *)s + k->offset;

	switch (k->kind) {
	case KIND_TEXT:
	case KIND_NAME:
	case KIND_ADDRESS:
		return g_strdup(*(char *const *)field ? *(char *const *)field : "");
	case KIND_PORT:
		return g_strdup_printf("%u", *(const u16 *)field);
	case KIND_ENDPOINT:
		return show_endpoint(field);
	case KIND_NUMBER:
		return g_strdup_printf("%llu", (unsigned long long)*(const u64 *)field);
	case KIND_NUMBER32:
		return g_strdup_printf("%u", *(const u32 *)field);
	case KIND_DECIMAL:
		return show_decimal(*(const u64 *)field, k->scale);
	case KIND_CUSTOM:
		break;
	}
	return k->show(s);
}

static bool is_on(const struct settings *s, const char *section)
{
	if (!strcmp(section, "node"))
		return s->node.is_on;
	return strcmp(section, "control") || s->control.is_on;
}

void settings_foreach(const struct settings *s,
		      void (*fn)(void *arg, const char *section, const char *name, char *value),
		      void *arg)
{
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		if (is_on(s, keys[i].section))
			fn(arg, keys[i].section, keys[i].name, show(s, &keys[i]));
}
