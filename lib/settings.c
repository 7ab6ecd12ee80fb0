#include "lib/settings.h"

#include "lib/conf.h"
#include "lib/err.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_PROBES_PER_S 20
#define DEFAULT_PROBE_BYTES_PER_S 4096
#define DEFAULT_MAX_BODY_BYTES (8 * 1024 * 1024)
#define DEFAULT_SHUTDOWN_GRACE_S 30
#define DEFAULT_RETRY_PERCENT 10
#define DEFAULT_RETRY_SLACK 100
#define DEFAULT_RETRY_WINDOW_S 10
#define MAX_BODY_LIMIT_BYTES (1024 * 1024 * 1024ULL)
#define PROBES_LIMIT_PER_S 1000000
#define GRACE_LIMIT_S (24 * 3600)
/* Names travel in every greeting between processes, which bounds its texts. */
#define NAME_LIMIT_BYTES 63
#define CONTROL_LIST_MAX 64
#define MEMBERS_MAX 32

/* State of one load. */
struct loader {
	struct settings *s;
	struct findings *found;
	const char *path;
	int line;
	GHashTable *seen; /* "section" and "section.key" -> line */
};

struct key {
	const char *section;
	const char *name;
	void (*set)(struct loader *l, const char *value);
};

static char *place(const struct loader *l, int line)
{
	return g_strdup_printf("%s:%d", l->path, line);
}

static void complain(struct loader *l, const char *text, const char *value)
{
	g_autofree char *at = place(l, l->line);

	find_add(l->found, at, "%s: \"%s\"", text, value);
}

static bool parse_number(const char *text, u64 min, u64 max, u64 *out)
{
	char *end;

	errno = 0;
	*out = strtoull(text, &end, 10);
	if (errno || *end || !g_ascii_isdigit(text[0]))
		return false;
	return *out >= min && *out <= max;
}

static u64 number(struct loader *l, const char *value, u64 min, u64 max)
{
	g_autofree char *at = place(l, l->line);
	u64 n = 0;

	if (!parse_number(value, min, max, &n))
		find_add(l->found, at, "not a whole number from %llu to %llu: \"%s\"",
			 (unsigned long long)min, (unsigned long long)max, value);
	return n;
}

static u16 port(struct loader *l, const char *value)
{
	return (u16)number(l, value, 1, UINT16_MAX);
}

/* Every setter is called once, as is_repeat sees to it. */
static char *text(struct loader *l, const char *value)
{
	if (!*value)
		complain(l, "the value is empty", value);
	return g_strdup(value);
}

/* A name that travels: of a cluster, zone or region. */
static char *name(struct loader *l, const char *value)
{
	bool is_ok = strlen(value) <= NAME_LIMIT_BYTES;

	for (const char *p = value; *p; p++)
		is_ok &= g_ascii_isalnum(*p) || strchr("-_.", *p);
	if (!is_ok)
		complain(l,
			 "use letters, digits, '-', '_' and '.', at most " G_STRINGIFY(
				 NAME_LIMIT_BYTES),
			 value);
	return text(l, value);
}

static char *address(struct loader *l, const char *value)
{
	struct in_addr in;

	if (inet_pton(AF_INET, value, &in) != 1)
		complain(l, "not an IPv4 address", value);
	else if (in.s_addr == INADDR_ANY || in.s_addr == INADDR_BROADCAST)
		complain(l, "other processes reach this one here, give its own address", value);
	return g_strdup(value);
}

int endpoint_parse(struct endpoint *e, const char *value)
{
	const char *colon = strrchr(value, ':');
	struct in_addr in;
	u64 n;

	if (!colon || (size_t)(colon - value) >= sizeof(e->host))
		return ERR_INVAL;
	memcpy(e->host, value, (size_t)(colon - value));
	e->host[colon - value] = 0;
	if (inet_pton(AF_INET, e->host, &in) != 1 || !parse_number(colon + 1, 1, UINT16_MAX, &n))
		return ERR_INVAL;
	e->port = (u16)n;
	return 0;
}

