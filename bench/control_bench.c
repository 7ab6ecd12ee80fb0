/*
 * control_bench - simulates the control traffic of many nodes from one process
 *
 * control_bench NODES SECONDS PORT...
 *
 * Opens NODES links, distributed round-robin over the control processes at
 * 127.0.0.1:PORT. Each link registers, renews once a second and applies a
 * configuration as soon as it arrives. Prints "revision R WALL_US" when all links
 * have R and, at the end, the frames and bytes of all links, excluding PING and
 * PONG, and its own CPU time. These are counted for SECONDS, after SETTLE_TIME_S.
 */
#include "kernel/link.h"
#include "lib/err.h"
#include "wire/config_part.h"
#include "wire/ctl.h"
#include "wire/dir_entry.h"
#include "wire/withdrawal.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#define SETTLE_TIME_S 8
#define FIRST_PORT 40000

struct bench_node {
	struct link_id self;
	struct link *link;
	struct loop_timer renew_timer;
	u64 revision;
};

static struct loop *loop;
static struct bench_node *nodes;
static u32 node_count;
static u64 printed_revision; /* the highest revision printed so far */
static bool is_counting;
static u64 frames_in, bytes_in, frames_out, bytes_out, links_lost;

static void send_frame(struct bench_node *n, struct frame_out *f)
{
	size_t len = frame_end(f);

	if (is_counting) {
		frames_out++;
		bytes_out += len;
	}
	link_send(n->link, f);
}

static void send_renew(struct bench_node *n)
{
	FRAME_AUTO(f, CTL_RENEW);

	frame_put_u64(&f, n->revision);
	send_frame(n, &f);
}

static void on_renew(void *arg, u64 now_us)
{
	struct bench_node *n = arg;

	send_renew(n);
	loop_timer_set(loop, &n->renew_timer, now_us + CTL_RENEW_INTERVAL_US);
}

static void on_up(struct link *k)
{
	struct bench_node *n = k->arg;
	struct dir_entry e = { .node = n->self.name,
			       .zone = n->self.zone,
			       .region = n->self.region,
			       .incarnation = n->self.incarnation,
			       .version = 1,
			       .state = DIR_UP,
			       .service = (char *)"sightings",
			       .slots = 12,
			       .connections = 200 };
	FRAME_AUTO(reg, CTL_REGISTER);
	FRAME_AUTO(watch, CTL_WATCH);

	dir_entry_put(&reg, &e);
	withdrawal_put(&reg, &(struct withdrawal){ 0 });
	send_frame(n, &reg);
	config_request_put(&watch, &(struct config_request){ 0 });
	send_frame(n, &watch);
	n->renew_timer = (struct loop_timer){ .fire = on_renew, .arg = n };
	loop_timer_set(loop, &n->renew_timer, loop_clock_us() + g_random_int_range(0, US_PER_S));
}

static u64 wall_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (u64)t.tv_sec * US_PER_S + (u64)t.tv_nsec / 1000;
}

static void print_revision(void)
{
	u64 min_revision = UINT64_MAX;

	for (u32 i = 0; i < node_count; i++)
		min_revision = MIN(min_revision, nodes[i].revision);
	if (min_revision <= printed_revision)
		return;
	printed_revision = min_revision;
	printf("revision %llu %llu\n", (unsigned long long)printed_revision,
	       (unsigned long long)wall_us());
	fflush(stdout);
}

static int on_config_part(struct bench_node *n, struct frame_in *in)
{
	struct config_part p;
	FRAME_AUTO(ack, CTL_CONFIG_ACK);

	if (config_part_get(in, &p))
		return ERR_INVAL;
	frame_put_u64(&ack, p.request);
	frame_put_u64(&ack, p.offset + p.len);
	send_frame(n, &ack);
	if (p.offset + p.len < p.total)
		return 0;
	n->revision = p.stream.to;
	send_renew(n);
	print_revision();
	return 0;
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct bench_node *n = k->arg;

	if (is_counting) {
		frames_in++;
		bytes_in += in->len + FRAME_HEADER_BYTES;
	}
	return type == CTL_CONFIG_PART ? on_config_part(n, in) : 0;
}

static void on_down(struct link *k, int err)
{
	(void)k;
	(void)err;
	links_lost++;
}

static const struct link_ops ops = { .up = on_up, .frame = on_frame, .down = on_down };

static void node_start(struct bench_node *n, u32 i, u16 port)
{
	n->self = (struct link_id){ .cluster = (char *)"breizh",
				    .role = LINK_NODE,
				    .name = g_strdup_printf("127.0.0.1:%u", FIRST_PORT + i),
				    .zone = (char *)"breizh-brest",
				    .region = (char *)"breizh",
				    .incarnation = wall_us() };
	n->link = link_dial(loop, &n->self, "127.0.0.1", port, &ops, n);
}

static u64 cpu_us(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (u64)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * US_PER_S +
	       (u64)(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
}

int main(int argc, char **argv)
{
	u32 seconds;
	u64 cpu_start_us;

	if (argc < 4) {
		fprintf(stderr, "usage: control_bench NODES SECONDS PORT...\n");
		return 2;
	}
	node_count = (u32)strtoul(argv[1], NULL, 10);
	seconds = (u32)strtoul(argv[2], NULL, 10);
	nodes = g_new0(struct bench_node, node_count);
	loop = loop_new("bench");
	for (u32 i = 0; i < node_count; i++)
		node_start(&nodes[i], i, (u16)strtoul(argv[3 + i % (u32)(argc - 3)], NULL, 10));
	loop_start(loop);
	sleep(SETTLE_TIME_S);
	cpu_start_us = cpu_us();
	is_counting = true;
	printf("counting\n");
	fflush(stdout);
	sleep(seconds);
	is_counting = false;
	printf("nodes %u seconds %u frames_in %llu bytes_in %llu frames_out %llu bytes_out %llu "
	       "cpu_us %llu lost %llu\n",
	       node_count, seconds, (unsigned long long)frames_in, (unsigned long long)bytes_in,
	       (unsigned long long)frames_out, (unsigned long long)bytes_out,
	       (unsigned long long)(cpu_us() - cpu_start_us), (unsigned long long)links_lost);
	return 0;
}
