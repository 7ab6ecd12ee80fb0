/*
 * badinput - sends input that a process must refuse and survive
 *
 * badinput -p PORT -k http|hello|frames [-c CLUSTER] [-r node|control] [-s SEED] [-n COUNT]
 *
 * http: a list of malformed requests, each on its own connection.
 * hello: bytes that are not frames, and frames with an invalid HELLO.
 * frames: COUNT connections that send a valid HELLO as the role given with -r,
 * then frames of random types with random scalar fields, drawn from SEED.
 * Prints the number of connections made; exits with 1 when one is refused.
 */
#include "kernel/link.h"
#include "lib/rng.h"
#include "test/fakes/gen.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define READ_TIMEOUT_MS 300
#define FRAMES_PER_CONNECTION 8
#define FIELDS_MAX 24
#define FRAME_TYPES 16

static u16 port;
static const char *cluster = "breizh";
static u32 connections_made;

static int dial(void)
{
	int fd = raw_connect(port);

	if (fd < 0) {
		fprintf(stderr, "badinput: cannot connect to port %u\n", port);
		exit(1);
	}
	connections_made++;
	return fd;
}

static void drain_and_close(int fd)
{
	raw_end(fd, READ_TIMEOUT_MS);
}

static void send_bytes(const void *p, size_t len)
{
	int fd = dial();

	raw_write_bytes(fd, p, len);
	drain_and_close(fd);
}

static void send_text(const char *text)
{
	send_bytes(text, strlen(text));
}

static void send_padded(const char *before, size_t len, const char *after)
{
	g_autofree char *padding = g_strnfill(len, 'x');
	g_autofree char *text = g_strconcat(before, padding, after, NULL);

	send_text(text);
}

