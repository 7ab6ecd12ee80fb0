/*
 * config_bench - measures what a node spends on a set of routes
 *
 * config_bench [-n ROUTES]
 *
 * Gives a node the frames that control makes of a whole set, of a change of one route, of its
 * return, and of a set whose routes have all changed. Prints for each the bytes on the link, the
 * bytes after they are inflated, the turns, the processor time of all of them and of the longest,
 * which is how long calls wait, the processor time that control took to make them, and the growth
 * of the heap, in which control's copies are included.
 */
#include "node/config.h"
#include "test/fakes/fake_config.h"
#include "test/fakes/fake_node.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define ROUTES_DEFAULT 6000
#define CHANGED_ROUTE 77
#define NO_ROUTE UINT32_MAX
#define TIMEOUT_MS 1000

static struct fake_config control;
static struct fake_node node;

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void give(void *arg)
{
	fake_config_give_stream(&control, node.node->watch, arg);
}

/* The heap of a node alone: everything that control has is made before and after it. */
static void reset(void *arg)
{
	size_t before = heap_bytes();

	(void)arg;
	config_reset();
	printf("configuration of the node on the heap: %zu bytes\n", before - heap_bytes());
}

static void measure(const char *name, u32 version, u32 routes, u32 changed, u32 timeout_ms)
{
	g_autofree char *text = fake_config_text(version, routes, changed, timeout_ms);
	size_t before = heap_bytes();
	struct fake_config_cost c;

	fake_config_replace(&control, version, text);
	loop_call(node.node->loop, give, &c);
	printf("%-16s %8zu %9zu %6u %8llu %10llu %8llu %10.0f\n", name, c.link_bytes,
	       (size_t)c.decoded_bytes, c.frames, (unsigned long long)c.busy_us,
	       (unsigned long long)c.longest_us, (unsigned long long)c.made_us,
	       (double)heap_bytes() - (double)before);
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
	fake_config_init(&control);
	printf("%5u routes       on link     plain  turns  busy_us longest_us  made_us "
	       "heap_bytes\n",
	       routes);
	measure("whole", 1, routes, NO_ROUTE, TIMEOUT_MS);
	measure("one route", 2, routes, CHANGED_ROUTE, TIMEOUT_MS);
	measure("one route back", 3, routes, NO_ROUTE, TIMEOUT_MS);
	measure("all routes", 4, routes, NO_ROUTE, 2 * TIMEOUT_MS);
	loop_call(node.node->loop, reset, NULL);
	fflush(stdout);
	_exit(0);
}
