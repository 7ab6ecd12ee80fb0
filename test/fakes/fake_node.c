#include "test/fakes/fake_node.h"

#include "node/config.h"
#include "test/fakes/fake_config.h"
#include "test/fakes/httpc.h"
#include "test/fakes/raw_server.h"

#include <string.h>
#include <unistd.h>

static const char service_json[] =
	"{\"name\":\"sightings\",\"hosts\":[\"sightings.example\"],\"ranks\":["
	"{\"name\":\"checklist\",\"match\":[{\"method\":\"POST\",\"path\":\"/\"}],"
	"\"idempotent\":false,\"target_ms\":20000,\"worth\":100,\"floor_percent\":10},"
	"{\"name\":\"page\",\"match\":[{\"path\":\"/\"}],"
	"\"idempotent\":true,\"target_ms\":20000,\"worth\":10,\"floor_percent\":10}]}";

static void configure(void *arg)
{
	static const char *const json[] = { service_json };

	(void)arg;
	config_reset(); /* removes the configuration of an earlier node in this process */
	fake_config_declare(1, json, 1);
}

static void fill_settings(struct settings *s)
{
	struct endpoint no_control = { .host = "127.0.0.1", .port = raw_free_port() };

	s->cluster = g_strdup("breizh");
	s->node.is_on = true;
	s->node.address = g_strdup("127.0.0.1");
	s->node.zone = g_strdup("z");
	s->node.region = g_strdup("r");
	s->node.caller_port = raw_free_port();
	s->node.caller_listen =
		(struct endpoint){ .host = "127.0.0.1", .port = s->node.caller_port };
	s->node.peer_port = raw_free_port();
	s->node.local_port = raw_free_port();
	s->node.control = g_array_new(FALSE, TRUE, sizeof(struct endpoint));
	g_array_append_val(s->node.control, no_control);
	s->node.max_body_bytes = FAKE_NODE_BODY_MAX_BYTES;
	s->node.shutdown_grace_ms = 2000;
	s->control.members = g_array_new(FALSE, TRUE, sizeof(struct member_setting));
}

void fake_node_prepare(struct fake_node *f)
{
	memset(f, 0, sizeof(*f));
	log_open(NULL, LOG_ERROR, LOG_TEXT);
	fill_settings(&f->settings);
}

void fake_node_run(struct fake_node *f)
{
	f->node = node_new(&f->settings);
	if (f->dialect)
		f->node->dialect = f->dialect;
	g_assert_cmpint(f->node->module.ops->start(&f->node->module, NULL), ==, 0);
	loop_call(f->node->loop, configure, NULL);
}

void fake_node_start(struct fake_node *f)
{
	fake_node_prepare(f);
	fake_node_run(f);
}

void fake_node_stop(struct fake_node *f)
{
	f->node->module.ops->stop(&f->node->module);
	node_free(f->node);
	settings_clear(&f->settings);
}

struct directory_request {
	struct node *node;
	struct dir_entry entry;
};

static void set_directory_entry(void *arg)
{
	struct directory_request *d = arg;

	choose_set_entry(&d->node->choose, &d->entry, loop_clock_us());
	entry_directory_changed(d->node, &d->entry);
}

void fake_node_set_directory_entry(struct fake_node *f, const char *name, u64 incarnation,
				   enum dir_state state)
{
	static u64 version;
	struct directory_request d = { .node = f->node };

	version++;
	d.entry = (struct dir_entry){ .node = (char *)name,
				      .zone = (char *)"z",
				      .region = (char *)"r",
				      .incarnation = incarnation,
				      .version = version,
				      .state = state,
				      .service = (char *)"sightings",
				      .slots = 100,
				      .connections = 100 };
	loop_call(f->node->loop, set_directory_entry, &d);
}

void fake_node_announce_upstream(struct fake_node *f, u16 port, u32 slots)
{
	g_autofree char *body = g_strdup_printf(
		"{\"service\":\"sightings\",\"port\":%u,\"slots\":%u}", port, slots);
	struct httpc_reply reply;
	int err = httpc_call("127.0.0.1", f->settings.node.local_port, "PUT", "/v1/upstream", NULL,
			     body, 5000, &reply);

	g_assert_cmpint(err, ==, 0);
	g_assert_cmpint(reply.status, ==, 200);
	httpc_reply_clear(&reply);
}