bool endpoint_is_same(const struct endpoint *a, const struct endpoint *b)
{
	return a->port == b->port && !strcmp(a->host, b->host);
}

u32 member_id_of(const char *host)
{
	struct in_addr in = { 0 };

	inet_pton(AF_INET, host, &in);
	return ntohl(in.s_addr);
}

/* Calls ADD for each part of a list; empty parts are passed over. */
static void each_part(struct loader *l, const char *v,
		      void (*add)(struct loader *l, const char *part))
{
	g_auto(GStrv) parts = g_strsplit(v, ",", -1);

	for (char **p = parts; *p; p++)
		if (*g_strstrip(*p))
			add(l, *p);
}

static void set_cluster(struct loader *l, const char *v)
{
	l->s->cluster = name(l, v);
}

static void set_node_address(struct loader *l, const char *v)
{
	l->s->node.address = address(l, v);
}

static void set_node_zone(struct loader *l, const char *v)
{
	l->s->node.zone = name(l, v);
}

static void set_node_region(struct loader *l, const char *v)
{
	l->s->node.region = name(l, v);
}

static void set_caller_port(struct loader *l, const char *v)
{
	l->s->node.caller_port = port(l, v);
}

static void set_node_peer_port(struct loader *l, const char *v)
{
	l->s->node.peer_port = port(l, v);
}

static void endpoint(struct loader *l, const char *v, struct endpoint *out)
{
	if (endpoint_parse(out, v))
		complain(l, "not an ADDRESS:PORT", v);
}

static void set_node_peer_listen(struct loader *l, const char *v)
{
	endpoint(l, v, &l->s->node.peer_listen);
}

static void set_control_peer_listen(struct loader *l, const char *v)
{
	endpoint(l, v, &l->s->control.peer_listen);
}

static void set_local_port(struct loader *l, const char *v)
{
	l->s->node.local_port = port(l, v);
}

static bool has_endpoint(const GArray *list, const struct endpoint *e)
{
	for (guint i = 0; i < list->len; i++)
		if (endpoint_is_same(&g_array_index(list, struct endpoint, i), e))
			return true;
	return false;
}

static void add_endpoint(struct loader *l, const char *value)
{
	GArray *list = l->s->node.control;
	struct endpoint e = { 0 };

	if (endpoint_parse(&e, value))
		complain(l, "not an ADDRESS:PORT", value);
	else if (has_endpoint(list, &e))
		complain(l, "given twice", value);
	else if (list->len == CONTROL_LIST_MAX)
		complain(l, "more than " G_STRINGIFY(CONTROL_LIST_MAX) " control processes", value);
	else
		g_array_append_val(list, e);
}

static void set_node_control(struct loader *l, const char *v)
{
	each_part(l, v, add_endpoint);
}

static void set_probes(struct loader *l, const char *v)
{
	l->s->node.probe_budget_per_s = number(l, v, 0, PROBES_LIMIT_PER_S);
}

static void set_probe_bytes(struct loader *l, const char *v)
{
	l->s->node.probe_budget_bytes_per_s = number(l, v, 0, UINT32_MAX);
}

static void set_max_body(struct loader *l, const char *v)
{
	l->s->node.max_body_bytes = number(l, v, 1, MAX_BODY_LIMIT_BYTES);
}

static void set_grace(struct loader *l, const char *v)
{
	l->s->node.shutdown_grace_s = number(l, v, 0, GRACE_LIMIT_S);
}

static void set_caller_listen(struct loader *l, const char *v)
{
	endpoint(l, v, &l->s->node.caller_listen);
}

static void set_register_listen(struct loader *l, const char *v)
{
	endpoint(l, v, &l->s->node.register_listen);
}

