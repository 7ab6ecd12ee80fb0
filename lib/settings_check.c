/* What the settings must have, and what must fit together. */
#include "lib/settings_impl.h"

#include <string.h>

static int line_of(const struct loader *l, const char *key)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(l->seen, key));
}

static void need(struct loader *l, const char *section, const char *name)
{
	g_autofree char *full = g_strdup_printf("%s.%s", section, name);
	g_autofree char *at = settings_location(l, MAX(line_of(l, section), 1));

	if (!g_hash_table_contains(l->seen, full))
		findings_add(l->found, at, "section [%s] needs the key %s", section, name);
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
		g_autofree char *at = settings_location(l, 1);

		findings_add(l->found, at,
			     "neither [node] nor [control] is present: no role is on");
	}
}

/* An empty list would leave a node without configuration for ever. */
static void check_control_list(struct loader *l)
{
	int line = line_of(l, "node.control");
	g_autofree char *at = settings_location(l, line);

	if (line && !l->s->node.control->len)
		findings_add(l->found, at, "control names no control process");
}

/* Founding members must agree on the list, and each must be in it as the others reach it. */
static void check_members(struct loader *l)
{
	const struct control_settings *c = &l->s->control;
	g_autofree char *at = settings_location(l, line_of(l, "control.members"));

	if (c->uses_seeds || !c->members->len || !c->id || !c->address || !c->peer_port)
		return;
	for (guint i = 0; i < c->members->len; i++) {
		const struct member_setting *m =
			&g_array_index(c->members, struct member_setting, i);

		if (m->id != c->id)
			continue;
		if (m->at.port != c->peer_port || strcmp(m->at.host, c->address))
			findings_add(l->found, at,
				     "members has %u@%s:%u, but address and peer_port are %s:%u",
				     m->id, m->at.host, m->at.port, c->address, c->peer_port);
		return;
	}
	findings_add(l->found, at, "members lacks the own id %u", c->id);
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
			g_autofree char *at = settings_location(l, line_of(l, ports[i].key));

			if (ports[i].port && ports[i].port == ports[j].port)
				findings_add(l->found, at, "port %u is used twice, by %s and %s",
					     ports[i].port, ports[j].key, ports[i].key);
		}
	}
}

void settings_check(struct loader *l)
{
	check_needs(l);
	check_control_list(l);
	check_members(l);
	check_ports(l);
}
