/*
 * observer - prints the configuration revisions of nodes, or all services
 *
 * observer -l PORT,PORT,... -t SECONDS    polls the nodes' local ports; prints
 *                                         "PORT REVISION" at each change
 * observer -a PORT                        prints "NAME VERSION MARK" of all
 *                                         services of the control process; MARK
 *                                         is the target_ms of the first rank
 */
#include "lib/types.h"
#include "test/fakes/httpc.h"

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODES_MAX 64
#define POLL_US 50000
#define STATUS_TIMEOUT_MS 1000
#define SERVICES_TIMEOUT_MS 10000

static json_t *get_json(u16 port, const char *path, u32 timeout_ms)
{
	struct httpc_reply r;
	json_t *obj = NULL;

	if (!httpc_call("127.0.0.1", port, "GET", path, NULL, NULL, timeout_ms, &r) &&
	    r.status == 200)
		obj = json_loads(r.body, 0, NULL);
	httpc_reply_clear(&r);
	return obj;
}

static int print_services(u16 port)
{
	json_t *obj = get_json(port, "/v1/services", SERVICES_TIMEOUT_MS);
	json_t *services = json_object_get(obj, "services");

	for (size_t i = 0; i < json_array_size(services); i++) {
		json_t *s = json_array_get(services, i);
		json_t *rank = json_array_get(json_object_get(s, "ranks"), 0);

		printf("%s %lld %lld\n", json_string_value(json_object_get(s, "name")),
		       (long long)json_integer_value(json_object_get(s, "version")),
		       (long long)json_integer_value(json_object_get(rank, "target_ms")));
	}
	json_decref(obj);
	return services ? 0 : 1;
}

static void poll_node(u16 port, json_int_t *last_revision)
{
	json_t *obj = get_json(port, "/v1/status", STATUS_TIMEOUT_MS);
	json_int_t revision = json_integer_value(json_object_get(obj, "revision"));

	if (obj && revision != *last_revision) {
		printf("%u %lld\n", port, (long long)revision);
		fflush(stdout);
		*last_revision = revision;
	}
	json_decref(obj);
}

static void watch_nodes(const char *port_list, u32 seconds)
{
	g_auto(GStrv) ports = g_strsplit(port_list, ",", NODES_MAX);
	json_int_t last_revision[NODES_MAX] = { 0 };
	gint64 end_us = g_get_monotonic_time() + (gint64)seconds * G_USEC_PER_SEC;

	while (g_get_monotonic_time() < end_us) {
		for (u32 i = 0; ports[i]; i++)
			poll_node((u16)atoi(ports[i]), &last_revision[i]);
		g_usleep(POLL_US);
	}
}

int main(int argc, char **argv)
{
	const char *port_list = NULL;
	u32 seconds = 10;
	u16 api_port = 0;
	int c;

	while ((c = getopt(argc, argv, "l:t:a:")) != -1) {
		if (c == 'l')
			port_list = optarg;
		else if (c == 't')
			seconds = (u32)atoi(optarg);
		else if (c == 'a')
			api_port = (u16)atoi(optarg);
	}
	mg_init_library(0);
	if (api_port)
		return print_services(api_port);
	if (!port_list) {
		fprintf(stderr, "usage: observer -l PORT,... -t SECONDS | -a PORT\n");
		return 2;
	}
	watch_nodes(port_list, seconds);
	return 0;
}