static void set_ready_listen(struct loader *l, const char *v)
{
	endpoint(l, v, &l->s->node.ready_listen);
}

static void set_service(struct loader *l, const char *v)
{
	l->s->node.service = text(l, v);
}

static void set_dialect(struct loader *l, const char *v)
{
	l->s->node.dialect = text(l, v);
}

static void set_upstream_ttl(struct loader *l, const char *v)
{
	l->s->node.upstream_ttl_ms = number(l, v, 1, UINT32_MAX);
}

/* A part of a whole, as 0.2, in percent. */
static void set_retry_ratio(struct loader *l, const char *v)
{
	char *end;
	double part = g_ascii_strtod(v, &end);

	if (end == v || *end || !(part >= 0 && part <= 1))
		complain(l, "not a number from 0 to 1", v);
	else
		l->s->node.retry_budget_percent = (u64)(part * 100);
}

static void set_retry_slack(struct loader *l, const char *v)
{
	l->s->node.retry_budget_slack = number(l, v, 0, UINT32_MAX);
}

static void set_load_asks(struct loader *l, const char *v)
{
	l->s->node.load_asks_per_s = number(l, v, 0, PROBES_LIMIT_PER_S);
}

static void set_retry_window(struct loader *l, const char *v)
{
	l->s->node.retry_budget_window_s = number(l, v, 1, UINT32_MAX);
}

/* Of a seed only the host counts: control processes use one peer_port on all VMs. */
static bool parse_seed(const char *v, struct endpoint *out)
{
	g_autofree char *with_port = strchr(v, ':') ? g_strdup(v) : g_strconcat(v, ":1", NULL);

	return !endpoint_parse(out, with_port);
}

static void add_node_seed(struct loader *l, const char *value)
{
	struct endpoint e;

	if (!parse_seed(value, &e)) {
		complain(l, "not an ADDRESS or ADDRESS:PORT", value);
		return;
	}
	e.port = 0; /* filled in when peer_port is known */
	g_array_append_val(l->s->node.control, e);
}

static void set_node_seeds(struct loader *l, const char *v)
{
	l->s->node.learns_control = true;
	each_part(l, v, add_node_seed);
}

static void add_control_seed(struct loader *l, const char *value)
{
	struct member_setting m = { 0 };

	if (!parse_seed(value, &m.at))
		complain(l, "not an ADDRESS or ADDRESS:PORT", value);
	m.id = member_id_of(m.at.host);
	if (l->s->control.members->len < MEMBERS_MAX)
		g_array_append_val(l->s->control.members, m);
}

static void set_control_seeds(struct loader *l, const char *v)
{
	l->s->control.forms_itself = true;
	each_part(l, v, add_control_seed);
}

static void set_found(struct loader *l, const char *v)
{
	l->s->control.is_found = !strcmp(v, "true");
	if (strcmp(v, "true") && strcmp(v, "false"))
		complain(l, "neither true nor false", v);
}

static void set_losses(struct loader *l, const char *v)
{
	l->s->control.losses = (u32)number(l, v, 0, MEMBERS_MAX / 2 - 1);
}

static void set_api_listen(struct loader *l, const char *v)
{
	endpoint(l, v, &l->s->control.api_listen);
}

static void set_id(struct loader *l, const char *v)
{
	l->s->control.id = (u32)number(l, v, 1, UINT32_MAX);
}

static void set_control_address(struct loader *l, const char *v)
{
	l->s->control.address = address(l, v);
}

static void set_control_zone(struct loader *l, const char *v)
{
	l->s->control.zone = name(l, v);
}

static void set_control_region(struct loader *l, const char *v)
{
	l->s->control.region = name(l, v);
}

static void set_data(struct loader *l, const char *v)
{
	l->s->control.data = text(l, v);
}

static void set_api_port(struct loader *l, const char *v)
{
	l->s->control.api_port = port(l, v);
}

