/*
 * view_bench - measures what the views of all nodes of a control process cost
 *
 * view_bench [-u UPSTREAMS] [-n NODES]
 *
 * All NODES subscribe to one service of UPSTREAMS. Prints the processor time for all nodes
 * together, as it would be in one turn of the loop: the first views, one upstream that joins, one
 * that leaves, and a tenth of the upstreams that leave at once. The time to encode and send frames
 * is not included.
 */
#include "control/view.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define UPSTREAMS_DEFAULT 1105
#define NODES_DEFAULT 1105
#define ZONES 31
#define ROUNDS 20

static struct directory directory;
static struct view *views;
static u32 nodes = NODES_DEFAULT;

static void set_upstream(u32 i, enum dir_state state)
{
	static u64 last_version;
	char name[32];
	char zone[16];
	struct dir_entry e = { .node = name,
			       .zone = zone,
			       .region = (char *)"region",
			       .incarnation = 1,
			       .version = ++last_version,
			       .state = state,
			       .service = (char *)"service",
			       .slots = 12 };

	g_snprintf(name, sizeof(name), "10.0.%u.%u:8081", i / 256, i % 256);
	g_snprintf(zone, sizeof(zone), "zone-%u", i % ZONES);
	directory_register(&directory, &e, 1);
}

static void subscribe_all(void)
{
	views = g_new0(struct view, nodes);
	for (u32 i = 0; i < nodes; i++) {
		GPtrArray *services = g_ptr_array_new_with_free_func(g_free);
		g_autofree char *name = g_strdup_printf("10.1.%u.%u:8081", i / 256, i % 256);
		g_autofree char *zone = g_strdup_printf("zone-%u", i % ZONES);

		view_init(&views[i], name, zone, "region");
		g_ptr_array_add(services, g_strdup("service"));
		view_subscribe(&views[i], services);
	}
}

static u64 cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (u64)t.tv_sec * US_PER_S + (u64)t.tv_nsec / 1000;
}

/* Collects the changes of all views and returns the time that it takes. */
static u64 collect_all_us(void)
{
	g_autoptr(GPtrArray) answered = g_ptr_array_new();
	u64 start_us = cpu_us();

	for (u32 i = 0; i < nodes; i++) {
		while (view_needs_update(&views[i], &directory)) {
			g_autoptr(GArray) out =
				view_collect_changes(&views[i], &directory, answered);
		}
	}
	return cpu_us() - start_us;
}

static void print_line(const char *what, u64 mean_us, u64 most_us)
{
	printf("%-32s %10.3f %10.3f\n", what, (double)mean_us / US_PER_MS,
	       (double)most_us / US_PER_MS);
}

/* Changes one upstream at a time to STATE. */
static void measure_one(const char *what, u32 from, enum dir_state state)
{
	u64 total_us = 0;
	u64 most_us = 0;

	for (u32 i = 0; i < ROUNDS; i++) {
		u64 took_us;

		set_upstream(from + i, state);
		took_us = collect_all_us();
		total_us += took_us;
		most_us = MAX(most_us, took_us);
	}
	print_line(what, total_us / ROUNDS, most_us);
}

static void measure_many(u32 count)
{
	u64 took_us;

	for (u32 i = 0; i < count; i++)
		set_upstream(i, DIR_GONE);
	took_us = collect_all_us();
	print_line("a tenth leaves at once", took_us, took_us);
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

int main(int argc, char **argv)
{
	u32 upstreams = UPSTREAMS_DEFAULT;
	size_t before;
	u64 took_us;
	int c;

	while ((c = getopt(argc, argv, "u:n:")) != -1) {
		if (c == 'u')
			upstreams = (u32)atoi(optarg);
		else if (c == 'n')
			nodes = (u32)atoi(optarg);
	}
	directory_init(&directory, 1, 1);
	for (u32 i = 0; i < upstreams; i++)
		set_upstream(i, DIR_UP);
	before = heap_bytes();
	subscribe_all();
	took_us = collect_all_us();
	printf("%u upstreams, %u nodes\n", upstreams, nodes);
	printf("%-32s %10s %10s\n", "ms for all nodes", "mean", "most");
	print_line("first views", took_us, took_us);
	printf("heap of a view: %zu bytes\n", (heap_bytes() - before) / nodes);
	measure_one("one joins", upstreams, DIR_UP);
	measure_one("one leaves", upstreams, DIR_GONE);
	measure_many(upstreams / 10);
	return 0;
}
