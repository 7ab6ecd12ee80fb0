/*
 * control_stand_in - a control process that misbehaves as told
 *
 * control_stand_in -p PORT -l LOG [-a ACT,ACT,...] [-b] [-t] [-s]
 *
 * Keeps services in memory and remembers change ids. Each change request uses
 * up the next ACT: "ok" answers; "lost" carries it out and closes without an
 * answer; "drop" closes without carrying it out; "short" carries it out and
 * cuts the answer; "unknown" and "none" answer 503 unknown and 503 not-run;
 * "conflict" answers 409. Without an ACT left it is "ok". -b: one node stays
 * behind; -t: status says that this process is stale; -s: a watch falls silent after one line.
 * Appends "METHOD PATH CHANGE-ID ACT" of each change to LOG. A watch gets one change
 * a connection, two in all.
 */
#include "lib/http_server.h"
#include "lib/types.h"

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SERVER_THREADS 4
#define BODY_MAX_BYTES (1024 * 1024)

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *services; /* name -> json text */
static GHashTable *answers; /* change id -> revision */
static GStrv acts;
static guint acts_used;
static json_int_t revision;
static FILE *log_file;
static bool is_behind;
static bool is_stale;
static bool is_silent;
static bool is_stopping;

static const char *next_act(void)
{
	if (acts && acts[acts_used])
		return acts[acts_used++];
	return "ok";
}

static json_int_t carry_out(const char *method, const char *name, const char *id, const char *body)
{
	gpointer known = g_hash_table_lookup(answers, id);

	if (known)
		return GPOINTER_TO_INT(known);
	revision++;
	if (!strcmp(method, "PUT"))
		g_hash_table_insert(services, g_strdup(name), g_strdup(body));
	else
		g_hash_table_remove(services, name);
	g_hash_table_insert(answers, g_strdup(id), GINT_TO_POINTER((int)revision));
	return revision;
}

static int answer_change(struct mg_connection *conn, const char *act, json_int_t at)
{
	g_autofree char *body =
		g_strdup_printf("{\"version\":%d,\"revision\":%d}", (int)at, (int)at);

	if (!strcmp(act, "unknown"))
		return http_send_error(conn, 503, "unknown", NULL, "not known");
	if (!strcmp(act, "none"))
		return http_send_error(conn, 503, "not-run", NULL, "no leader with a quorum");
	if (!strcmp(act, "conflict"))
		return http_send_error(conn, 409, "not-run", NULL, "version conflict");
	if (!strcmp(act, "ok"))
		return http_send_response(conn, 200, "application/json", NULL, NULL, body);
	mg_disable_connection_keep_alive(conn);
	if (!strcmp(act, "short"))
		mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n{\"ver",
			  strlen(body));
	return 200;
}

static int change(struct mg_connection *conn, const char *name)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	g_autoptr(GByteArray) body = g_byte_array_new();
	const char *id = mg_get_header(conn, "Change-Id");
	const char *act;
	json_int_t at = 0;

	http_read_body(conn, body, BODY_MAX_BYTES);
	g_byte_array_append(body, (const guint8 *)"", 1);
	pthread_mutex_lock(&lock);
	act = next_act();
	fprintf(log_file, "%s %s %s %s\n", ri->request_method, ri->local_uri, id ? id : "-", act);
	fflush(log_file);
	if (!strcmp(act, "ok") || !strcmp(act, "lost") || !strcmp(act, "short"))
		at = carry_out(ri->request_method, name, id ? id : "-", (const char *)body->data);
	pthread_mutex_unlock(&lock);
	return answer_change(conn, act, at);
}

static char *dump(json_t *obj)
{
	char *text = json_dumps(obj, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(obj);
	return copy;
}

static json_t *list_services(void)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		json_t *one = json_loads(value, 0, NULL);

		json_object_set_new(one, "version", json_integer(1));
		json_array_append_new(list, one);
	}
	return list;
}

static int on_services(struct mg_connection *conn, void *unused)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	const char *name = strrchr(ri->local_uri, '/') + 1;
	g_autofree char *body = NULL;

	(void)unused;
	if (strcmp(ri->request_method, "GET"))
		return change(conn, name);
	pthread_mutex_lock(&lock);
	body = dump(json_pack("{s:o, s:I}", "services", list_services(), "revision", revision));
	pthread_mutex_unlock(&lock);
	return http_send_response(conn, 200, "application/json", NULL, NULL, body);
}

static int on_status(struct mg_connection *conn, void *unused)
{
	g_autofree char *body = NULL;

	(void)unused;
	pthread_mutex_lock(&lock);
	body = dump(json_pack("{s:b, s:{s:i}, s:[{s:i, s:s, s:b}], s:{s:{s:I, s:i, s:i, s:[s]}}}",
			      "fresh", !is_stale, "leader", "id", 1, "members", "id", 1, "address",
			      "127.0.0.1:1", "voter", 1, "status", "inForce", "revision",
			      is_behind ? 0 : revision, "nodes", is_behind ? 1 : 2, "of", 2,
			      "behind", "127.0.0.1:8081"));
	pthread_mutex_unlock(&lock);
	return http_send_response(conn, 200, "application/json", NULL, NULL, body);
}

/* Two changes, one a connection, so that a client must come back with the revision it has. */
static int on_watch(struct mg_connection *conn, void *unused)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	int from = ri->query_string ? atoi(ri->query_string + strlen("from=")) : 0;
	g_autofree char *body = g_strdup_printf("\n{\"name\":\"s\",\"revision\":%d}\n", from + 1);

	(void)unused;
	if (is_silent) {
		mg_printf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
		mg_send_chunk(conn, body, (unsigned int)strlen(body));
		while (!__atomic_load_n(&is_stopping, __ATOMIC_ACQUIRE))
			g_usleep(10000);
		return 200;
	}
	mg_disable_connection_keep_alive(conn);
	return http_send_response(conn, 200, "application/x-ndjson", NULL, NULL,
				  from < 2 ? body : "");
}

int main(int argc, char **argv)
{
	struct mg_context *server;
	u16 port = 0;
	sigset_t set;
	int sig;
	int c;

	while ((c = getopt(argc, argv, "p:l:a:bts")) != -1) {
		if (c == 'p')
			port = (u16)atoi(optarg);
		else if (c == 'l')
			log_file = fopen(optarg, "a");
		else if (c == 'a')
			acts = g_strsplit(optarg, ",", -1);
		else if (c == 'b')
			is_behind = true;
		else if (c == 't')
			is_stale = true;
		else if (c == 's')
			is_silent = true;
	}
	if (!port || !log_file) {
		fprintf(stderr,
			"usage: control_stand_in -p PORT -l LOG [-a ACT,...] [-b] [-t] [-s]\n");
		return 2;
	}
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	answers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	mg_init_library(0);
	server = http_server_start("127.0.0.1", port, SERVER_THREADS);
	if (!server) {
		fprintf(stderr, "control_stand_in: cannot listen on port %u\n", port);
		return 1;
	}
	mg_set_request_handler(server, "/v1/services", on_services, NULL);
	mg_set_request_handler(server, "/v1/status", on_status, NULL);
	mg_set_request_handler(server, "/v1/watch", on_watch, NULL);
	sigwait(&set, &sig);
	__atomic_store_n(&is_stopping, true, __ATOMIC_RELEASE);
	mg_stop(server);
	return 0;
}