static void set_control_peer_port(struct loader *l, const char *v)
{
	l->s->control.peer_port = port(l, v);
}

static int parse_member(struct member_setting *m, const char *value)
{
	g_autofree char *copy = g_strdup(value);
	char *at = strchr(copy, '@');
	u64 id;

	if (!at)
		return ERR_INVAL;
	*at = 0;
	if (!parse_number(copy, 1, UINT32_MAX, &id))
		return ERR_INVAL;
	m->id = (u32)id;
	return endpoint_parse(&m->at, at + 1);
}

static const char *member_clash(const GArray *list, const struct member_setting *m)
{
	for (guint i = 0; i < list->len; i++) {
		const struct member_setting *one = &g_array_index(list, struct member_setting, i);

		if (one->id == m->id)
			return "a member with this id came before";
		if (endpoint_is_same(&one->at, &m->at))
			return "a member with this address came before";
	}
	return NULL;
}

static void add_member(struct loader *l, const char *value)
{
	GArray *list = l->s->control.members;
	struct member_setting m = { 0 };
	const char *clash;

	if (parse_member(&m, value)) {
		complain(l, "not an ID@ADDRESS:PORT", value);
		return;
	}
	clash = member_clash(list, &m);
	if (clash)
		complain(l, clash, value);
	else if (list->len == MEMBERS_MAX)
		complain(l, "more than " G_STRINGIFY(MEMBERS_MAX) " members", value);
	else
		g_array_append_val(list, m);
}

static void set_members(struct loader *l, const char *v)
{
	each_part(l, v, add_member);
}

static int pick(struct loader *l, const char *v, const char *const *names, int n)
{
	for (int i = 0; i < n; i++)
		if (!strcmp(names[i], v))
			return i;
	complain(l, "unknown value", v);
	return 0;
}

static void set_level(struct loader *l, const char *v)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };

	l->s->log_level = (enum log_level)pick(l, v, names, G_N_ELEMENTS(names));
}

static void set_format(struct loader *l, const char *v)
{
	static const char *const names[] = { "text", "json" };

	l->s->log_format = (enum log_format)pick(l, v, names, G_N_ELEMENTS(names));
}

static void set_log_file(struct loader *l, const char *v)
{
	l->s->log_file = text(l, v);
}

static const struct key keys[] = {
	{ "cluster", "name", set_cluster },
	{ "node", "address", set_node_address },
	{ "node", "zone", set_node_zone },
	{ "node", "region", set_node_region },
	{ "node", "caller_port", set_caller_port },
	{ "node", "peer_port", set_node_peer_port },
	{ "node", "peer_listen", set_node_peer_listen },
	{ "node", "local_port", set_local_port },
	{ "node", "control", set_node_control },
	{ "node", "seeds", set_node_seeds },
	{ "node", "caller_listen", set_caller_listen },
	{ "node", "register_listen", set_register_listen },
	{ "node", "ready_listen", set_ready_listen },
	{ "node", "service", set_service },
	{ "node", "dialect", set_dialect },
	{ "node", "upstream_ttl_ms", set_upstream_ttl },
	{ "node", "retry_budget_ratio", set_retry_ratio },
	{ "node", "retry_budget_slack", set_retry_slack },
	{ "node", "load_asks_per_s", set_load_asks },
	{ "node", "retry_budget_window_s", set_retry_window },
	{ "node", "probe_budget_per_s", set_probes },
	{ "node", "probe_budget_bytes_per_s", set_probe_bytes },
	{ "node", "max_body_bytes", set_max_body },
	{ "node", "shutdown_grace_s", set_grace },
	{ "control", "id", set_id },
	{ "control", "address", set_control_address },
	{ "control", "zone", set_control_zone },
	{ "control", "region", set_control_region },
	{ "control", "data", set_data },
	{ "control", "api_port", set_api_port },
	{ "control", "peer_port", set_control_peer_port },
	{ "control", "peer_listen", set_control_peer_listen },
	{ "control", "members", set_members },
	{ "control", "seeds", set_control_seeds },
	{ "control", "found", set_found },
	{ "control", "losses", set_losses },
	{ "control", "api_listen", set_api_listen },
	{ "log", "level", set_level },
	{ "log", "format", set_format },
	{ "log", "file", set_log_file },
};

