/*
 * config_bench - measures what a node spends on a set of routes
 *
 * config_bench [-n ROUTES]
 *
 * Gives a node the frames that control makes of a whole set, of a change of one route, of a set
 * whose routes all changed, and of the whole set again. Prints for each the bytes on the link, the
 * bytes after they are inflated, the frames, the processor time of all of them and of the longest,
 * which is how long calls wait, the time that control took to make them, and the growth of the
 * heap.
 */
#include "control/config_frames.h"
#include "lib/set.h"
#include "node/config.h"
#include "node/watch_impl.h"
#include "test/fakes/fake_node.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define ROUTES_DEFAULT 6000
#define SERVICES 20
#define CHANGED_ROUTE 77
#define TIMEOUT_MS 1000

static struct fake_node node;
static struct store store;
static struct config_frames frames;

struct cost {
	size_t link_bytes;
	size_t plain_bytes;
	u32 frames;
	u64 busy_us;
	u64 longest_us;
	u64 made_us;
};

static u64 cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (u64)t.tv_sec * US_PER_S + (u64)t.tv_nsec / 1000;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Returns a set whose routes have TIMEOUT_MS, but for the one at CHANGED. */
static char *set_text(u32 version, u32 routes, u32 changed, u32 timeout_ms)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[", version);
	for (u32 i = 0; i < routes; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"route-%u\",\"host\":\"h%u.example\",\"prefix\":\"/%x/\","
			"\"service\":\"service-%u\",\"repeat\":\"%s\",\"attempts\":3,"
			"\"timeout_ms\":%u,\"target_ms\":250,\"priority\":%u}",
			i ? "," : "", i, i % 7, i * 2654435761u, i % SERVICES,
			i % 3 ? "always" : "never", i == changed ? timeout_ms + 1 : timeout_ms,
			i % 4);
	g_string_append(text, "],\"services\":[");
	for (u32 i = 0; i < SERVICES; i++)
		g_string_append_printf(text, "%s{\"name\":\"service-%u\"}", i ? "," : "", i);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static void replace_set(u32 version, u32 routes, u32 changed, u32 timeout_ms)
{
	g_autofree char *text = set_text(version, routes, changed, timeout_ms);
	struct store_change change = { .op = STORE_SET,
				       .name = (char *)SET_NAME,
				       .change_id = (char *)"",
				       .json = text,
				       .version = version,
				       .has_if_match = true,
				       .if_match = version - 1 };
	g_autoptr(GBytes) command = store_change_pack(&change);
	struct store_result r;

	store_apply(&store, command, &r);
	if (r.status / 100 != 2)
		exit(1);
}

static size_t handle(u32 type, struct frame_in *in)
{
	if (watch_config_frame(node.node->watch, type, in))
		exit(1);
	return in->len;
}

/* Returns the bytes of the frame after it is inflated. */
static size_t give_frame(struct frame_out *f)
{
	g_autoptr(GByteArray) bytes = NULL;
	struct frame_in inner;
	struct frame_in in;
	u32 type;

	frame_in_init(&in, f->buf.data + FRAME_HEADER_BYTES, frame_end(f) - FRAME_HEADER_BYTES);
	type = (u32)frame_get_u64(&in);
	if (type != CTL_COMPRESSED)
		return handle(type, &in);
	bytes = ctl_inflate(&in, &inner, &type);
	return bytes ? handle(type, &inner) : 0;
}

static void give(void *arg)
{
	struct cost *c = arg;
	u64 before_us = cpu_us();
	const GPtrArray *list = config_frames_get(&frames, &store, config_revision());

	c->made_us = cpu_us() - before_us;
	for (guint i = 0; i < list->len; i++) {
		struct frame_out *f = g_ptr_array_index(list, i);
		u64 took_us;

		before_us = cpu_us();
		c->plain_bytes += give_frame(f);
		took_us = cpu_us() - before_us;
		c->link_bytes += f->buf.size;
		c->busy_us += took_us;
		c->longest_us = MAX(c->longest_us, took_us);
		c->frames++;
	}
}

static void reset(void *arg)
{
	(void)arg;
	config_reset();
}

static void measure(const char *name)
{
	size_t before = heap_bytes();
	struct cost c = { 0 };

	loop_call(node.node->loop, give, &c);
	printf("%-16s %8zu %9zu %6u %8llu %10llu %8llu %10.0f\n", name, c.link_bytes, c.plain_bytes,
	       c.frames, (unsigned long long)c.busy_us, (unsigned long long)c.longest_us,
	       (unsigned long long)c.made_us, (double)heap_bytes() - (double)before);
}

int main(int argc, char **argv)
{
	u32 routes = ROUTES_DEFAULT;
	int opt;

	while ((opt = getopt(argc, argv, "n:")) != -1) {
		if (opt != 'n')
			return 2;
		routes = (u32)strtoul(optarg, NULL, 10);
	}
	fake_node_start(&node);
	loop_call(node.node->loop, reset, NULL);
	store_init(&store);
	printf("%u routes         on link    plain frames  busy_us longest_us  made_us "
	       "heap_bytes\n",
	       routes);
	replace_set(1, routes, UINT32_MAX, TIMEOUT_MS);
	measure("whole");
	replace_set(2, routes, CHANGED_ROUTE, TIMEOUT_MS);
	measure("one route");
	replace_set(3, routes, UINT32_MAX, TIMEOUT_MS);
	measure("one route back");
	replace_set(4, routes, UINT32_MAX, TIMEOUT_MS * 2);
	measure("all routes");
	fflush(stdout);
	_exit(0);
}