static void send_bad_requests(void)
{
	static const char *const requests[] = {
		"\r\n\r\n",
		"hoopoe\r\n\r\n",
		"GET\r\n\r\n",
		"GET / HTTP/9.9\r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1\r\n: empty\r\n\r\n",
		"GET / HTTP/1.1\r\nno colon\r\n\r\n",
		"GET /%00%00 HTTP/1.1\r\nHost: sightings\r\n\r\n",
		"GET /../../../etc HTTP/1.1\r\nHost: sightings\r\n\r\n",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nContent-Length: -5\r\n\r\nhello",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nContent-Length: hoopoe\r\n\r\nhello",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nContent-Length: "
		"99999999999999999999\r\n\r\nx",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nContent-Length: 100\r\n\r\nshort",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nContent-Length: 5\r\nContent-Length: "
		"6\r\n\r\nhello",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nTransfer-Encoding: "
		"chunked\r\n\r\nzz\r\nhello\r\n",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nTransfer-Encoding: "
		"chunked\r\n\r\nffffffffffffffff\r\nx",
		"PUT / HTTP/1.1\r\nHost: sightings\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"PUT /v1/services/x HTTP/1.1\r\nHost: c\r\nContent-Length: 1\r\n\r\n{",
		"PUT /v1/services/x HTTP/1.1\r\nHost: c\r\nIf-Match: z\r\nContent-Length: "
		"2\r\n\r\n[]",
		"PUT /v1/services/%2e%2e HTTP/1.1\r\nHost: c\r\nContent-Length: 2\r\n\r\n{}",
		"PUT /v1/upstream HTTP/1.1\r\nHost: n\r\nContent-Length: 4\r\n\r\nnull",
		"PUT /v1/upstream HTTP/1.1\r\nHost: n\r\nContent-Length: "
		"14\r\n\r\n{\"service\":\"x\"",
		"PUT /v1/upstream HTTP/1.1\r\nHost: n\r\nContent-Length: "
		"13\r\n\r\n{\"state\":\"x\"}",
		"GET /v1/watch?from=hoopoe HTTP/1.1\r\nHost: c\r\n\r\n",
		"POST /v1/members/99999999999999999999/replace HTTP/1.1\r\nHost: c\r\n\r\n",
		"DELETE /v1/members/ HTTP/1.1\r\nHost: c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: sightings\r\nLavenderlead-Timeout-Ms: hoopoe\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: :::\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++)
		send_text(requests[i]);
	send_bytes("\0\xff\0\xff\r\n\r\n", 8);
	send_padded("GET /", 100000, " HTTP/1.1\r\nHost: sightings\r\n\r\n");
	send_padded("GET / HTTP/1.1\r\nHost: ", 15000, "\r\n\r\n");
	send_padded("GET / HTTP/1.1\r\nHost: ", 100000, "\r\n\r\n");
	send_padded("PUT /v1/services/x HTTP/1.1\r\nHost: c\r\nContent-Length: 300000\r\n\r\n",
		    300000, "");
	send_padded("PUT /v1/upstream HTTP/1.1\r\nHost: n\r\nContent-Length: 30000\r\n\r\n", 30000,
		    "");
}

static void send_hello(int fd, const char *in_cluster, enum link_role role)
{
	FRAME_AUTO(f, LINK_HELLO);

	frame_put_str(&f, in_cluster);
	frame_put_u64(&f, role);
	frame_put_str(&f, "127.0.0.1:1");
	frame_put_str(&f, "z");
	frame_put_str(&f, "r");
	frame_put_u64(&f, 1);
	frame_put_u64(&f, 1);
	raw_write_bytes(fd, f.buf.data, frame_end(&f));
}

static void send_bad_hellos(void)
{
	static const char huge[] = "\xff\xff\xff\xff and more";
	static const char empty[] = "\0\0\0\0";
	static const char truncated[] = "\0\0\0\x40\x01";
	static const char huge_map[] = "\0\0\0\x05\xdf\x7f\xff\xff\xff";
	g_autofree char *long_cluster = g_strnfill(1000, 'x');
	int fd;

	send_bytes(huge, sizeof(huge) - 1);
	send_bytes(empty, sizeof(empty) - 1);
	send_bytes(truncated, sizeof(truncated) - 1);
	send_bytes(huge_map, sizeof(huge_map) - 1);
	send_text("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	fd = dial();
	send_hello(fd, "another\ncluster", LINK_NODE);
	drain_and_close(fd);
	fd = dial();
	send_hello(fd, long_cluster, LINK_NODE);
	drain_and_close(fd);
	fd = dial();
	send_hello(fd, cluster, LINK_NODE);
	send_hello(fd, cluster, LINK_NODE);
	drain_and_close(fd);
}

static void send_random_frames(enum link_role role, u64 seed, u32 count)
{
	struct rng rng = { .state = seed };

	for (u32 i = 0; i < count; i++) {
		int fd = dial();

		send_hello(fd, cluster, role);
		for (u32 k = 0; k < FRAMES_PER_CONNECTION; k++) {
			FRAME_AUTO(f, LINK_TYPE_FIRST + rng_below(&rng, FRAME_TYPES));

			for (u32 n = rng_below(&rng, FIELDS_MAX); n; n--)
				gen_frame_field(&rng, &f);
			raw_write_bytes(fd, f.buf.data, frame_end(&f));
		}
		drain_and_close(fd);
	}
}

int main(int argc, char **argv)
{
	enum link_role role = LINK_NODE;
	const char *kind = "";
	u64 seed = 1;
	u32 count = 100;
	int c;

	while ((c = getopt(argc, argv, "p:k:c:r:s:n:")) != -1) {
		if (c == 'p')
			port = (u16)atoi(optarg);
		else if (c == 'k')
			kind = optarg;
		else if (c == 'c')
			cluster = optarg;
		else if (c == 'r')
			role = strcmp(optarg, "control") ? LINK_NODE : LINK_CONTROL;
		else if (c == 's')
			seed = strtoull(optarg, NULL, 10);
		else if (c == 'n')
			count = (u32)atoi(optarg);
	}
	if (!strcmp(kind, "http"))
		send_bad_requests();
	else if (!strcmp(kind, "hello"))
		send_bad_hellos();
	else if (!strcmp(kind, "frames"))
		send_random_frames(role, seed, count);
	else
		return 2;
	printf("%u\n", connections_made);
	return 0;
}