static bool is_known_section(const char *section)
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

/* A key given twice would leak and hide a value; continuation lines of lists come here too. */
static bool is_repeat(struct loader *l, const char *section, const char *name)
{
	char *full = g_strdup_printf("%s.%s", section, name);
	bool is_list = !strcmp(full, "node.control") || !strcmp(full, "control.members");

	if (g_hash_table_contains(l->seen, full) && !is_list) {
		complain(l, "key given twice, or an indented line after it", name);
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
	if (!is_known_section(section))
		complain(l, "unknown section", section);
	else if (g_hash_table_contains(l->seen, section))
		complain(l, "section given twice", section);
	else
		g_hash_table_insert(l->seen, g_strdup(section), GINT_TO_POINTER(line));
	l->s->node.is_on |= !strcmp(section, "node");
	l->s->control.is_on |= !strcmp(section, "control");
}

static void on_value(void *arg, const char *section, const char *name, const char *value, int line)
{
	struct loader *l = arg;
	const struct key *k = find_key(section, name);

	l->line = line;
	if (!*section)
		complain(l, "a key before the first section", name);
	else if (!is_known_section(section))
		return; /* reported at its header */
	else if (!k)
		complain(l, "unknown key", name);
	else if (!is_repeat(l, section, name))
		k->set(l, value);
}

static const struct conf_ops conf_ops = { .section = on_section, .value = on_value };

static int line_of(const struct loader *l, const char *key)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(l->seen, key));
}

static void need(struct loader *l, const char *section, const char *name)
{
	g_autofree char *full = g_strdup_printf("%s.%s", section, name);
	g_autofree char *at = place(l, MAX(line_of(l, section), 1));

	if (!g_hash_table_contains(l->seen, full))
		find_add(l->found, at, "section [%s] needs the key %s", section, name);
}

/* A key that a section needs, or another one that can stand in for it. */
struct needed {
	const char *name;
	const char *other; /* NULL for none */
};

static void need_all(struct loader *l, const char *section, const struct needed *list, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		g_autofree char *other =
			g_strdup_printf("%s.%s", section, list[i].other ? list[i].other : "");

		if (!g_hash_table_contains(l->seen, other))
			need(l, section, list[i].name);
	}
}

static void check_needs(struct loader *l)
{
	static const struct needed node[] = {
		{ "address", NULL },   { "zone", NULL },       { "caller_port", "caller_listen" },
		{ "peer_port", NULL }, { "local_port", NULL }, { "control", "seeds" }
	};
	static const struct needed control[] = {
		{ "id", "seeds" }, { "address", NULL },		 { "zone", NULL },
		{ "data", NULL },  { "api_port", "api_listen" }, { "peer_port", NULL }
	};

	need(l, "cluster", "name");
	if (l->s->node.is_on)
		need_all(l, "node", node, G_N_ELEMENTS(node));
	if (l->s->control.is_on)
		need_all(l, "control", control, G_N_ELEMENTS(control));
	if (!l->s->node.is_on && !l->s->control.is_on) {
		g_autofree char *at = place(l, 1);

		find_add(l->found, at, "neither [node] nor [control] is present: no role is on");
	}
}

/* An empty list would leave a node without configuration for ever. */
static void check_control_list(struct loader *l)
{
	int line = line_of(l, "node.control");
	g_autofree char *at = place(l, line);

	if (line && !l->s->node.control->len)
		find_add(l->found, at, "control names no control process");
}

