/* Checks that required keys are present and that values are consistent. */
#include "lib/settings_impl.h"

#include <string.h>

static int line_of(const struct loader *l, const char *key)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(l->seen, key));
}

static void require_key(struct loader *l, const char *section, const char *name)
{
	g_autofree char *full = g_strdup_printf("%s.%s", section, name);
	g_autofree char *at = settings_location(l, MAX(line_of(l, section), 1));

	if (!g_hash_table_contains(l->seen, full))
		findings_add(l->found, at, "section [%s] needs the key %s", section, name);
}

/* A required key, or another key that replaces it. */
struct required_key {
	const char *name;
	const char *alternative; /* may be NULL */
};

static void require_keys(struct loader *l, const char *section, const struct required_key *list,
			 size_t n)
{
	for (size_t i = 0; i < n; i++) {
		g_autofree char *alternative = g_strdup_printf(
			"%s.%s", section, list[i].alternative ? list[i].alternative : "");

		if (!g_hash_table_contains(l->seen, alternative))
			require_key(l, section, list[i].name);
	}
}

static void check_required_keys(struct loader *l)
{
	static const struct required_key node[] = {
		{ "address", NULL },   { "zone", NULL },       { "caller_port", "caller_listen" },
		{ "peer_port", NULL }, { "local_port", NULL }, { "control", "seeds" }
	};
	static const struct required_key control[] = {
		{ "id", "seeds" }, { "address", NULL },		 { "zone", NULL },
		{ "data", NULL },  { "api_port", "api_listen" }, { "peer_port", NULL }
	};

	require_key(l, "cluster", "name");
	if (l->s->node.is_on)
		require_keys(l, "node", node, G_N_ELEMENTS(node));
	if (l->s->control.is_on)
		require_keys(l, "control", control, G_N_ELEMENTS(control));
	if (!l->s->node.is_on && !l->s->control.is_on) {
		g_autofree char *at = settings_location(l, 1);

		findings_add(l->found, at,
			     "neither [node] nor [control] is present: no role is on");
	}
}

/* A node without a control process would never receive a configuration. */
static void check_control_list(struct loader *l)
{
	int line = line_of(l, "node.control");
	g_autofree char *at = settings_location(l, line);

	if (line && !l->s->node.control->len)
		findings_add(l->found, at, "control names no control process");
}

/*
 * The members that form a group must have the same list, which must contain each of them
 * with the address at which the others reach it.
 */
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
	check_required_keys(l);
	check_control_list(l);
	check_members(l);
	check_ports(l);
}
