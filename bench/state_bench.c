/*
 * state_bench - measures the memory of each kind of state, as the slope between two sizes
 *
 * state_bench [-n ITEMS]
 *
 * Fills each table with ITEMS items, then with as many again, and prints heap
 * bytes and time per item of the second half. ITEMS defaults to 10,500: a table
 * then ends with 21,000 targets, the size that the system is designed for.
 */
#include "control/directory.h"
#include "control/store.h"
#include "kernel/loop.h"
#include "lib/rng.h"
#include "node/call_table.h"
#include "node/choose.h"
#include "node/config.h"
#include "node/config_build.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define SERVICES 1400
#define ITEMS_DEFAULT 10500

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static struct dir_entry make_entry(u32 i)
{
	struct dir_entry e = { 0 };

	e.node = g_strdup_printf("10.%u.%u.%u:8081", i >> 16, (i >> 8) & 255, i & 255);
	e.zone = g_strdup_printf("zone-%u", i % 31);
	e.region = g_strdup_printf("region-%u", i % 8);
	e.service = g_strdup_printf("service-%u", i % SERVICES);
	e.incarnation = 1;
	e.version = 1;
	e.state = DIR_UP;
	e.slots = 12;
	e.connections = 200;
	return e;
}

static char *make_json(u32 i)
{
	return g_strdup_printf("{\"hosts\":[\"service-%u.example\"],\"name\":\"service-%u\","
			       "\"ranks\":[{\"floor_percent\":10,\"idempotent\":false,"
			       "\"match\":[{\"method\":\"POST\",\"path\":\"/submissions\"}],"
			       "\"name\":\"submission\",\"target_ms\":250,\"worth\":100},"
			       "{\"floor_percent\":10,\"idempotent\":true,"
			       "\"match\":[{\"path\":\"/\"}],\"name\":\"page\",\"target_ms\":100,"
			       "\"worth\":10}]}",
			       i, i);
}

static struct directory directory;
static struct choose choose;
static struct store store;
static struct call_table table;

static void fill_directory(u32 from, u32 to)
{
	for (u32 i = from; i < to; i++) {
		struct dir_entry e = make_entry(i);

		directory_register(&directory, &e, 0);
		dir_entry_clear(&e);
	}
}

static void fill_choose(u32 from, u32 to)
{
	for (u32 i = from; i < to; i++) {
		struct dir_entry e = make_entry(i);

		choose_set_entry(&choose, &e, 0);
		dir_entry_clear(&e);
	}
}

static void apply(u32 i, u32 round)
{
	struct store_change c = { .op = STORE_PUT };
	struct store_result result;
	g_autoptr(GBytes) bytes = NULL;

	c.name = g_strdup_printf("service-%u", i);
	c.change_id = g_strdup_printf("apply-%08x%08x", i, round);
	c.json = make_json(i);
	bytes = store_change_pack(&c);
	store_apply(&store, bytes, &result);
	store_change_clear(&c);
}

static void fill_store(u32 from, u32 to)
{
	for (u32 i = from; i < to; i++)
		apply(i, 0);
}

/* Changes the same 100 services, so that only the records of change ids grow. */
static void fill_change_ids(u32 from, u32 to)
{
	for (u32 i = from; i < to; i++)
		apply(i % 100, i + 1);
}

static void fill_config(u32 from, u32 to)
{
	struct config_build *b = config_build_new(to, config_revision());

	for (u32 i = from; i < to; i++) {
		g_autofree char *json = make_json(i);

		config_build_declare(b, 1, json);
	}
	config_build_publish(b);
}

static void fill_calls(u32 from, u32 to)
{
	for (u32 i = from; i < to; i++) {
		struct call_id id = { .incarnation = 1, .seq = i };

		call_table_begin(&table, id);
		call_table_done(&table, id, NULL, 1);
	}
}

/* Prints the bytes and time per item between N and 2 N items. */
static void measure(const char *name, u32 n, void (*fill)(u32 from, u32 to))
{
	size_t before;
	size_t after;
	u64 start_us;
	u64 took_us;

	fill(0, n);
	before = heap_bytes();
	start_us = loop_clock_us();
	fill(n, 2 * n);
	took_us = loop_clock_us() - start_us;
	after = heap_bytes();
	printf("%-28s %8u %10.1f %10.2f\n", name, 2 * n, ((double)after - (double)before) / n,
	       (double)took_us / n);
}

static void print_snapshot(u32 services)
{
	u64 start_us = loop_clock_us();
	g_autoptr(GBytes) bytes = store_snapshot(&store);
	u64 took_us = loop_clock_us() - start_us;

	printf("store snapshot: %zu bytes, %llu us, %u services\n", g_bytes_get_size(bytes),
	       (unsigned long long)took_us, services);
}

int main(int argc, char **argv)
{
	u32 n = ITEMS_DEFAULT;
	int c;

	while ((c = getopt(argc, argv, "n:")) != -1)
		if (c == 'n')
			n = (u32)atoi(optarg);
	directory_init(&directory, 1, 1);
	choose_init(&choose, "10.0.0.1:8081", "zone-1", "region-1", 1, 0);
	store_init(&store);
	call_table_init(&table);
	printf("%-28s %8s %10s %10s\n", "state", "items", "bytes/item", "us/item");
	measure("directory entry (control)", n, fill_directory);
	measure("choose target (node)", n, fill_choose);
	measure("call record (node)", n, fill_calls);
	measure("config service (node)", SERVICES / 2, fill_config);
	measure("store service (control)", SERVICES / 2, fill_store);
	print_snapshot(SERVICES);
	measure("change id (control)", 4000, fill_change_ids);
	print_snapshot(SERVICES);
	return 0;
}