/* Founding members must agree on the list, and each must be in it as the others reach it. */
static void check_members(struct loader *l)
{
	const struct control_settings *c = &l->s->control;
	g_autofree char *at = place(l, line_of(l, "control.members"));

	if (c->forms_itself || !c->members->len || !c->id || !c->address || !c->peer_port)
		return;
	for (guint i = 0; i < c->members->len; i++) {
		const struct member_setting *m =
			&g_array_index(c->members, struct member_setting, i);

		if (m->id != c->id)
			continue;
		if (m->at.port != c->peer_port || strcmp(m->at.host, c->address))
			find_add(l->found, at,
				 "members has %u@%s:%u, but address and peer_port are %s:%u", m->id,
				 m->at.host, m->at.port, c->address, c->peer_port);
		return;
	}
	find_add(l->found, at, "members lacks the own id %u", c->id);
}

static void check_ports(struct loader *l)
{
	const struct {
		const char *key;
		u16 port;
	} ports[] = {
		{ "node.caller_port", l->s->node.caller_port },
		{ "node.peer_port", l->s->node.peer_port },
		{ "node.local_port", l->s->node.local_port },
		{ "control.api_port", l->s->control.api_port },
		{ "control.peer_port", l->s->control.peer_port },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(ports); i++) {
		for (size_t j = 0; j < i; j++) {
			g_autofree char *at = place(l, line_of(l, ports[i].key));

			if (ports[i].port && ports[i].port == ports[j].port)
				find_add(l->found, at, "port %u is used twice, by %s and %s",
					 ports[i].port, ports[j].key, ports[i].key);
		}
	}
}

static void set_defaults(struct settings *s)
{
	memset(s, 0, sizeof(*s));
	s->node.control = g_array_new(FALSE, TRUE, sizeof(struct endpoint));
	s->control.members = g_array_new(FALSE, TRUE, sizeof(struct member_setting));
	s->node.probe_budget_per_s = DEFAULT_PROBES_PER_S;
	s->node.probe_budget_bytes_per_s = DEFAULT_PROBE_BYTES_PER_S;
	s->node.max_body_bytes = DEFAULT_MAX_BODY_BYTES;
	s->node.shutdown_grace_s = DEFAULT_SHUTDOWN_GRACE_S;
	s->node.retry_budget_percent = DEFAULT_RETRY_PERCENT;
	s->node.retry_budget_slack = DEFAULT_RETRY_SLACK;
	s->node.retry_budget_window_s = DEFAULT_RETRY_WINDOW_S;
	s->log_level = LOG_INFO;
}

static void fill_listen(struct endpoint *e, const char *host, u16 port)
{
	if (e->port || !host)
		return;
	g_strlcpy(e->host, host, sizeof(e->host));
	e->port = port;
}

/* Seeds have the peer_port of this process. */
static void fill_seeds(struct settings *s)
{
	struct control_settings *c = &s->control;

	for (guint i = 0; i < s->node.control->len; i++) {
		struct endpoint *e = &g_array_index(s->node.control, struct endpoint, i);

		e->port = e->port ? e->port : s->node.peer_port;
	}
	if (!c->forms_itself)
		return;
	for (guint i = 0; i < c->members->len; i++)
		g_array_index(c->members, struct member_setting, i).at.port = c->peer_port;
	if (!c->id && c->address)
		c->id = member_id_of(c->address);
}

static void fill_absent(struct settings *s)
{
	fill_listen(&s->node.caller_listen, s->node.address, s->node.caller_port);
	fill_listen(&s->control.api_listen, s->control.address, s->control.api_port);
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
	guint before = find_count(found);

	set_defaults(s);
	l.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!conf_read(path, &conf_ops, &l, found)) {
		check_needs(&l);
		check_control_list(&l);
		check_members(&l);
		check_ports(&l);
	}
	g_hash_table_unref(l.seen);
	fill_absent(s);
	return find_count(found) > before ? ERR_INVAL : 0;
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
